// The records behind AdmissionQueue, shared by its two source files.

#ifndef CAROBSHIFT_ADMISSION_INTERNAL_ADMISSION_RECORDS_H_
#define CAROBSHIFT_ADMISSION_INTERNAL_ADMISSION_RECORDS_H_

#include <algorithm>
#include <array>
#include <optional>
#include <set>

#include "carobshift/admission/admission_queue.h"

namespace carobshift {

// Keeps a weight of zero from dividing by it.
inline constexpr double kLeastWeight = 1e-6;

// One account's requests, or with `fair` off all of them.
struct AdmissionQueue::Account {
  std::uint64_t number = 0;
  AccountShare share;
  int in_flight = 0;
  // Until when the places in its queue of returns are given away.
  MonotonicTime returns_until{};
  double start_tag = 0;
  // As they stand in `active_` and `active_short_`.
  std::optional<Turn> turn;
  std::optional<Turn> short_turn;
  std::array<CostUnits, kPriorityClasses> class_cost{};
  // The part of `class_cost` that is in long requests.
  std::array<CostUnits, kPriorityClasses> long_cost{};
  std::set<Item*, ByRank> queue;
  std::set<Item*, ByRank> short_queue;

  [[nodiscard]] double weight() const {
    return std::max(kLeastWeight, share.weight);
  }
};

struct AdmissionQueue::Item {
  RequestId id;
  std::uint64_t sequence = 0;
  // The account whose limit counts, and the lane in which it waits.
  Account* account = nullptr;
  Account* lane = nullptr;
  PriorityClass priority = PriorityClass::kNormal;
  CostUnits cost = 1;
  // Counted in `running_prefill_` while it runs.
  double prefill = 0;
  MonotonicTime rank{};
  MonotonicTime latest_start{};
  bool has_deadline = false;
  bool is_long = false;
  bool running = false;
  // False if it was started without waiting, when no share was charged.
  bool charged = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_ADMISSION_INTERNAL_ADMISSION_RECORDS_H_
