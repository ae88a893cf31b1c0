// The note that the lease holder writes into its lease records for instances
// that start later: which weights were named, and when.
//
//   lease.SetNote(EncodeWeightNote(deadlines.Namings(), now, wall_now));
//   ...
//   auto namings = DecodeWeightNote(lease.holding()->note, now, wall_now);
//
// The operator's record of a naming has no time, and the steady clocks of two
// machines cannot be compared. The note therefore contains ages and the wall
// time at which it was written. A reader adds the time that has passed since by
// its own wall clock, and adds nothing if that clock is behind. A clock that is
// ahead by seconds makes a naming look older by them, which excludes an engine
// too early; a clock that is behind leaves a naming as old as when the note was
// written.

#ifndef CAROBSHIFT_GATEWAY_WEIGHTS_WEIGHT_NOTE_H_
#define CAROBSHIFT_GATEWAY_WEIGHTS_WEIGHT_NOTE_H_

#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/result.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/weights/weight_deadlines.h"

namespace carobshift {

// Encodes the note as JSON, since operators read the log with their own tools.
// Thread-safe.
[[nodiscard]] std::string EncodeWeightNote(
    const std::vector<WeightNaming>& namings,
    MonotonicTime now,
    WallTime wall_now);

// Returns kMalformedRequest for anything but a complete note. Thread-safe.
[[nodiscard]] Result<std::vector<WeightNaming>>
DecodeWeightNote(std::string_view text, MonotonicTime now, WallTime wall_now);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_WEIGHTS_WEIGHT_NOTE_H_
