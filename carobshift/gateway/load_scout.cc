#include "carobshift/gateway/load_scout.h"

#include <utility>

#include "carobshift/base/digest.h"
#include "carobshift/gateway/load_scout_codec.h"

namespace carobshift {

LoadScout::LoadScout(EventLoop& loop,
                     ScoutIdentity identity,
                     PeerDatagrams& datagrams,
                     LoadBook& book)
    : loop_(loop),
      identity_(std::move(identity)),
      datagrams_(datagrams),
      book_(book) {
  // What can't be read is dropped: updates are repeated, and a question without
  // an answer ends by its time.
  datagrams_.SetHandler(PeerDatagramKind::kLoadUpdate,
                        [this](std::string_view bytes) { OnUpdate(bytes); });
  datagrams_.SetHandler(PeerDatagramKind::kLoadQuestion,
                        [this](std::string_view bytes) { OnQuestion(bytes); });
  datagrams_.SetHandler(PeerDatagramKind::kLoadAnswer,
                        [this](std::string_view bytes) { OnAnswer(bytes); });
  book_.SetOnChange([this](const EndpointId& id) { OnChanged(id); });
}

LoadScout::~LoadScout() {
  book_.SetOnChange(nullptr);
  for (const auto& [number, question] : questions_)
    loop_.CancelTimer(question.timer);
}

void LoadScout::OnTick() {
  members_ = identity_.live();
  tally_.Expire(loop_.now());
  if (!active() || loop_.now() < next_repeat_)
    return;
  next_repeat_ = loop_.now() + LoadTally::kRepeat;
  RepeatUpdates();
}

void LoadScout::RepeatUpdates() {
  for (const auto& [endpoint, load] : book_.Own())
    SendUpdate(endpoint, load);
}

void LoadScout::OnChanged(const EndpointId& endpoint) {
  if (active())
    SendUpdate(FastHash(endpoint.value()), book_.OwnAt(endpoint));
}

void LoadScout::SendUpdate(std::uint64_t endpoint, const EndpointLoad& load) {
  const MemberInfo* const keeper = KeeperOf(endpoint, members_);
  if (keeper == nullptr)
    return;
  const LoadUpdate update{identity_.self, ++sequence_, endpoint, load};
  if (keeper->incarnation == identity_.self) {
    tally_.OnUpdate(update, loop_.now());
    return;
  }
  datagrams_.SendTo(keeper->peer_address(), PeerDatagramKind::kLoadUpdate,
                    EncodeLoadUpdate(update));
}

void LoadScout::OnUpdate(std::string_view payload) {
  const Result<LoadUpdate> update = DecodeLoadUpdate(payload);
  if (update.ok())
    tally_.OnUpdate(update.value(), loop_.now());
}

void LoadScout::Ask(const std::vector<EndpointId>& endpoints, Done done) {
  const std::uint64_t number = ++last_question_;
  std::map<const MemberInfo*, LoadQuestion> by_keeper;
  Question question{endpoints, {}, std::move(done), {}};
  for (const EndpointId& id : endpoints) {
    const std::uint64_t endpoint = FastHash(id.value());
    const MemberInfo* const keeper = KeeperOf(endpoint, members_);
    if (keeper == nullptr)
      continue;
    if (keeper->incarnation == identity_.self) {
      book_.OnKeeperTold(endpoint,
                         tally_.Others(endpoint, identity_.self, loop_.now()),
                         loop_.now());
      continue;
    }
    question.open.insert(endpoint);
    LoadQuestion& asked = by_keeper[keeper];
    asked.asker = identity_.self;
    asked.number = number;
    asked.endpoints.push_back(endpoint);
  }
  if (question.open.empty()) {
    question.done(endpoints);
    return;
  }
  question.timer = loop_.AddTimer(loop_.now() + kLongestWait,
                                  [this, number] { Finish(number); });
  questions_.emplace(number, std::move(question));
  for (const auto& [keeper, asked] : by_keeper) {
    datagrams_.SendTo(keeper->peer_address(), PeerDatagramKind::kLoadQuestion,
                      EncodeLoadQuestion(asked));
  }
}

void LoadScout::OnQuestion(std::string_view payload) {
  const Result<LoadQuestion> question = DecodeLoadQuestion(payload);
  if (!question.ok())
    return;
  const LoadQuestion& asked = question.value();
  LoadAnswer answer{asked.number, {}};
  for (const std::uint64_t endpoint : asked.endpoints)
    answer.loads[endpoint] = tally_.Others(endpoint, asked.asker, loop_.now());
  for (const MemberInfo& member : members_) {
    if (member.incarnation == asked.asker) {
      datagrams_.SendTo(member.peer_address(), PeerDatagramKind::kLoadAnswer,
                        EncodeLoadAnswer(answer));
    }
  }
}

void LoadScout::OnAnswer(std::string_view payload) {
  const Result<LoadAnswer> answer = DecodeLoadAnswer(payload);
  if (!answer.ok())
    return;
  const auto found = questions_.find(answer.value().number);
  if (found == questions_.end())
    return;
  for (const auto& [endpoint, load] : answer.value().loads) {
    if (found->second.open.erase(endpoint) > 0)
      book_.OnKeeperTold(endpoint, load, loop_.now());
  }
  if (found->second.open.empty())
    Finish(answer.value().number);
}

void LoadScout::Finish(std::uint64_t number) {
  const auto found = questions_.find(number);
  if (found == questions_.end())
    return;
  const Question question = std::move(found->second);
  questions_.erase(found);
  loop_.CancelTimer(question.timer);
  std::vector<EndpointId> told;
  for (const EndpointId& id : question.endpoints) {
    if (!question.open.contains(FastHash(id.value())))
      told.push_back(id);
  }
  question.done(told);
}

}  // namespace carobshift
