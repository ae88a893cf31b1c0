// Decides whether this instance reaches the endpoints of a service.
//
//   ServiceReachability reachability;
//   reachability.SetEndpoints({{address, service}, ...}, now);
//   reachability.OnConnectStarted(address, now);
//   reachability.OnConnectFailed(address, now);
//   reachability.Advance(now);
//   for (const NetAddress& address : reachability.TakeProbes(now))
//     OpenConnection(address);
//   if (reachability.ReachOf(service) == ServiceReach::kReached) ...
//
// Load pattern: an instance with 35 requests a second loses the paths to all
// endpoints, while callers, the log and the other instances still reach it.
// Connections are reset and new ones refused, or connections hang, or open
// connections continue and new ones are refused. If each request found this out
// by itself, it would spend up to 200 ms on each connection attempt, and one
// with 600 ms of time would be lost. All requests therefore share what each of
// them observes.
//
// Only connection attempts decide. A service is unreached if attempts at
// several distinct endpoints (EvidenceNeeded(): all of them up to
// kMaxEvidenceEndpoints) have failed or are overdue, and nothing was received
// from any endpoint of the service since. All other observations only cause
// attempts:
//
// - A connection broke, or an attempt failed or takes longer than kConnectLate.
//   Probes are opened to the other endpoints at once.
// - An endpoint that has requests, and the whole service, sent nothing for
//   SilenceThreshold(). The endpoint may be silent although it is reached, so a
//   probe is opened. If it succeeds, the threshold of the service doubles up to
//   kMaxSilence, so that a slow service causes few probes.
// - Another service has become unreached, and this one is silent too.
//
// A dead, silent or full endpoint is thus no evidence about this instance as
// long as another one accepts a connection or sends a byte. A reply that
// refuses a request is received bytes like any other.
//
// If attempts fail at all of these endpoints while bytes still arrive over open
// connections, the result is kOpenConnectionsOnly: requests in progress
// continue, and requests that need a connection aren't served.
//
// An unreached service is probed at kProbesPerRound endpoints in turn, every
// kFirstProbeInterval at first and every kMaxProbeInterval later. It counts as
// reached at the first success. If it becomes unreached again within
// kFlapWindow, successes must continue for a hold time first, which doubles
// each time up to kMaxHold.
//
// If all endpoints of a service are dead, the result is kUnreached at every
// instance: one instance can't distinguish this from a loss of its own paths.
// Whoever uses the result asks whether another instance reaches the service.
//
// Ages count only time in which the process ran. After a pause, replies that
// arrived meanwhile are read before an attempt counts as overdue.
//
// Thread-compatible. Holds one entry for each endpoint and service.

#ifndef CAROBSHIFT_GATEWAY_ENDPOINTS_SERVICE_REACHABILITY_H_
#define CAROBSHIFT_GATEWAY_ENDPOINTS_SERVICE_REACHABILITY_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/units.h"

namespace carobshift {

enum class ServiceReach {
  kReached,
  // Open connections continue; new ones fail.
  kOpenConnectionsOnly,
  kUnreached,
};

// Returns the name of the state for logs.
[[nodiscard]] std::string_view ServiceReachName(ServiceReach reach);

// A change of what is known about one service, with its evidence.
struct ReachabilityChange {
  ServiceName service;
  ServiceReach reach = ServiceReach::kReached;
  int endpoints = 0;
  // Endpoints at which connections were attempted within kEvidenceLifetime.
  int tried = 0;
  // Endpoints at which connection attempts failed or are overdue.
  int failed = 0;
  // When the paths were lost, at the earliest. Also set in the change that ends
  // the loss.
  MonotonicTime lost_since{};
  // Time since the service last sent anything; nullopt if it never did.
  std::optional<Milliseconds> last_bytes_age;
};

class ServiceReachability {
 public:
  // Call Advance() at this interval while NeedsAdvance().
  static constexpr Milliseconds kAdvanceInterval{20};
  // Longest time between two calls that counts as time in which the process
  // ran.
  static constexpr Milliseconds kMaxStep{40};
  // Connecting takes a few milliseconds. An attempt that takes longer than
  // kConnectLate causes probes, and one that takes kConnectOverdue has failed.
  static constexpr Milliseconds kConnectLate{40};
  static constexpr Milliseconds kConnectOverdue{100};
  // A single failure causes probes if nothing was received for this long after
  // it.
  static constexpr Milliseconds kSingleSignalDelay{15};
  static constexpr Milliseconds kEvidenceLifetime{1000};
  static constexpr std::size_t kMaxEvidenceEndpoints = 12;
  // Minimum time between two rounds of probes to a service that is reached.
  static constexpr Milliseconds kRoundInterval{250};
  static constexpr Milliseconds kMinSilence{100};
  static constexpr Milliseconds kMaxSilence{200};
  static constexpr Milliseconds kSilenceProbeInterval{500};
  static constexpr Milliseconds kSilenceThresholdLifetime{10000};
  static constexpr std::size_t kProbesPerRound = 2;
  static constexpr Milliseconds kFirstProbeInterval{100};
  static constexpr Milliseconds kMaxProbeInterval{400};
  static constexpr Milliseconds kFlapWindow{30000};
  static constexpr Milliseconds kFirstHold{250};
  static constexpr Milliseconds kMaxHold{2000};
  // During the hold time, successes may be this far apart.
  static constexpr Milliseconds kMaxSuccessGap{500};

  // Sets the current endpoints. What is known of the others is dropped.
  void SetEndpoints(const std::map<NetAddress, ServiceName>& endpoints,
                    MonotonicTime now);

