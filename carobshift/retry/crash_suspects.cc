#include "carobshift/retry/crash_suspects.h"

#include <algorithm>

#include "carobshift/base/digest.h"

namespace carobshift {

namespace {

// Ages become less exact on their way through several entries.
constexpr Milliseconds kTransitTolerance{5000};

}  // namespace

ContentFingerprint FingerprintOf(const AccountId& account,
                                 const ServiceName& service,
                                 std::string_view content) {
  const std::uint64_t owner = FastHash(account.value());
  return ContentFingerprint(
      FastHash(content, FastHash(service.value(), owner)));
}

CrashSuspects::CrashSuspects(const CrashSuspectOptions& options)
    : options_(options) {}

SuspectVerdict CrashSuspects::Judge(ContentFingerprint fingerprint,
                                    MonotonicTime now) const {
  const auto it = records_.find(fingerprint);
  if (!options_.enabled || it == records_.end() || IsExpired(it->second, now))
    return SuspectVerdict::kRun;
  const Record& record = it->second;
  if (record.confirmed && now < record.last_crash + options_.refusal)
    return SuspectVerdict::kRefuse;
  if (!record.confirmed && record.crashes < options_.crashes_to_suspect)
    return SuspectVerdict::kRun;
  return HasIsolatedAttempt(fingerprint) ? SuspectVerdict::kWait
                                         : SuspectVerdict::kRunIsolated;
}

void CrashSuspects::OnAttemptStart(ContentFingerprint fingerprint,
                                   const EndpointId& endpoint,
                                   bool alone) {
  attempts_[endpoint].push_back({fingerprint, alone});
  if (alone)
    ++isolated_attempts_[fingerprint];
}

void CrashSuspects::OnAttemptEnd(ContentFingerprint fingerprint,
                                 const EndpointId& endpoint,
                                 bool completed) {
  const std::optional<Attempt> attempt = RemoveAttempt(fingerprint, endpoint);
  if (!attempt || !attempt->alone)
    return;
  isolated_attempts_.erase(fingerprint);
  const auto it = records_.find(fingerprint);
  if (completed && it != records_.end()) {
    it->second.crashes = 0;
    it->second.confirmed = false;
    it->second.cleared = true;
  }
}

void CrashSuspects::OnAttemptBroken(ContentFingerprint fingerprint,
                                    const EndpointId& endpoint,
                                    MonotonicTime now) {
  if (const std::optional<Attempt> attempt =
          RemoveAttempt(fingerprint, endpoint))
    CountCrash(*attempt, now);
}

std::optional<CrashSuspects::Attempt> CrashSuspects::RemoveAttempt(
    ContentFingerprint fingerprint,
    const EndpointId& endpoint) {
  const auto it = attempts_.find(endpoint);
  if (it == attempts_.end())
    return std::nullopt;
  std::vector<Attempt>& attempts = it->second;
  const auto found = std::find_if(
      attempts.begin(), attempts.end(),
      [&](const Attempt& a) { return a.fingerprint == fingerprint; });
  if (found == attempts.end())
    return std::nullopt;
  const Attempt attempt = *found;
  *found = attempts.back();
  attempts.pop_back();
  if (attempts.empty())
    attempts_.erase(it);
  return attempt;
}

void CrashSuspects::OnEndpointCrash(const EndpointId& endpoint,
                                    MonotonicTime now) {
  const auto it = attempts_.find(endpoint);
  if (it == attempts_.end())
    return;
  const std::vector<Attempt> attempts = std::move(it->second);
  attempts_.erase(it);
  for (const Attempt& attempt : attempts)
    CountCrash(attempt, now);
}

Milliseconds CrashSuspects::RemainingRefusal(ContentFingerprint fingerprint,
                                             MonotonicTime now) const {
  const auto it = records_.find(fingerprint);
  if (it == records_.end() || !it->second.confirmed)
    return Milliseconds(0);
  return std::chrono::ceil<Milliseconds>(std::max(
      Microseconds(0), it->second.last_crash + options_.refusal - now));
}

std::vector<SuspectRecord> CrashSuspects::Export(MonotonicTime now) const {
  std::vector<SuspectRecord> out;
  for (const auto& [fingerprint, record] : records_) {
    if (record.cleared || IsExpired(record, now))
      continue;
    out.push_back(
        {.fingerprint = fingerprint,
         .crashes = record.crashes,
         .confirmed = record.confirmed,
         .age = std::chrono::floor<Milliseconds>(now - record.last_crash)});
  }
  return out;
}

void CrashSuspects::Merge(const std::vector<SuspectRecord>& records,
                          MonotonicTime now) {
  for (const SuspectRecord& remote : records) {
    const MonotonicTime last_crash =
        now - std::max(Milliseconds(0), remote.age);
    Record received;
    received.last_crash = last_crash;
    if (IsExpired(received, now))
      continue;
    const auto known = records_.find(remote.fingerprint);
    if (known != records_.end() && known->second.cleared &&
        last_crash <= known->second.last_crash + kTransitTolerance)
      continue;
    DropOldestIfFull(now);
    Record& record = records_[remote.fingerprint];
    record.cleared = false;
    record.crashes = std::max(record.crashes, remote.crashes);
    record.confirmed = record.confirmed || remote.confirmed;
    record.last_crash = std::max(record.last_crash, last_crash);
  }
}

void CrashSuspects::Expire(MonotonicTime now) {
  std::erase_if(records_,
                [&](const auto& item) { return IsExpired(item.second, now); });
}

std::size_t CrashSuspects::RefusedCount(MonotonicTime now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(records_, [&](const auto& item) {
        return Judge(item.first, now) == SuspectVerdict::kRefuse;
      }));
}

bool CrashSuspects::IsExpired(const Record& record, MonotonicTime now) const {
  return now >= record.last_crash + options_.memory + options_.refusal;
}

bool CrashSuspects::HasIsolatedAttempt(ContentFingerprint fingerprint) const {
  return isolated_attempts_.contains(fingerprint);
}

void CrashSuspects::CountCrash(const Attempt& attempt, MonotonicTime now) {
  if (attempt.alone)
    isolated_attempts_.erase(attempt.fingerprint);
  DropOldestIfFull(now);
  Record& record = records_[attempt.fingerprint];
  if (record.crashes > 0 && now >= record.last_crash + options_.memory &&
      !record.confirmed)
    record = Record{};
  ++record.crashes;
  record.cleared = false;
  record.confirmed = record.confirmed || attempt.alone;
  record.last_crash = now;
}

void CrashSuspects::DropOldestIfFull(MonotonicTime now) {
  if (records_.size() < options_.max_records)
    return;
  Expire(now);
  if (records_.size() < options_.max_records)
    return;
  // Evict unconfirmed records first: without a confirmed record, its request
  // would crash more endpoints.
  const auto oldest = std::min_element(
      records_.begin(), records_.end(), [](const auto& a, const auto& b) {
        if (a.second.confirmed != b.second.confirmed)
          return b.second.confirmed;
        return a.second.last_crash < b.second.last_crash;
      });
  records_.erase(oldest);
}

}  // namespace carobshift
