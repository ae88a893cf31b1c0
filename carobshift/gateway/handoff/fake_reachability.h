// For tests: reachability as the test sets it, the same for all services.
//
//   FakeReachability reachability;
//   reachability.self = false;
//   reachability.lost_by_peers.insert(EntryId("entry-2"));

#ifndef CAROBSHIFT_GATEWAY_HANDOFF_FAKE_REACHABILITY_H_
#define CAROBSHIFT_GATEWAY_HANDOFF_FAKE_REACHABILITY_H_

#include <set>

#include "carobshift/gateway/handoff/reachability_view.h"

namespace carobshift {

class FakeReachability : public ReachabilityView {
 public:
  [[nodiscard]] bool SelfReaches(const ServiceName&,
                                 MonotonicTime) const override {
    return self;
  }
  [[nodiscard]] bool PeerReaches(const EntryId& peer,
                                 const ServiceName&,
                                 MonotonicTime) const override {
    return !lost_by_peers.contains(peer);
  }

  bool self = true;
  std::set<EntryId> lost_by_peers;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_HANDOFF_FAKE_REACHABILITY_H_
