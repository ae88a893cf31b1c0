// Which requests to refuse when prompts wait longer than their callers do.
//
//   OverloadGuard guard;
//   guard.OnFirstToken(service, cost, waited);
//   const OverloadVerdict verdict = guard.Judge(question);
//   if (verdict.refused) Refuse(verdict.return_after);
//
// Load pattern: a third of the engines is dark, or new weights have emptied all
// caches while engines load them in turn: for some seconds more prompt tokens
// arrive than can be read. Without this every request queues in the engines;
// after two seconds of it all first tokens are later than they were worth
// waiting for, those of short questions too, until the load falls again.
//
// How: what stands before a request at its best place (placement.h), times the
// measured time that a token of it takes, is the wait to be expected. If that
// is beyond a share of the latency target, the request is refused at once, not
// run, with the time after which the backlog is gone. The least urgent are
// refused first, so that their backlog doesn't reach those before them. The
// request's own size doesn't count, neither what is to be read of it nor what
// it needs of memory: the largest prompts of a kind would be refused first and
// hardly ever be served. Where memory is short, the need of a mean prompt of
// the kind stands for it, so that those refused are no others than those let
// in.
//
// Figures: of the target, the most urgent may wait for kMostUrgentShare, each
// step of urgency below for kShareStep less, nobody for less than kLeastShare;
// the rest is for reading the prompt and for what the estimate misses.
// kLeastReturn is a tenth of the shortest deadline of a streamed answer, so
// that whoever comes back finds a change; the scatter keeps those refused in
// one burst from coming back as one.
//
// Thread-compatible. State: one estimate a service.

#ifndef CAROBSHIFT_GATEWAY_OVERLOAD_GUARD_H_
#define CAROBSHIFT_GATEWAY_OVERLOAD_GUARD_H_

#include <cstdint>
#include <map>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

struct OverloadQuestion {
  ServiceName service;
  // What stands before a prompt of the request's kind at the best place,
  // without its own reading, in the unit of placement.
  double ahead = 0;
  Milliseconds latency_target{0};
  // 0 is the most urgent.
  int urgency = 0;
  // Of the request, to scatter returns.
  std::uint64_t hash = 0;
};

struct OverloadVerdict {
  bool refused = false;
  Milliseconds expected{0};
  Milliseconds return_after{0};
};

class OverloadGuard {
 public:
  static constexpr double kMostUrgentShare = 0.85;
  static constexpr double kShareStep = 0.2;
  static constexpr double kLeastShare = 0.3;
  static constexpr Milliseconds kLeastReturn{300};
  static constexpr Milliseconds kLongestReturn{3000};
  // Before anything was measured: an engine that reads between the tokens of
  // some thirty other requests reads about sixty tokens a millisecond.
  static constexpr double kFirstMillisecondsPerToken = 1.0 / 60;
  // Of each sample in the estimate; about fifty requests form it.
  static constexpr double kGain = 0.02;
  // Placements that cost less tell more of the network than of the engine.
  static constexpr double kLeastCost = 3000;

  // A request that was placed at `cost` had its first token after `waited`.
  void OnFirstToken(const ServiceName& service,
                    double cost,
                    Microseconds waited);

  [[nodiscard]] OverloadVerdict Judge(const OverloadQuestion& question) const;
  // How long a request waits behind that much.
  [[nodiscard]] Milliseconds ExpectedWait(const ServiceName& service,
                                          double ahead) const;
  [[nodiscard]] double MillisecondsPerToken(const ServiceName& service) const;

 private:
  std::map<ServiceName, double> milliseconds_per_token_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_OVERLOAD_GUARD_H_
