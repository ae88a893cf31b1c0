// Internal records of AdmissionQueue, shared by its two source files.

#ifndef CAROBSHIFT_ADMISSION_INTERNAL_ADMISSION_RECORDS_H_
#define CAROBSHIFT_ADMISSION_INTERNAL_ADMISSION_RECORDS_H_

#include <algorithm>
#include <array>
#include <optional>
#include <set>

#include "carobshift/admission/admission_queue.h"

namespace carobshift {

// Prevents a division by a weight of zero.
inline constexpr double kMinWeight = 1e-6;

// A flow of the fair queue: one account's requests, or all requests if `fair`
// is off.
struct AdmissionQueue::Account {
  std::uint64_t number = 0;
  AccountShare share;
  int in_flight = 0;
  // End of the time that is already reserved for the account's retries.
  MonotonicTime retries_reserved_until{};
  double start_tag = 0;
  // Present keys in `active_` and `active_short_`.
  std::optional<ScheduleKey> schedule_key;
  std::optional<ScheduleKey> short_schedule_key;
  std::array<CostUnits, kPriorityClasses> class_cost{};
  // The part of `class_cost` that belongs to long requests.
  std::array<CostUnits, kPriorityClasses> long_cost{};
  std::set<RequestRecord*, ByRank> queue;
  std::set<RequestRecord*, ByRank> short_queue;

  [[nodiscard]] double weight() const {
    return std::max(kMinWeight, share.weight);
  }
};

struct AdmissionQueue::RequestRecord {
  RequestId id;
  std::uint64_t sequence = 0;
  // The account whose limit applies, and the flow in which the request waits.
  Account* account = nullptr;
  Account* flow = nullptr;
  PriorityClass priority = PriorityClass::kNormal;
  CostUnits cost = 1;
  // Counted in `running_prefill_` while the request runs.
  double prefill = 0;
  MonotonicTime rank{};
  MonotonicTime latest_start{};
  bool has_deadline = false;
  bool is_long = false;
  bool running = false;
  // False if the request started without waiting, and its flow was not charged.
  bool charged = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_ADMISSION_INTERNAL_ADMISSION_RECORDS_H_
