#include "carobshift/gateway/load/load_query_service.h"

#include <utility>

#include "carobshift/base/digest.h"
#include "carobshift/gateway/load/load_query_codec.h"

namespace carobshift {

LoadQueryService::LoadQueryService(EventLoop& loop,
                                   LocalInstance instance,
                                   PeerDatagrams& datagrams,
                                   LoadTracker& load_tracker)
    : loop_(loop),
      instance_(std::move(instance)),
      datagrams_(datagrams),
      load_tracker_(load_tracker) {
  // Payloads that can't be decoded are dropped: updates are repeated, and a
  // query without an answer times out.
  datagrams_.SetHandler(PeerDatagramKind::kLoadUpdate,
                        [this](std::string_view bytes) { OnUpdate(bytes); });
  datagrams_.SetHandler(PeerDatagramKind::kLoadQuery,
                        [this](std::string_view bytes) { OnQuery(bytes); });
  datagrams_.SetHandler(PeerDatagramKind::kLoadAnswer,
                        [this](std::string_view bytes) { OnAnswer(bytes); });
  load_tracker_.SetOwnLoadCallback(
      [this](const EndpointId& id) { OnChanged(id); });
}

LoadQueryService::~LoadQueryService() {
  load_tracker_.SetOwnLoadCallback(nullptr);
  for (const auto& [number, query] : pending_queries_)
    loop_.CancelTimer(query.timer);
}

void LoadQueryService::OnTick() {
  members_ = instance_.live();
  load_aggregator_.Expire(loop_.now());
  if (!active() || loop_.now() < next_repeat_)
    return;
  next_repeat_ = loop_.now() + LoadAggregator::kRepeatInterval;
  RepeatUpdates();
}

void LoadQueryService::RepeatUpdates() {
  for (const auto& [endpoint, load] : load_tracker_.OwnLoads())
    SendUpdate(endpoint, load);
}

void LoadQueryService::OnChanged(const EndpointId& endpoint) {
  if (active())
    SendUpdate(FastHash(endpoint.value()), load_tracker_.OwnLoadAt(endpoint));
}

void LoadQueryService::SendUpdate(std::uint64_t endpoint,
                                  const EndpointLoad& load) {
  const MemberInfo* const aggregator = FindLoadAggregator(endpoint, members_);
  if (aggregator == nullptr)
    return;
  const LoadUpdate update{instance_.self, ++sequence_, endpoint, load};
  if (aggregator->incarnation == instance_.self) {
    load_aggregator_.OnUpdate(update, loop_.now());
    return;
  }
  datagrams_.SendTo(aggregator->peer_address(), PeerDatagramKind::kLoadUpdate,
                    EncodeLoadUpdate(update));
}

void LoadQueryService::OnUpdate(std::string_view payload) {
  const Result<LoadUpdate> update = DecodeLoadUpdate(payload);
  if (update.ok())
    load_aggregator_.OnUpdate(update.value(), loop_.now());
}

void LoadQueryService::Query(const std::vector<EndpointId>& endpoints,
                             Done done) {
  const std::uint64_t number = ++last_query_number_;
  std::map<const MemberInfo*, LoadQuery> by_aggregator;
  PendingQuery query{endpoints, {}, std::move(done), {}};
  for (const EndpointId& id : endpoints) {
    const std::uint64_t endpoint = FastHash(id.value());
    const MemberInfo* const aggregator = FindLoadAggregator(endpoint, members_);
    if (aggregator == nullptr)
      continue;
    if (aggregator->incarnation == instance_.self) {
      load_tracker_.OnAggregateLoad(
          endpoint,
          load_aggregator_.Others(endpoint, instance_.self, loop_.now()),
          loop_.now());
      continue;
    }
    query.unanswered.insert(endpoint);
    LoadQuery& message = by_aggregator[aggregator];
    message.requester = instance_.self;
    message.number = number;
    message.endpoints.push_back(endpoint);
  }
  if (query.unanswered.empty()) {
    query.done(endpoints);
    return;
  }
  query.timer = loop_.AddTimer(loop_.now() + kQueryTimeout,
                               [this, number] { Finish(number); });
  pending_queries_.emplace(number, std::move(query));
  for (const auto& [aggregator, message] : by_aggregator) {
    datagrams_.SendTo(aggregator->peer_address(), PeerDatagramKind::kLoadQuery,
                      EncodeLoadQuery(message));
  }
}

void LoadQueryService::OnQuery(std::string_view payload) {
  const Result<LoadQuery> query = DecodeLoadQuery(payload);
  if (!query.ok())
    return;
  const LoadQuery& message = query.value();
  LoadAnswer answer{message.number, {}};
  for (const std::uint64_t endpoint : message.endpoints)
    answer.loads[endpoint] =
        load_aggregator_.Others(endpoint, message.requester, loop_.now());
  for (const MemberInfo& member : members_) {
    if (member.incarnation == message.requester) {
      datagrams_.SendTo(member.peer_address(), PeerDatagramKind::kLoadAnswer,
                        EncodeLoadAnswer(answer));
    }
  }
}

void LoadQueryService::OnAnswer(std::string_view payload) {
  const Result<LoadAnswer> answer = DecodeLoadAnswer(payload);
  if (!answer.ok())
    return;
  const auto found = pending_queries_.find(answer.value().number);
  if (found == pending_queries_.end())
    return;
  for (const auto& [endpoint, load] : answer.value().loads) {
    if (found->second.unanswered.erase(endpoint) > 0)
      load_tracker_.OnAggregateLoad(endpoint, load, loop_.now());
  }
  if (found->second.unanswered.empty())
    Finish(answer.value().number);
}

void LoadQueryService::Finish(std::uint64_t number) {
  const auto found = pending_queries_.find(number);
  if (found == pending_queries_.end())
    return;
  const PendingQuery query = std::move(found->second);
  pending_queries_.erase(found);
  loop_.CancelTimer(query.timer);
  std::vector<EndpointId> answered;
  for (const EndpointId& id : query.endpoints) {
    if (!query.unanswered.contains(FastHash(id.value())))
      answered.push_back(id);
  }
  query.done(answered);
}

}  // namespace carobshift
