#include "carobshift/gateway/handoff/handoff_runner.h"

#include <utility>

#include "carobshift/base/digest.h"
#include "carobshift/gateway/handoff/handoff_codec.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

// No caller's request has this id, so a reply that seems to answer it is
// skipped.
constexpr char kNoRequest[] = "not a reply of an instance";

}  // namespace

HandoffRunner::HandoffRunner(EventLoop& loop,
                             HttpClient& client,
                             const RequestDialect& dialect,
                             AttemptRunner& endpoint_attempts,
                             const ReachabilityView& reachability,
                             const ZoneRegions& regions,
                             Metrics& metrics,
                             HandoffEnvironment environment)
    : loop_(loop),
      client_(client),
      dialect_(dialect),
      endpoint_attempts_(endpoint_attempts),
      reachability_(reachability),
      regions_(regions),
      metrics_(metrics),
      environment_(std::move(environment)) {}

void HandoffRunner::Add(const std::shared_ptr<ExchangeRun>& run) {
  requests_[&run->exchange()].run = run;
}

bool HandoffRunner::ReachesEndpointsOf(const ServiceName& service) const {
  return reachability_.SelfReaches(service, loop_.now());
}

bool HandoffRunner::WouldHandOver(const ExchangeSetup& setup) const {
  return !ReachesEndpointsOf(setup.service) && !Candidates(setup).empty();
}

int HandoffRunner::outstanding() const {
  int count = 0;
  for (const auto& [id, peer] : peers_)
    count += peer.outstanding;
  return count;
}

std::vector<HandoffCandidate> HandoffRunner::Candidates(
    const ExchangeSetup& setup) const {
  HandoffQuery query{.self = environment_.self, .service = setup.service};
  query.allowed_regions = setup.route->allowed_regions;
  if (setup.account != nullptr) {
    query.allowed_regions =
        CommonRegions(query.allowed_regions, setup.account->allowed_regions);
  }
  return HandoffCandidates(environment_.members(), query, regions_,
                           reachability_, loop_.now());
}

std::vector<HandoffCandidate> HandoffRunner::RatedCandidates(
    const ExchangeSetup& setup,
    const Request& request) const {
  std::vector<HandoffCandidate> candidates = Candidates(setup);
  for (HandoffCandidate& candidate : candidates) {
    const auto known = peers_.find(candidate.member.id);
    candidate.avoided = request.tried.contains(candidate.member.id);
    if (known == peers_.end())
      continue;
    candidate.outstanding = known->second.outstanding;
    if (loop_.now() < known->second.avoided_until)
      candidate.avoided = true;
  }
  return candidates;
}

AttemptError HandoffRunner::StartAttempt(Exchange& exchange,
                                         const AttemptParams& wish,
                                         AttemptStart* start) {
  const ExchangeSetup& setup = exchange.setup();
  Request& request = RequestOf(exchange);
  std::vector<HandoffCandidate> candidates;
  if (!ReachesEndpointsOf(setup.service))
    candidates = RatedCandidates(setup, request);
  if (candidates.empty()) {
    const AttemptError error =
        endpoint_attempts_.StartAttempt(exchange, wish, start);
    if (error == AttemptError::kNone)
      request.at_endpoints.insert(wish.number);
    return error;
  }
  if (!environment_.admit_attempt(exchange))
    return AttemptError::kShuttingDown;
  if (wish.replacement) {
    std::erase_if(candidates,
                  [](const auto& candidate) { return candidate.avoided; });
  }
  const auto peer =
      ChooseHandoffPeer(candidates, environment_.zone,
                        FastHash(setup.request.id.value(), RandomUint64()));
  if (!peer)
    return AttemptError::kNoEndpoint;
  if (wish.repeat && !environment_.spend_retry(setup.service))
    return AttemptError::kRetryBudgetSpent;
  if (wish.repeat)
    request.unsettled_retries.insert(wish.number);
  HandOver(exchange, wish, *peer, request);
  return AttemptError::kNone;
}

