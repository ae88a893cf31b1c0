// The load of one service as this entry sees it: queue, share of each endpoint,
// and each endpoint's own latency, kept consistent with each other.
//
//   ServiceLoad load(options, service);
//   load.Refresh(service, candidates, live_entries, now);
//   AdmissionDecision decision = load.queue().Arrive(request, now);
//   RouteAnswer route = load.Choose(request, candidates, cache, now);
//
// Not thread-safe: LoadTable holds its mutex around every call. State: one
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

// What the cache directory knows of one prompt.
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
  // For a request that is suspected of crashing endpoints: only one that runs
  // nothing else, which gets nothing else meanwhile.
  bool alone = false;
};

// An attempt that was given an endpoint; handed back when it ends.
struct Attempt {
  EndpointInfo endpoint;
  RoutingChoice choice;
  bool alone = false;
  bool got_first_token = false;
  MonotonicTime begin{};
};

// The defaults are what the entries use; the load driver's baselines differ.
struct ServiceLoadOptions {
  AdmissionOptions admission;
  ConcurrencyLimitOptions limit;
  EndpointHealthOptions health;
  RoutingStrategy strategy = RoutingStrategies().front();
  // False sends everything to the endpoints at once; only for baselines.
  bool gated = true;
};

class ServiceLoad {
 public:
  ServiceLoad(const ServiceLoadOptions& options, const ServiceSpec& service);

  // Takes over which endpoints take work, and load reports that are newer
  // than the last ones seen. Returns the endpoints whose process has died
  // since, by a changed incarnation.
  std::vector<EndpointId> Refresh(const ServiceSpec& service,
                                  const std::vector<EndpointInfo>& candidates,
                                  int live_entries);

  // The endpoint for an attempt among `candidates`, or nothing. The attempt
  // counts as begun.
  std::optional<Attempt> Choose(const RouteQuery& query,
                                const std::vector<EndpointInfo>& candidates,
                                MonotonicTime now);

  void OnFirstToken(Attempt* attempt, MonotonicTime now);
  // `failed` if the endpoint is to blame.
  void OnEnd(const Attempt& attempt, bool failed, MonotonicTime now);

  // Tokens that an answer has usually had, at most `max_tokens`.
  [[nodiscard]] Tokens ExpectedDecode(Tokens max_tokens) const;
  void OnAnswer(Tokens completion_tokens);
  // From a start to the first token: the prefill, and the wait inside the
  // endpoint as it was lately. A deadline must leave room for both.
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

  // The endpoints of the last Refresh, in its order.
  struct Seen {
    EndpointId id;
    MonotonicTime report_time{};
  };

  void TakeEndpoints(const std::vector<EndpointInfo>& candidates);
  // True if the endpoint's process is another one than before.
  bool TakeReport(const EndpointInfo& endpoint);
  // Among the `window` candidates from `start` on, and the holders of blocks.
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
  std::vector<Seen> seen_;
  std::unordered_map<EndpointId, Record> records_;
  std::uint64_t turn_ = 0;
  double prefill_rate_ = 8000;
  double decode_tokens_ = 128;
  double attempt_micros_ = 1e6;
  double endpoint_wait_micros_ = 0;
  // The shortest time of a plain call lately: what it takes without waiting.
  double fastest_micros_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TABLES_SERVICE_LOAD_H_
