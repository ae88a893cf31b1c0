// How many requests this process may send a second time to one service, so that
// all processes together stay within what the platform allows.
//
//   RetryAllowance allowance(limits);
//   allowance.OnRequest(service, now);
//   if (allowance.TrySpend(service, live_entries, now)) ...
//
// Load pattern: a third of the endpoints fails, each failed attempt is sent
// again to the others, which are full already; the repeats then fail the first
// tries too, and the overload outlives its cause. The platform counts repeats
// of all processes together and allows a share of the requests in a sliding
// window and a fixed number besides.
//
// How: without asking each other, each process takes the share of its own
// requests, and its part of the fixed number by how many live. When members
// come and go the part changes; the largest number of members seen within
// kMemberMemory counts, since those that are only cut off go on spending.
//
// A process that has just started doesn't know what the one before it spent in
// this window. Given its whole part at once, all instances that are killed and
// start again would spend the fixed number twice, and several times while each
// still takes itself for all: one would notice an overload that a restart
// doesn't end. So in its first window it has only its part of what kSafety
// leaves unused. While it has heard of nobody else it takes itself for one of
// kUnknownMembers: it may be cut off from them.
//
// Figures: kSafety leaves a fifth unused, for repeats that arrive in another
// window than they were counted in, and for processes that start; an estimate,
// not measured. kUnknownMembers is one too: few enough that a stream which
// breaks in the first second is resumed, many enough that an instance behind a
// partition doesn't spend the others' part.
//
// Thread-compatible. State: one ring of kSlots counts a service.

#ifndef CAROBSHIFT_GATEWAY_RETRY_ALLOWANCE_H_
#define CAROBSHIFT_GATEWAY_RETRY_ALLOWANCE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

struct RetryLimits {
  // Of the requests in the window.
  double share = 0.1;
  // Repeats in the window besides, of all processes together.
  double extra = 10;
  Milliseconds window{10000};
};

// A count over a sliding window, in steps of a fraction of it.
class WindowCount {
 public:
  static constexpr int kSlots = 20;

  void Add(double amount, Milliseconds window, MonotonicTime now);
  // Over the whole window before `now`, the step under way included.
  [[nodiscard]] double Sum(Milliseconds window, MonotonicTime now) const;

 private:
  struct Slot {
    std::int64_t step = -1;
    double amount = 0;
  };
  [[nodiscard]] static std::int64_t StepOf(Milliseconds window,
                                           MonotonicTime now);

  // One more than the window has steps, as its first one is cut.
  std::array<Slot, kSlots + 1> slots_;
};

class RetryAllowance {
 public:
  static constexpr double kSafety = 0.8;
  static constexpr Milliseconds kMemberMemory{60000};
  static constexpr int kUnknownMembers = 8;

  explicit RetryAllowance(const RetryLimits& limits) : limits_(limits) {}

  void OnRequest(const ServiceName& service, MonotonicTime now);
  // `live_entries` is at least 1. The first call tells when this process began.
  void OnMembers(int live_entries, MonotonicTime now);

  // Counts a repeat if one is left.
  [[nodiscard]] bool TrySpend(const ServiceName& service, MonotonicTime now);
  [[nodiscard]] double Left(const ServiceName& service,
                            MonotonicTime now) const;

 private:
  struct Counts {
    WindowCount requests;
    WindowCount repeats;
  };

  // This process's part of the fixed number.
  [[nodiscard]] double FixedPart(MonotonicTime now) const;

  RetryLimits limits_;
  std::map<ServiceName, Counts> counts_;
  int members_ = 1;
  MonotonicTime members_seen_{};
  std::optional<MonotonicTime> began_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_RETRY_ALLOWANCE_H_