void HandoffRunner::HandOver(Exchange& exchange,
                             const AttemptParams& wish,
                             const MemberInfo& peer,
                             Request& request) {
  request.handoffs[wish.number] = peer.id;
  request.tried.insert(peer.id);
  ++peers_[peer.id].outstanding;
  const CallerRequest& sent = exchange.request();
  HttpHead head = dialect_.EncodeRequest(sent, wish.time_left, wish.last_event);
  const ExchangeSetup& setup = exchange.setup();
  std::optional<StreamBeginning> beginning;
  if (setup.software)
    beginning = {setup.service, *setup.software};
  SetStreamBeginning(beginning, head);
  SealHandoff({.from = environment_.self,
               .to = peer.id,
               .to_incarnation = peer.incarnation},
              sent.body.view(), environment_.secret, head);
  HttpCallOptions options;
  options.connect_timeout = kConnectTimeout;
  options.max_idle = kMaxIdle;
  options.is_head_request = sent.method == "HEAD";
  options.body = sent.body;
  LogEvent(LogLevel::kInfo, "request_handed_off",
           {{"request", sent.id.value()},
            {"peer", peer.id.value()},
            {"time_left_ms", wish.time_left.count()},
            {"repeat", wish.repeat}});
  request.run.lock()->StartCall(
      wish.number, client_, {peer.host, environment_.port},
      SerializeRequestHead(head), options,
      [this](const HttpHead& reply) { return DecodeReply(reply); });
}

ReplyMetadata HandoffRunner::DecodeReply(const HttpHead& head) const {
  const std::optional<HandoffState> state = HandoffStateOf(head);
  ReplyMetadata facts;
  if (!state) {
    facts.request = RequestId(kNoRequest);
    return facts;
  }
  const ReplyMetadata relayed = dialect_.DecodeReply(head);
  facts.request = relayed.request;
  facts.not_run = state == HandoffState::kNotRun;
  facts.endpoint = relayed.endpoint;
  facts.leaving = relayed.leaving;
  if (const auto software = head.Find(kStreamSoftwareField))
    facts.software = SoftwareVersion(std::string(*software));
  return facts;
}

void HandoffRunner::EndHandoff(Request& request, AttemptNumber attempt) {
  --peers_[request.handoffs.at(attempt)].outstanding;
  request.handoffs.erase(attempt);
}

bool HandoffRunner::DropAttempt(Exchange& exchange, AttemptNumber attempt) {
  Request& request = RequestOf(exchange);
  if (!request.handoffs.contains(attempt)) {
    request.at_endpoints.erase(attempt);
    return endpoint_attempts_.DropAttempt(exchange, attempt);
  }
  EndHandoff(request, attempt);
  Count("dropped");
  const auto run = request.run.lock();
  const bool sent = run->CallSent(attempt);
  run->DropCall(attempt);
  EndRetry(exchange, attempt, sent, loop_.now() + kPeerSendTime);
  return sent;
}

void HandoffRunner::EndRetry(const Exchange& exchange,
                             AttemptNumber attempt,
                             bool sent,
                             MonotonicTime last_arrival) {
  if (RequestOf(exchange).unsettled_retries.erase(attempt) == 0)
    return;
  const ServiceName& service = exchange.setup().service;
  if (sent)
    environment_.settle_retry(service, last_arrival);
  else
    environment_.refund_retry(service);
}

void HandoffRunner::PauseAttempt(Exchange& exchange,
                                 AttemptNumber attempt,
                                 bool pause) {
  const Request& request = RequestOf(exchange);
  if (request.handoffs.contains(attempt))
    request.run.lock()->PauseCall(attempt, pause);
  else
    endpoint_attempts_.PauseAttempt(exchange, attempt, pause);
}

