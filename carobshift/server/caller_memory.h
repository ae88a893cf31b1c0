// How an entry's memory is shared between its callers' requests and the rest.
//
//   ByteBudget budget(MaxCallerBytes(memory));
//   if (settings.max_body_bytes > LargestBody(memory)) ...  // has no room

#ifndef CAROBSHIFT_SERVER_CALLER_MEMORY_H_
#define CAROBSHIFT_SERVER_CALLER_MEMORY_H_

#include <cstddef>

#include "carobshift/base/units.h"

namespace carobshift {

// Part of the memory that callers' connections and requests may take in sum.
inline constexpr double kCallerMemoryShare = 0.4;
// A body is held by its request and by the call that is made for it.
inline constexpr std::size_t kBodyCopies = 2;

// Returns what callers may make an entry with this memory hold, in bytes.
[[nodiscard]] constexpr std::size_t MaxCallerBytes(Bytes memory) {
  return static_cast<std::size_t>(static_cast<double>(memory) *
                                  kCallerMemoryShare);
}

// Returns the largest body for which an entry with this memory has room, in
// bytes: large requests get three quarters of what callers may take.
[[nodiscard]] constexpr Bytes LargestBody(Bytes memory) {
  return static_cast<Bytes>(MaxCallerBytes(memory) / 4 * 3 / kBodyCopies);
}

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_CALLER_MEMORY_H_
