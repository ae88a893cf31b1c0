// What this entry believes of each endpoint, from the platform's list, the
// engines' own answers, local failures and the peers' gossip, and which
// endpoints may take new work.
//
//   view.OnList(instances, now);
//   view.OnStatus(id, status, asked_at, now);
//   view.OnFacts(leaving, draining, now);
//   for (const ObservedEndpoint& e : view.TakingWork(service, now)) ...
//
// Load pattern: 1,500 endpoints restart or are replaced on an ordinary day and
// the list lags. Work sent to a dead endpoint waits for a timeout, work sent
// to a leaving one is cut off when it stops. So an endpoint's own answer and
// local failures go before the list, any source that says "leaving" suffices,
// and an outage of the list changes nothing.
//
// Figures: status requests go out every 200 ms, so kLostAfterFailures of 2
// finds a dead engine in about half a second without a lost answer emptying a
// service. A plain service that fails is tried again after kHoldOff. A leaving
// mark that only the list gave ends when the list says live for kReadmitAfter,
// longer than its lag, so that an older copy of the list can't undo it.

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

// Removes one mechanism, to show that the fuzz test notices. For tests only.
enum class EndpointViewMutation {
  kNone,
  // Peers' gossip of leaving endpoints is not heeded.
  kIgnoreGossip,
  // An engine's own answer that it leaves is not heeded.
  kIgnoreOwnAnswer,
  // Drains of the lease holder are not heeded.
  kIgnoreDrains,
};

// Thread-compatible.
class EndpointView {
 public:
  // Bound of the table: the two-year size of all zones together. Instances of
  // a longer list beyond it are not taken in.
  static constexpr std::size_t kMaxEndpoints = 8192;
  static constexpr int kLostAfterFailures = 2;
  static constexpr Milliseconds kHoldOff{2000};
  static constexpr Milliseconds kReadmitAfter{10'000};
  // An engine that the list no longer names stays while it answers, at most
  // this long after its last answer.
  static constexpr Milliseconds kUnlistedLife{5000};

  explicit EndpointView(
      EndpointViewMutation mutation = EndpointViewMutation::kNone)
      : mutation_(mutation) {}

  // A list that was fetched. During an outage of the list nothing is called
  // and the view stays.
  void OnList(const std::vector<ListedInstance>& instances, MonotonicTime now);

  // An engine's answer to a status request that was sent at `asked`.
  void OnStatus(const EndpointId& id,
                const EngineStatus& status,
                MonotonicTime asked);
  // A status request or work that failed in a way that tells of a dead
  // endpoint: refused or silent.
  void OnFailure(const EndpointId& id, MonotonicTime now);
  // Work of a plain service that was answered.
  void OnSuccess(const EndpointId& id);

  // All active facts of the gossip, this entry's own included.
  void OnFacts(const std::set<std::string>& leaving,
               const std::set<std::string>& draining,
               MonotonicTime now);

  // Endpoints that may take new work of the service now.
  [[nodiscard]] std::vector<ObservedEndpoint> TakingWork(
      const ServiceSpec& service,
      MonotonicTime now) const;

  // Leaving by the list or by their own answer: what this entry has to tell
  // its peers.
  [[nodiscard]] std::vector<EndpointId> SeenLeaving() const;

  // Everything of a kind, by id.
  [[nodiscard]] std::vector<ObservedEndpoint> Observed(InstanceKind kind) const;
  [[nodiscard]] std::optional<ObservedEndpoint> Find(
      const EndpointId& id) const;
  [[nodiscard]] std::size_t size() const { return endpoints_.size(); }

 private:
  struct Entry {
    ObservedEndpoint seen;
    bool listed = true;
    bool leaving_by_list = false;
    bool leaving_by_answer = false;
    bool leaving_by_gossip = false;
    // Engine life that was marked as leaving.
    std::optional<std::uint64_t> leaving_incarnation;
    // Since when the list says live again.
    std::optional<MonotonicTime> live_since;
    MonotonicTime last_answer;
    std::optional<MonotonicTime> held_off_until;
  };

  static void TakeListed(const ListedInstance& listed,
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
