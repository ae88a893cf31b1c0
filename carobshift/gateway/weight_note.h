// What the holder of the lease leaves for instances that start later: which
// weights were named, and when.
//
//   lease.SetNote(EncodeWeightNote(deadlines.Namings(), now, wall_now));
//   ...
//   auto namings = DecodeWeightNote(lease.holding()->note, now, wall_now);
//
// The operator's record of a naming says no time, and steady clocks of two
// machines can't be compared. So the note tells ages, and the calendar time at
// which it was written. A reader adds what has passed since by its own calendar
// clock, and nothing if that clock lies behind: a clock that is off by seconds
// makes a naming look older by them, which leaves an engine out too early, or
// as old as when the note was written.

#ifndef CAROBSHIFT_GATEWAY_WEIGHT_NOTE_H_
#define CAROBSHIFT_GATEWAY_WEIGHT_NOTE_H_

#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/result.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/weight_deadlines.h"

namespace carobshift {

// JSON, as operators read the log with their own tools. Thread-safe.
[[nodiscard]] std::string EncodeWeightNote(
    const std::vector<WeightNaming>& namings,
    MonotonicTime now,
    WallTime wall_now);

// kMalformedRequest for anything else than a whole note. Thread-safe.
[[nodiscard]] Result<std::vector<WeightNaming>>
DecodeWeightNote(std::string_view text, MonotonicTime now, WallTime wall_now);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_WEIGHT_NOTE_H_
