// Tracks the load of each endpoint from all instances together.
//
//   LoadTracker load_tracker;
//   load_tracker.OnStart(endpoint, footprint, prefill_tokens);
//   load_tracker.OnPeerReport(report, now);
//   const EndpointLoad load = load_tracker.Total(endpoint);
//
// Load pattern: engines keep the tokens of running prompts in memory, and long
// document prompts fill 9/10 of it. One of seven instances sees 1/7 of the
// requests. By its own load alone it would send a long prompt to an engine
// whose memory is full, where the prompt waits for seconds or evicts another
// one. Instances therefore send each other their running load a few times a
// second.
//
// kReportPeriod is short compared to the seconds that a long prompt runs, and
// costs a small instance about 30 datagrams a second among seven. With more
// instances the period grows, so that an instance never handles more than
// kMaxReportsPerSecond. A peer's report expires after kReportLifetimePeriods of
// its periods; the requests of a dead peer end with it.
//
// A prompt part that several requests share is counted once for each instance.
//
// Memory is also counted by the priority of the route. When long, less urgent
// prompts fill an engine, a short, more urgent one still gets in: engines admit
// it first and preempt the others. A request therefore waits only for memory of
// requests whose route is at least as urgent. The account's priority doesn't
// count here: long prompts of an urgent account would be placed on top of full
// engines, which would preempt and prefill again what they evict.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_LOAD_LOAD_TRACKER_H_
#define CAROBSHIFT_GATEWAY_LOAD_LOAD_TRACKER_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/placement/urgency_ranks.h"
#include "carobshift/gateway/request/caller_request.h"

namespace carobshift {

// Memory that one request uses at an endpoint.
struct RequestFootprint {
  // Tokens that only this request uses: the prompt's last part and the output.
  Tokens own_tokens = 0;
  std::vector<PromptPart> shared;
  // The route's priority; 0 is the most urgent. Beyond the last level, the last
  // one counts.
  int priority = 0;

  [[nodiscard]] static RequestFootprint Of(const CallerRequest& request);
  // Tokens of the request if it shares no part with other requests.
  [[nodiscard]] Tokens TotalTokens() const;
};

struct EndpointLoad {
  double tokens = 0;
  double requests = 0;
  // Prompt tokens that haven't been prefilled yet; the engine prefills them
  // before a new prompt.
  double prefill_tokens = 0;
  // The part of `tokens` that requests of each priority hold. Tokens that no
  // level contains count as held by the most urgent requests.
  std::array<double, UrgencyRanks::kLevels> tokens_by_priority{};

  // Returns the tokens of requests that are at least as urgent.
  [[nodiscard]] double TokensUpTo(int priority) const;
  EndpointLoad& operator+=(const EndpointLoad& other);
  EndpointLoad& operator-=(const EndpointLoad& other);
};

// The load that one instance reports to the others.
struct LoadReport {
  Incarnation sender;
  std::uint64_t sequence = 0;
  Milliseconds period{0};
  // By the hash of the endpoint's id.
  std::map<std::uint64_t, EndpointLoad> loads;
};

class LoadTracker {
 public:
  static constexpr Milliseconds kReportPeriod{200};
  static constexpr double kMaxReportsPerSecond = 60;
  static constexpr int kReportLifetimePeriods = 4;
  // An older aggregate is no more accurate than the peers' reports.
  static constexpr Milliseconds kAggregateMaxAge{300};

  // Returns the time between two reports of an instance among `instances`.
  [[nodiscard]] static Milliseconds PeriodFor(std::size_t instances);

  // `prefill_tokens`: prompt tokens that the endpoint has to prefill.
  void OnStart(const EndpointId& endpoint,
               const RequestFootprint& footprint,
               double prefill_tokens);
  // The prompt was prefilled, or won't be. Call once for each OnStart().
  void OnPrefillDone(const EndpointId& endpoint, double prefill_tokens);
  // Call once for each OnStart().
  void OnEnd(const EndpointId& endpoint, const RequestFootprint& footprint);
  void OnPeerReport(const LoadReport& report, MonotonicTime now);
  // Sets the load of all other instances at the endpoint with this hash, as
  // reported by its aggregator (load_aggregator.h). It takes precedence over
  // the peers' reports for kAggregateMaxAge.
  void OnAggregateLoad(std::uint64_t endpoint,
                       const EndpointLoad& others,
                       MonotonicTime now);
  // Sets the callback for each endpoint at which this instance's own load has
  // changed.
  void SetOwnLoadCallback(std::function<void(const EndpointId&)> on_change) {
    on_change_ = std::move(on_change);
  }
  void Expire(MonotonicTime now);

  [[nodiscard]] EndpointLoad Total(const EndpointId& endpoint) const;
  // Returns the tokens that the request would add to the endpoint's memory.
  [[nodiscard]] double AddedTokens(const EndpointId& endpoint,
                                   const RequestFootprint& footprint) const;
  [[nodiscard]] std::map<std::uint64_t, EndpointLoad> OwnLoads() const;
  [[nodiscard]] EndpointLoad OwnLoadAt(const EndpointId& endpoint) const;

 private:
  struct OwnLoad {
    EndpointLoad load;
    struct SharedPart {
      int requests = 0;
      // Of the first request that uses the part.
      int priority = 0;
    };
    // By part id.
    std::unordered_map<std::string, SharedPart> shared;

    void AddTokens(int priority, double tokens);
  };
  struct Peer {
    LoadReport report;
    MonotonicTime expires;
  };

  std::unordered_map<EndpointId, OwnLoad> own_;
  std::unordered_map<Incarnation, Peer> peers_;
  // Sum over the peers, updated with each report. Recomputing it would cost
  // time that grows with the square of the number of instances.
  std::unordered_map<std::uint64_t, EndpointLoad> peer_totals_;

  struct AggregateLoad {
    EndpointLoad others;
    MonotonicTime at{};
  };
  std::unordered_map<std::uint64_t, AggregateLoad> aggregates_;
  std::function<void(const EndpointId&)> on_change_;

  // Add the loads of a peer's report to the sums, or subtract them.
  void Add(const LoadReport& report);
  void Subtract(const LoadReport& report);
  void NotifyChanged(const EndpointId& endpoint) const {
    if (on_change_)
      on_change_(endpoint);
  }
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_LOAD_LOAD_TRACKER_H_
