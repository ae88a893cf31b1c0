// The load of one service as seen by this entry. Keeps the admission queue,
// this entry's share of each endpoint's concurrency and each endpoint's latency
// consistent with each other.
//
//   ServiceLoad load(options, service);
//   load.Refresh(service, candidates, live_entries);
//   AdmissionDecision decision = load.queue().Submit(request, now);
//   std::optional<Attempt> attempt = load.Choose(query, candidates, now);
//
// Not thread-safe: LoadTable holds its mutex during every call. Keeps one
// record per endpoint of the service.

#ifndef CAROBSHIFT_SERVER_TABLES_SERVICE_LOAD_H_
#define CAROBSHIFT_SERVER_TABLES_SERVICE_LOAD_H_

#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "carobshift/admission/admission_queue.h"
#include "carobshift/admission/entry_share.h"
#include "carobshift/config/declaration.h"
#include "carobshift/routing/endpoint_health.h"
#include "carobshift/routing/router.h"
#include "carobshift/server/tables/endpoint_table.h"

namespace carobshift {

// Where one prompt is cached, as input to routing.
struct CacheView {
  std::vector<std::pair<EndpointId, Tokens>> hits;
  std::vector<ImportOption> imports;
};

struct RouteQuery {
  RequestId id;
  Tokens prompt_tokens = 0;
  std::uint64_t prefix_hash = 0;
  ZoneName zone;
  CacheView cache;
  // Set for a request that is suspected of crashing endpoints. It is sent only
  // to an endpoint with no other requests, which then gets no others until the
  // attempt ends.
  bool isolated = false;
};

// An attempt at a chosen endpoint. Passed back when it ends.
struct Attempt {
  EndpointInfo endpoint;
  RoutingChoice choice;
  bool isolated = false;
  bool got_first_token = false;
  MonotonicTime begin{};
};

// Entries use the defaults; the load driver's baselines differ.
struct ServiceLoadOptions {
  AdmissionOptions admission;
  ConcurrencyLimitOptions limit;
  EndpointHealthOptions health;
  RoutingStrategy strategy = RoutingStrategies().front();
  // False disables admission control, so that every request is sent at once;
  // only for baselines.
  bool admission_control = true;
};

class ServiceLoad {
 public:
  ServiceLoad(const ServiceLoadOptions& options, const ServiceSpec& service);

  // Updates the set of endpoints that accept work, and applies load reports
  // that are newer than the last ones applied. Returns the endpoints whose
  // process has died since then, detected by a changed incarnation.
  std::vector<EndpointId> Refresh(const ServiceSpec& service,
                                  const std::vector<EndpointInfo>& candidates,
                                  int live_entries);

  // Chooses an endpoint for an attempt among `candidates`, or nothing. Counts
  // the attempt as started.
  std::optional<Attempt> Choose(const RouteQuery& query,
                                const std::vector<EndpointInfo>& candidates,
                                MonotonicTime now);

  void OnFirstToken(Attempt* attempt, MonotonicTime now);
  // `failed` is true if the endpoint caused the failure.
  void OnEnd(const Attempt& attempt, bool failed, MonotonicTime now);

  // The expected number of output tokens, from recent answers, at most
  // `max_tokens`.
  [[nodiscard]] Tokens ExpectedDecode(Tokens max_tokens) const;
  void OnAnswer(Tokens completion_tokens);
  // The expected time from the start of a request to its first token: its
  // prefill plus the recent wait inside the endpoint. A deadline must leave
  // room for both.
  [[nodiscard]] Microseconds TimeAfterStart(Tokens uncached) const;

  [[nodiscard]] AdmissionQueue& queue() { return queue_; }
  [[nodiscard]] const AdmissionQueue& queue() const { return queue_; }
  [[nodiscard]] const EntryShare& share() const { return share_; }
  [[nodiscard]] const EndpointHealthTracker& health() const { return health_; }

 private:
  struct Record {
    std::uint64_t incarnation = 0;
    MonotonicTime report_time{};
    int own_at_report = 0;
    Tokens prefill_at_report = 0;
    Tokens reported_prefill = 0;
    Tokens pending_prefill = 0;
    bool ready = false;
    bool exclusive = false;
  };

  // An endpoint of the last Refresh. Kept in the order of its candidates.
  struct RefreshedEndpoint {
    EndpointId id;
    MonotonicTime report_time{};
  };

  void UpdateEndpoints(const std::vector<EndpointInfo>& candidates);
  // True if the endpoint's process has been replaced since the last report.
  bool ApplyReport(const EndpointInfo& endpoint);
  // Chooses among the `window` candidates from `start` on and the endpoints
  // that hold cached blocks.
  std::optional<Attempt> ChooseWithin(
      const RouteQuery& query,
      const std::vector<EndpointInfo>& candidates,
      std::size_t start,
      std::size_t window,
      MonotonicTime now);
  [[nodiscard]] EndpointLoad LoadOf(const EndpointInfo& endpoint,
                                    bool alone,
                                    MonotonicTime now) const;
  [[nodiscard]] Microseconds UnloadedTime(const Attempt& attempt,
                                          Microseconds observed);
  void LearnPrefillRate(const Attempt& attempt, Microseconds observed);

  void UpdateCapacity();

  RoutingStrategy strategy_;
  bool gated_;
  AdmissionQueue queue_;
  EntryShare share_;
  EndpointHealthTracker health_;
  Milliseconds first_token_target_;
  int entries_ = 1;
  std::vector<RefreshedEndpoint> refreshed_;
  std::unordered_map<EndpointId, Record> records_;
  std::uint64_t turn_ = 0;
  double prefill_rate_ = 8000;
  double decode_tokens_ = 128;
  double attempt_micros_ = 1e6;
  double endpoint_wait_micros_ = 0;
  // The shortest recent time of a plain call, an estimate of its time without
  // queueing.
  double fastest_micros_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TABLES_SERVICE_LOAD_H_