void HandoffRunner::OnAttemptReply(Exchange& exchange,
                                   AttemptNumber attempt,
                                   const ReplyMetadata& facts) {
  if (!RequestOf(exchange).handoffs.contains(attempt)) {
    endpoint_attempts_.OnAttemptReply(exchange, attempt, facts);
    return;
  }
  EndRetry(exchange, attempt, /*sent=*/true, loop_.now());
  Count(facts.not_run ? "not_run" : "answered");
  environment_.on_relayed_reply(facts);
}

void HandoffRunner::OnAttemptBegins(Exchange& exchange, AttemptNumber attempt) {
  if (!RequestOf(exchange).handoffs.contains(attempt))
    endpoint_attempts_.OnAttemptBegins(exchange, attempt);
}

void HandoffRunner::OnAttemptResumed(Exchange& exchange,
                                     AttemptNumber attempt) {
  if (!RequestOf(exchange).handoffs.contains(attempt))
    endpoint_attempts_.OnAttemptResumed(exchange, attempt);
}

void HandoffRunner::OnAttemptEnd(Exchange& exchange, AttemptNumber attempt) {
  Request& request = RequestOf(exchange);
  if (request.handoffs.contains(attempt)) {
    EndHandoff(request, attempt);
    return;
  }
  request.at_endpoints.erase(attempt);
  endpoint_attempts_.OnAttemptEnd(exchange, attempt);
}

void HandoffRunner::OnAttemptFailure(Exchange& exchange,
                                     AttemptNumber attempt,
                                     const CallFailure& failure) {
  Request& request = RequestOf(exchange);
  const auto handoff = request.handoffs.find(attempt);
  if (handoff == request.handoffs.end()) {
    request.at_endpoints.erase(attempt);
    endpoint_attempts_.OnAttemptFailure(exchange, attempt, failure);
    return;
  }
  peers_[handoff->second].avoided_until = loop_.now() + kAvoidDuration;
  Count("failed");
  LogEvent(LogLevel::kInfo, "handoff_failed",
           {{"request", exchange.request().id.value()},
            {"peer", handoff->second.value()},
            {"fault", CallFaultName(failure.fault)},
            {"sent", failure.sent}});
  EndHandoff(request, attempt);
  EndRetry(exchange, attempt, failure.sent, loop_.now() + kPeerSendTime);
}

void HandoffRunner::OnStreamBegins(Exchange& exchange) {
  endpoint_attempts_.OnStreamBegins(exchange);
}

Milliseconds HandoffRunner::RetryAfter(Exchange& exchange) {
  return endpoint_attempts_.RetryAfter(exchange);
}

void HandoffRunner::OnExchangeEnd(Exchange& exchange) {
  requests_.erase(&exchange);
  endpoint_attempts_.OnExchangeEnd(exchange);
}

void HandoffRunner::OnTick() {
  std::vector<std::pair<std::shared_ptr<ExchangeRun>, AttemptNumber>> isolated;
  for (const auto& [exchange, request] : requests_) {
    if (request.at_endpoints.empty() || !WouldHandOver(exchange->setup()))
      continue;
    for (const AttemptNumber attempt : request.at_endpoints)
      isolated.emplace_back(request.run.lock(), attempt);
  }
  for (const auto& [run, attempt] : isolated)
    MoveAttempt(*run, attempt);
}

void HandoffRunner::MoveAttempt(ExchangeRun& run, AttemptNumber attempt) {
  Exchange& exchange = run.exchange();
  if (exchange.over() || !exchange.IsWaiting(attempt))
    return;
  if (run.CallSent(attempt)) {
    exchange.OnEndpointSilent(loop_.now());
    return;
  }
  DropAttempt(exchange, attempt);
  exchange.OnAttemptFailed(
      attempt, {CallFault::kWithdrawn, /*sent=*/false, /*reused=*/false},
      loop_.now());
}

void HandoffRunner::Count(std::string_view outcome) {
  metrics_.Add("carobshift_handoffs_total", {{"outcome", outcome}}, 1);
}

}  // namespace carobshift
