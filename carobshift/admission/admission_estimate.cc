// Wait estimates and refusals of AdmissionQueue.

#include "carobshift/admission/internal/admission_records.h"
#include "carobshift/base/digest.h"

namespace carobshift {

namespace {

// Share of the drain rate available to retries, so that they don't displace new
// requests.
constexpr double kRetryShare = 0.5;
// Rank offset of a class if a mutation disables aging.
constexpr Milliseconds kOffsetWithoutAging{24LL * 3600 * 1000};

}  // namespace

bool AdmissionQueue::IsLong(const AdmissionRequest& request) const {
  return static_cast<double>(request.prefill) > capacity_.prefill_per_request;
}

bool AdmissionQueue::LongMayStart() const {
  return running_long_ < 1 ||
         running_long_ < options_.long_share * capacity_.prefill;
}

// Returns the cost served before this request: all waiting cost, or, if less,
// what the account itself has waiting plus the other accounts' shares in the
// meantime. A long request waits for the long ones only. A short request
// doesn't wait for them while they have used up their share.
CostUnits AdmissionQueue::CostAhead(const Account& flow,
                                    const AdmissionRequest& request) const {
  const bool is_long = IsLong(request);
  const bool passes_long = !is_long && !LongMayStart();
  CostUnits own = 0;
  for (std::size_t c = 0; c <= static_cast<std::size_t>(request.priority);
       ++c) {
    own += is_long ? flow.long_cost[c]
                   : flow.class_cost[c] - (passes_long ? flow.long_cost[c] : 0);
  }
  const CostUnits all =
      is_long ? queued_long_cost_
              : queued_cost_ - (passes_long ? queued_long_cost_ : 0);
  const CostUnits by_share =
      (own + request.cost) * CompetingWeight(flow) / flow.weight();
  return std::min(all, by_share);
}

double AdmissionQueue::CompetingWeight(const Account& flow) const {
  return active_weight_ + (flow.queue.empty() ? flow.weight() : 0);
}

Microseconds AdmissionQueue::TimeFor(CostUnits cost, bool is_long) const {
  return (is_long ? long_drain_ : drain_).TimeFor(cost);
}

AdmissionDecision AdmissionQueue::Refuse(ResultCode code,
                                         Account* flow,
                                         const AdmissionRequest& request,
                                         AdmissionDecision decision,
                                         MonotonicTime now) {
  decision.verdict = AdmissionVerdict::kRefused;
  decision.code = code;
  decision.retry_after =
      RetryAfter(flow, request.id, request.cost, IsLong(request),
                 decision.expected_wait, now);
  return decision;
}

Milliseconds AdmissionQueue::RetryAfter(Account* flow,
                                        const RequestId& id,
                                        CostUnits cost,
                                        bool is_long,
                                        Microseconds expected_wait,
                                        MonotonicTime now) const {
  const CostUnits by_share =
      cost * CompetingWeight(*flow) / flow->weight() / kRetryShare;
  flow->retries_reserved_until =
      std::max(flow->retries_reserved_until, now + expected_wait) +
      TimeFor(by_share, is_long);
  flow->retries_reserved_until =
      std::min(flow->retries_reserved_until, now + options_.max_retry_after);
  const double horizon = std::chrono::duration<double, std::milli>(
                             flow->retries_reserved_until - now)
                             .count();
  // Uniform jitter over the upper half of the horizon.
  const double fraction =
      0.5 + 0.5 * static_cast<double>(FastHash(id.value()) >> 11) * 0x1p-53;
  const Milliseconds wanted(static_cast<std::int64_t>(horizon * fraction));
  const Milliseconds least(static_cast<std::int64_t>(
      static_cast<double>(options_.min_retry_after.count()) * 2 * fraction));
  return std::min(std::max(wanted, least), options_.max_retry_after);
}

MonotonicTime AdmissionQueue::RankOf(const AdmissionRequest& request,
                                     MonotonicTime now) const {
  const Milliseconds step = options_.mutation == AdmissionMutation::kNoAging
                                ? kOffsetWithoutAging
                                : options_.class_step;
  const Microseconds by_size(static_cast<std::int64_t>(
      static_cast<double>(options_.size_offset_per_kilounit.count()) *
      std::min(request.cost, 1e9) / 1000));
  return now + step * static_cast<int>(request.priority) +
         std::min<Microseconds>(by_size, options_.max_size_offset);
}

}  // namespace carobshift
