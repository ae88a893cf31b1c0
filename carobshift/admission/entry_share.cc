#include "carobshift/admission/entry_share.h"

#include <algorithm>

namespace carobshift {

double ComputeAllowance(double limit,
                        double reported,
                        double own_at_report,
                        int entries) {
  const double floor = limit / entries;
  if (reported > limit)
    return std::max(floor, own_at_report * limit / reported);
  return std::max(floor, own_at_report + (limit - reported) / entries);
}

EntryShare::EntryShare(const ConcurrencyLimitOptions& options,
                       Milliseconds first_token_target)
    : options_(options), first_token_target_(first_token_target) {}

void EntryShare::SetEndpoints(const std::vector<EndpointId>& ready) {
  for (auto& [id, record] : records_)
    record.ready = false;
  for (const EndpointId& id : ready) {
    auto [it, added] = records_.try_emplace(
        id, Record{ConcurrencyLimit(options_, first_token_target_)});
    it->second.ready = true;
  }
  // A record is kept until this entry's requests on the endpoint have ended.
  std::erase_if(records_, [](const auto& item) {
    return !item.second.ready && item.second.own == 0;
  });
}

void EntryShare::SetEntries(int entries) {
  entries_ = std::max(1, entries);
}

void EntryShare::OnDispatch(const EndpointId& endpoint) {
  const auto it = records_.find(endpoint);
  if (it != records_.end())
    ++it->second.own;
}

void EntryShare::OnFirstToken(const EndpointId& endpoint,
                              Microseconds observed,
                              Microseconds unloaded,
                              MonotonicTime now) {
  const auto it = records_.find(endpoint);
  if (it == records_.end())
    return;
  Record& record = it->second;
  const int others = std::max(0, record.reported - record.own_at_report);
  record.limit.OnFirstToken(observed, unloaded, record.own + others, now);
}

void EntryShare::OnEnd(const EndpointId& endpoint,
                       bool failed,
                       MonotonicTime now) {
  const auto it = records_.find(endpoint);
  if (it == records_.end())
    return;
  Record& record = it->second;
  record.own = std::max(0, record.own - 1);
  if (failed)
    record.limit.OnFailure(now);
  if (!record.ready && record.own == 0)
    records_.erase(it);
}

void EntryShare::OnReport(const EndpointId& endpoint, int in_progress) {
  const auto it = records_.find(endpoint);
  if (it == records_.end())
    return;
  Record& record = it->second;
  record.reported = in_progress;
  record.own_at_report = std::min(record.own, in_progress);
}

double EntryShare::AllowanceOf(const Record& record) const {
  return ComputeAllowance(record.limit.limit(), record.reported,
                          record.own_at_report, entries_);
}

double EntryShare::Allowance() const {
  double sum = 0;
  for (const auto& [id, record] : records_) {
    if (record.ready)
      sum += AllowanceOf(record);
  }
  return sum;
}

double EntryShare::LimitOf(const EndpointId& endpoint) const {
  const auto it = records_.find(endpoint);
  return it == records_.end() ? 0 : it->second.limit.limit();
}

double EntryShare::AllowanceOf(const EndpointId& endpoint) const {
  const auto it = records_.find(endpoint);
  return it == records_.end() ? 0 : AllowanceOf(it->second);
}

int EntryShare::OwnInProgress(const EndpointId& endpoint) const {
  const auto it = records_.find(endpoint);
  return it == records_.end() ? 0 : it->second.own;
}

}  // namespace carobshift