  // Events of connections to an endpoint. Those of an unknown address are
  // ignored. Each OnConnectStarted is followed by one of OnConnected,
  // OnConnectFailed and OnConnectAbandoned, each OnRequestSent by
  // OnRequestEnded.
  void OnConnectStarted(const NetAddress& address, MonotonicTime now);
  void OnConnected(const NetAddress& address, MonotonicTime now);
  void OnConnectFailed(const NetAddress& address, MonotonicTime now);
  void OnConnectAbandoned(const NetAddress& address, MonotonicTime now);
  void OnRequestSent(const NetAddress& address, MonotonicTime now);
  void OnRequestEnded(const NetAddress& address, MonotonicTime now);
  void OnBytesReceived(const NetAddress& address, MonotonicTime now);
  // A connection was reset or timed out.
  void OnConnectionBroken(const NetAddress& address, MonotonicTime now);
  // A probe that was taken could not be opened because all permitted
  // connections to the endpoint are in use.
  void OnProbeNotOpened(const NetAddress& address, MonotonicTime now);

  void Advance(MonotonicTime now);
  // Returns whether Advance() has anything to decide.
  [[nodiscard]] bool NeedsAdvance(MonotonicTime now) const;
  // Returns the endpoints to which a connection is to be opened now. An
  // endpoint may occur more than once.
  [[nodiscard]] std::vector<NetAddress> TakeProbes();
  [[nodiscard]] std::vector<ReachabilityChange> TakeChanges();
  // Returns whether there are probes or changes to take.
  [[nodiscard]] bool HasActions() const {
    return !probes_.empty() || !changes_.empty();
  }

  // Returns kReached for an unknown service.
  [[nodiscard]] ServiceReach ReachOf(const ServiceName& service) const;
  // Returns whether the paths to the service were lost at any time after
  // `since`.
  [[nodiscard]] bool LostAfter(const ServiceName& service,
                               MonotonicTime since) const;
  // Returns the services that aren't kReached.
  [[nodiscard]] std::vector<ServiceName> Unreached() const;

 private:
  // Time in which the process ran.
  using RunTime = Microseconds;

  struct Endpoint {
    ServiceName service;
    // Start times of the attempts in progress.
    std::deque<RunTime> connecting;
    // Failed attempts since the last success.
    int failures = 0;
    RunTime failed_at = kNever;
    // When an attempt last started or failed.
    RunTime tried_at = kNever;
    RunTime broken_at = kNever;
    RunTime last_bytes = kNever;
    int requests = 0;
    // When the last byte arrived, or the oldest request was sent.
    RunTime waiting_since = kNever;
    bool probe_not_opened = false;
  };
  struct Service {
    std::vector<NetAddress> endpoints;
    std::size_t next_probe = 0;
    ServiceReach reach = ServiceReach::kReached;
    RunTime last_bytes = kNever;
    RunTime last_connected = kNever;
    RunTime next_round = kNever;
    RunTime next_silence_probe = kNever;
    RunTime silence_threshold = kMinSilence;
    RunTime silence_threshold_set = kNever;
    bool silence_probe_open = false;
    RunTime next_probe_time = kNever;
    RunTime probe_interval = kFirstProbeInterval;
    // Times in a row that the service became unreached within kFlapWindow.
    int losses = 0;
    RunTime lost_at = kNever;
    MonotonicTime lost_since{};
    MonotonicTime reached_again{};
    // Since when connections succeed again; kNever if they don't.
    RunTime success_since = kNever;

    [[nodiscard]] RunTime last_contact() const;
    // Endpoints whose attempts must have failed.
    [[nodiscard]] std::size_t EvidenceNeeded() const;
    // Failed attempts that an endpoint needs to count. A single lost packet
    // must not decide for a service with few endpoints.
    [[nodiscard]] int StrikesNeeded() const;
    [[nodiscard]] RunTime HoldTime() const;
  };
  static constexpr RunTime kNever{-3'600'000'000};

  void CountTime(MonotonicTime now);
  [[nodiscard]] Endpoint* Find(const NetAddress& address);
  // Number of attempts at the endpoint that failed or are overdue, if nothing
  // was heard since `contact`.
  [[nodiscard]] int Strikes(const Endpoint& endpoint, RunTime contact) const;
  [[nodiscard]] bool Fails(const Service& service,
                           const Endpoint& endpoint,
                           RunTime contact) const;
  [[nodiscard]] std::size_t CountFailing(const Service& service,
                                         RunTime contact) const;
  // Returns whether bytes arrive at enough endpoints that fail to connect.
  [[nodiscard]] bool OpenConnectionsLive(const Service& service) const;
  // Returns when the endpoint last gave a reason to probe its service, kNever
  // if none since `contact`.
  [[nodiscard]] RunTime SignalTime(const Endpoint& endpoint,
                                   RunTime contact) const;
  void EvaluateReached(const ServiceName& name, Service& service);
  void EvaluateUnreached(const ServiceName& name, Service& service);
  void Evaluate(const ServiceName& name, Service& service);
  [[nodiscard]] bool IsSuspect(const Service& service) const;
  void ProbeIfSilent(Service& service);
  // Opens probes so that each endpoint that is needed as evidence has enough
  // attempts.
  void StartRound(Service& service);
  void SetReach(const ServiceName& name, Service& service, ServiceReach reach);
  void OnLost(const ServiceName& name, Service& service);

  std::map<NetAddress, Endpoint> endpoints_;
  std::map<ServiceName, Service> services_;
  std::vector<NetAddress> probes_;
  std::vector<ReachabilityChange> changes_;
  std::optional<MonotonicTime> last_event_;
  MonotonicTime active_until_{};
  RunTime clock_{0};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINTS_SERVICE_REACHABILITY_H_
