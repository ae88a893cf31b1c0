// The priority class that a caller assigns to a request. It orders requests
// within one client account; see admission_queue.h.

#ifndef CAROBSHIFT_ADMISSION_PRIORITY_H_
#define CAROBSHIFT_ADMISSION_PRIORITY_H_

#include <cstddef>

namespace carobshift {

// Lower values run first.
enum class PriorityClass { kHigh = 0, kNormal = 1, kLow = 2 };
inline constexpr std::size_t kPriorityClasses = 3;

}  // namespace carobshift

#endif  // CAROBSHIFT_ADMISSION_PRIORITY_H_
