// ReachabilityView tells which instances reach the endpoints of a service.
//
//   if (!view.SelfReaches(service, now))
//     HandOff(request, ChoosePeer(view, service, now));
//
// An instance can lose the paths to all endpoints of a service while callers,
// the log and the other instances still reach it. That is a fact about the
// instance and not about the endpoints. The interface separates how it is
// detected and announced from what uses it: the handoff of requests, address
// answers and the records of endpoint health.
//
// Implementations are thread-compatible and read no clock.

#ifndef CAROBSHIFT_GATEWAY_HANDOFF_REACHABILITY_VIEW_H_
#define CAROBSHIFT_GATEWAY_HANDOFF_REACHABILITY_VIEW_H_

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

class ReachabilityView {
 public:
  virtual ~ReachabilityView() = default;

  // Returns whether this instance reaches at least one endpoint of the service,
  // as far as it knows. True for a service that was never used.
  [[nodiscard]] virtual bool SelfReaches(const ServiceName& service,
                                         MonotonicTime now) const = 0;
  // Returns whether another instance reaches one, by what it announced last.
  // True for an instance that announced nothing.
  [[nodiscard]] virtual bool PeerReaches(const EntryId& peer,
                                         const ServiceName& service,
                                         MonotonicTime now) const = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_HANDOFF_REACHABILITY_VIEW_H_
