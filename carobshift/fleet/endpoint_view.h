// EndpointView combines the platform's instance list, the engines' own status
// answers, local failures and the peers' gossip into one state per endpoint,
// and selects the endpoints that may take new work.
//
//   view.OnList(instances, now);
//   view.OnStatus(id, status, asked_at);
//   view.OnFacts(leaving, draining, now);
//   for (const ObservedEndpoint& e : view.EligibleEndpoints(service, now)) ...
//
// Load pattern: 1,500 endpoints restart or are replaced on an ordinary day, and
// the list lags behind. Work sent to a dead endpoint waits for a timeout; work
// sent to a leaving endpoint is cut off when it stops. An endpoint's own answer
// and local failures therefore take precedence over the list, a single source
// that reports "leaving" is enough, and an outage of the list changes nothing.
//
// Constants: status requests go out every 200 ms, so a kLostAfterFailures of 2
// detects a dead engine in about half a second, while one lost answer does not
// remove every endpoint of a service. A plain service that fails is retried
// after kHoldOff. A leaving state that only the list reported ends once the
// list has reported the instance live for kReadmitAfter, which exceeds the
// list's lag, so that an older copy of the list cannot revert it.

#ifndef CAROBSHIFT_FLEET_ENDPOINT_VIEW_H_
#define CAROBSHIFT_FLEET_ENDPOINT_VIEW_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/config/declaration.h"
#include "carobshift/external/engine.h"
#include "carobshift/external/instance_list.h"
#include "carobshift/fleet/endpoint.h"

namespace carobshift {

// Disables one mechanism, to show that the fuzz test detects its absence. For
// tests only.
enum class EndpointViewMutation {
  kNone,
  // Ignores peers' gossip about leaving endpoints.
  kIgnoreGossip,
  // Ignores an engine's own report that it is leaving.
  kIgnoreOwnAnswer,
  // Ignores the drains announced by the lease holder.
  kIgnoreDrains,
};

// Thread-compatible.
class EndpointView {
 public:
  // Maximum number of endpoints: the projected two-year size of all zones
  // together. Listed instances beyond it are ignored.
  static constexpr std::size_t kMaxEndpoints = 8192;
  static constexpr int kLostAfterFailures = 2;
  static constexpr Milliseconds kHoldOff{2000};
  static constexpr Milliseconds kReadmitAfter{10'000};
  // An engine that is no longer listed is kept while it answers, for at most
  // this long after its last answer.
  static constexpr Milliseconds kUnlistedLife{5000};

  explicit EndpointView(
      EndpointViewMutation mutation = EndpointViewMutation::kNone)
      : mutation_(mutation) {}

  // Applies a fetched instance list. It is not called during an outage of the
  // list, and the state then stays as it is.
  void OnList(const std::vector<ListedInstance>& instances, MonotonicTime now);

  // Applies an engine's answer to a status request sent at `asked`.
  void OnStatus(const EndpointId& id,
                const EngineStatus& status,
                MonotonicTime asked);
  // Records a failure of a status request or of work that indicates a dead
  // endpoint: connection refused or no answer.
  void OnFailure(const EndpointId& id, MonotonicTime now);
  // Records that a plain service answered a request.
  void OnSuccess(const EndpointId& id);

  // Applies all active gossip facts, including this instance's own.
  void OnFacts(const std::set<std::string>& leaving,
               const std::set<std::string>& draining,
               MonotonicTime now);

  // Returns the endpoints that may take new work of `service` at `now`.
  [[nodiscard]] std::vector<ObservedEndpoint> EligibleEndpoints(
      const ServiceSpec& service,
      MonotonicTime now) const;

  // Returns the endpoints that are leaving by the list or by their own answer.
  // These are the ones this instance announces to its peers.
  [[nodiscard]] std::vector<EndpointId> LeavingEndpoints() const;

  // Returns all endpoints of `kind`, ordered by id.
  [[nodiscard]] std::vector<ObservedEndpoint> Observed(InstanceKind kind) const;
  [[nodiscard]] std::optional<ObservedEndpoint> Find(
      const EndpointId& id) const;
  [[nodiscard]] std::size_t size() const { return endpoints_.size(); }

 private:
  struct Entry {
    ObservedEndpoint endpoint;
    bool listed = true;
    bool leaving_by_list = false;
    bool leaving_by_answer = false;
    bool leaving_by_gossip = false;
    // The incarnation of the engine that was marked as leaving.
    std::optional<std::uint64_t> leaving_incarnation;
    // When the list started to report the instance as live again.
    std::optional<MonotonicTime> listed_live_since;
    MonotonicTime last_answer;
    std::optional<MonotonicTime> held_off_until;
  };

  static void UpdateFromList(const ListedInstance& listed,
                             Entry& entry,
                             MonotonicTime now);
  static void UpdateLeaving(Entry& entry);
  static bool TakesWork(const Entry& entry,
                        const ServiceSpec& service,
                        MonotonicTime now);

  EndpointViewMutation mutation_;
  std::map<EndpointId, Entry> endpoints_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_FLEET_ENDPOINT_VIEW_H_
