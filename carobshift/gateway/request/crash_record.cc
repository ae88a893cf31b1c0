#include "carobshift/gateway/request/crash_record.h"

#include <algorithm>
#include <charconv>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

constexpr char kSeparator = ':';

}  // namespace

RequestFingerprint FingerprintOf(const CallerRequest& request,
                                 const std::optional<AccountId>& account) {
  std::string text = request.host;
  text += '\n';
  text += request.target;
  text += '\n';
  if (account)
    text += account->value();
  text += '\n';
  text += request.body.view();
  // The last part of a prompt is specific to the request.
  if (request.prompt && !request.prompt->parts.empty())
    text += '\n' + request.prompt->parts.back().id;
  return RequestFingerprint(FastHash(text));
}

void CrashRecord::OnBroken(RequestFingerprint fingerprint,
                           const std::string& run,
                           MonotonicTime now) {
  if (!records_.contains(fingerprint) && records_.size() >= kMaxRecords) {
    records_.erase(std::min_element(records_.begin(), records_.end(),
                                    [](const auto& a, const auto& b) {
                                      return a.second.last < b.second.last;
                                    }));
  }
  Record& record = records_[fingerprint];
  if (!record.cleared.contains(run) && record.runs.insert(run).second)
    record.last = now;
}

void CrashRecord::Withdraw(RequestFingerprint fingerprint,
                           const std::string& run) {
  const auto found = records_.find(fingerprint);
  if (found != records_.end())
    found->second.runs.erase(run);
}

void CrashRecord::OnCompleted(RequestFingerprint fingerprint) {
  const auto found = records_.find(fingerprint);
  if (found == records_.end())
    return;
  found->second.cleared.merge(found->second.runs);
  found->second.runs.clear();
}

bool CrashRecord::Refuses(RequestFingerprint fingerprint,
                          MonotonicTime now) const {
  const auto found = records_.find(fingerprint);
  return found != records_.end() &&
         found->second.runs.size() >= kRefusalThreshold &&
         now - found->second.last < kRefusalDuration;
}

void CrashRecord::Expire(MonotonicTime now) {
  std::erase_if(records_, [now](const auto& entry) {
    return now - entry.second.last >= kRetention;
  });
}

std::string EncodeCrashReport(RequestFingerprint fingerprint,
                              const std::string& run) {
  return std::to_string(fingerprint.value()) + kSeparator + run;
}

std::optional<CrashReport> DecodeCrashReport(std::string_view text) {
  std::uint64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || parsed.ptr == text.data() + text.size() ||
      *parsed.ptr != kSeparator)
    return std::nullopt;
  const auto at = static_cast<std::size_t>(parsed.ptr - text.data());
  return CrashReport{RequestFingerprint(value),
                     std::string(text.substr(at + 1))};
}

}  // namespace carobshift
