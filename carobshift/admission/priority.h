// How urgent a caller says a request is. Orders the requests of one client
// account; see admission_queue.h.

#ifndef CAROBSHIFT_ADMISSION_PRIORITY_H_
#define CAROBSHIFT_ADMISSION_PRIORITY_H_

#include <cstddef>

namespace carobshift {

// Lower runs first.
enum class PriorityClass { kHigh = 0, kNormal = 1, kLow = 2 };
inline constexpr std::size_t kPriorityClasses = 3;

}  // namespace carobshift

#endif  // CAROBSHIFT_ADMISSION_PRIORITY_H_
