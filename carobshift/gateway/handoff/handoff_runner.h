// Runs the attempts of callers' requests: at endpoints if this instance reaches
// them, and otherwise by handing the request over to another instance.
//
//   HandoffRunner runner(loop, client, dialect, requests.attempt_runner(),
//                        reachability, regions, metrics, environment);
//   requests.SetHandoffRunner(&runner);
//   runner.OnTick();
//
// For the exchange, a handoff is an attempt like any other: it is reported as
// answered, refused ("not run") or failed, and the exchange applies its rules
// to it, so that a request that may run only once is handed over once. The
// class stands between the exchange and the runner of attempts at endpoints,
// which sees nothing of a handoff: it is no evidence about endpoints, their
// limits and load, or crashing requests. The peer, which sends the request to
// an endpoint, keeps these records.
//
// Failures and how they are handled:
//
// - No peer reaches the service either: the attempt goes to an endpoint as if
//   there were no peers.
// - A peer can't be connected to, or fails: it is avoided for kAvoidDuration.
// - This instance loses its endpoints while attempts connect or wait for an
//   answer: OnTick() moves those that may be moved to a peer.
// - The reply bears no HandoffState, so that it isn't from a peer that accepted
//   the request: it is skipped.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_HANDOFF_HANDOFF_RUNNER_H_
#define CAROBSHIFT_GATEWAY_HANDOFF_HANDOFF_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/endpoints/zone_regions.h"
#include "carobshift/gateway/handoff/handoff_choice.h"
#include "carobshift/gateway/handoff/reachability_view.h"
#include "carobshift/gateway/request/exchange.h"
#include "carobshift/gateway/request/exchange_run.h"
#include "carobshift/membership/member.h"
#include "carobshift/net/http_client.h"
#include "carobshift/telemetry/metrics.h"

namespace carobshift {

// What HandoffRunner knows of this instance and the others.
struct HandoffEnvironment {
  EntryId self;
  ZoneName zone;
  // The same on all instances.
  std::uint16_t port = 0;
  // Secret shared by the instances of a deployment.
  std::string secret;
  // Returns the live instances that have a configuration and stay.
  std::function<std::vector<MemberInfo>()> members;
  // Returns whether the retry budget of the service permits another retry, and
  // spends it. Each retry is ended by one of the other two functions.
  std::function<bool(const ServiceName&)> spend_retry;
  // The retry can't arrive at an endpoint after `last_arrival`.
  std::function<void(const ServiceName&, MonotonicTime last_arrival)>
      settle_retry;
  // The retry was never sent.
  std::function<void(const ServiceName&)> refund_retry;
  // RequestService::AdmitAttempt().
  std::function<bool(Exchange&)> admit_attempt;
  // A peer has relayed the reply of an endpoint.
  std::function<void(const ReplyMetadata&)> on_relayed_reply;
};

class HandoffRunner : public AttemptRunner {
 public:
  // Connecting to an instance takes a round trip of a few milliseconds.
  static constexpr Milliseconds kConnectTimeout{150};
  // Maximum idle time of a reused connection. If a kept connection has failed
  // unnoticed, the outcome of a request that may run only once is unknown.
  static constexpr Milliseconds kMaxIdle{1000};
  static constexpr Milliseconds kAvoidDuration{1000};
  // A peer that isn't known to have ended a request may send it to an endpoint
  // for so long: a stream waits there for Exchange::kMaxResumeWait.
  static constexpr Milliseconds kPeerSendTime =
      Exchange::kMaxResumeWait + Milliseconds(1000);

  HandoffRunner(EventLoop& loop,
                HttpClient& client,
                const RequestDialect& dialect,
                AttemptRunner& endpoint_attempts,
                const ReachabilityView& reachability,
                const ZoneRegions& regions,
                Metrics& metrics,
                HandoffEnvironment environment);

  // Adds an exchange that was constructed with this runner, before it starts.
  void Add(const std::shared_ptr<ExchangeRun>& run);
  [[nodiscard]] bool ReachesEndpointsOf(const ServiceName& service) const;
  // Returns whether a request would be handed over now.
  [[nodiscard]] bool WouldHandOver(const ExchangeSetup& setup) const;
  // Moves attempts of services that this instance no longer reaches. To be
  // called about every 100 ms and when the reachability changes.
  void OnTick();
  // Number of requests that are handed over and not answered yet.
  [[nodiscard]] int outstanding() const;

  AttemptError StartAttempt(Exchange& exchange,
                            const AttemptParams& wish,
                            AttemptStart* start) override;
  bool DropAttempt(Exchange& exchange, AttemptNumber attempt) override;
  void PauseAttempt(Exchange& exchange,
                    AttemptNumber attempt,
                    bool pause) override;
  void OnAttemptReply(Exchange& exchange,
                      AttemptNumber attempt,
                      const ReplyMetadata& facts) override;
  void OnAttemptBegins(Exchange& exchange, AttemptNumber attempt) override;
  void OnAttemptResumed(Exchange& exchange, AttemptNumber attempt) override;
  void OnAttemptEnd(Exchange& exchange, AttemptNumber attempt) override;
  void OnAttemptFailure(Exchange& exchange,
                        AttemptNumber attempt,
                        const CallFailure& failure) override;
  void OnStreamBegins(Exchange& exchange) override;
  Milliseconds RetryAfter(Exchange& exchange) override;
  ByteBudget* held_bytes() override { return endpoint_attempts_.held_bytes(); }
  void OnExchangeEnd(Exchange& exchange) override;

 private:
  struct Request {
    std::weak_ptr<ExchangeRun> run;
    // The peers of the attempts in progress that are handoffs.
    std::map<AttemptNumber, EntryId> handoffs;
    // The attempts in progress at endpoints.
    std::set<AttemptNumber> at_endpoints;
    // Peers that the request was handed over to.
    std::set<EntryId> tried;
    // The handoffs that were counted as retries and may still arrive.
    std::set<AttemptNumber> unsettled_retries;
  };
  struct Peer {
    int outstanding = 0;
    MonotonicTime avoided_until{};
  };

  [[nodiscard]] std::vector<HandoffCandidate> Candidates(
      const ExchangeSetup& setup) const;
  // The same with what is known of the candidates here.
  [[nodiscard]] std::vector<HandoffCandidate> RatedCandidates(
      const ExchangeSetup& setup,
      const Request& request) const;
  [[nodiscard]] Request& RequestOf(const Exchange& exchange) {
    return requests_.at(&exchange);
  }
  void HandOver(Exchange& exchange,
                const AttemptParams& wish,
                const MemberInfo& peer,
                Request& request);
  [[nodiscard]] ReplyMetadata DecodeReply(const HttpHead& head) const;
  void EndHandoff(Request& request, AttemptNumber attempt);
  // Ends the retry that the handoff was counted as, if it was and is not ended
  // yet. `sent` is false if the handoff was never sent.
  void EndRetry(const Exchange& exchange,
                AttemptNumber attempt,
                bool sent,
                MonotonicTime last_arrival);
  void MoveAttempt(ExchangeRun& run, AttemptNumber attempt);
  void Count(std::string_view outcome);

  EventLoop& loop_;
  HttpClient& client_;
  const RequestDialect& dialect_;
  AttemptRunner& endpoint_attempts_;
  const ReachabilityView& reachability_;
  const ZoneRegions& regions_;
  Metrics& metrics_;
  const HandoffEnvironment environment_;
  std::unordered_map<const Exchange*, Request> requests_;
  std::map<EntryId, Peer> peers_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_HANDOFF_HANDOFF_RUNNER_H_
