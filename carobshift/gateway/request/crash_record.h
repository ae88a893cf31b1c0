// Counts broken runs of each request and refuses requests that crash the
// endpoints that run them.
//
//   CrashRecord crashes;
//   crashes.OnBroken(fingerprint, run, now);
//   if (crashes.Refuses(fingerprint, now)) ...   // kRequestSuspected
//
// A request is identified by a fingerprint of its path, account and content.
// The record counts the request's runs that ended with a broken connection,
// over all instances, and refuses the request for kRefusalDuration once the
// count reaches kRefusalThreshold. A run that completes resets the count, so
// that a popular request that was merely in progress when endpoints failed is
// still served. Instances announce a broken run to each other for as long as
// kRefusalDuration. The record therefore remembers runs that a completed run
// has cleared; counting them again with each announcement would keep the
// request refused.
//
// Without this class, a request that crashes its endpoint and is resent by its
// caller, at any instance, takes down one endpoint per attempt together with
// all other requests running there, until no endpoint is left.
//
// Three broken runs without a completed one are unlikely to be a coincidence:
// if one run in five broke independently of the request, three in a row would
// have a probability of one in 125. kRefusalDuration is longer than a caller
// keeps retrying; one more run is allowed after it.
//
// Thread-compatible. Holds at most kMaxRecords records and drops the oldest
// first.

#ifndef CAROBSHIFT_GATEWAY_REQUEST_CRASH_RECORD_H_
#define CAROBSHIFT_GATEWAY_REQUEST_CRASH_RECORD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/request/caller_request.h"

namespace carobshift {

using RequestFingerprint =
    StrongType<struct RequestFingerprintTag, std::uint64_t>;

[[nodiscard]] RequestFingerprint FingerprintOf(
    const CallerRequest& request,
    const std::optional<AccountId>& account);

class CrashRecord {
 public:
  static constexpr std::size_t kRefusalThreshold = 3;
  static constexpr Milliseconds kRefusalDuration{60000};
  // Exceeds the time for which other instances announce a run by the maximum
  // delay of an announcement.
  static constexpr Milliseconds kRetention =
      kRefusalDuration + Milliseconds(2000);
  static constexpr std::size_t kMaxRecords = 512;

  // Counts a broken run. `run` identifies the run, so that repeated reports of
  // the same run count once.
  void OnBroken(RequestFingerprint fingerprint,
                const std::string& run,
                MonotonicTime now);
  // Forgets a run that broke for a reason that has nothing to do with the
  // request.
  void Withdraw(RequestFingerprint fingerprint, const std::string& run);
  // Clears the broken runs of the request after a run that completed. A reply
  // that the endpoint did not run the request is not a completed run.
  void OnCompleted(RequestFingerprint fingerprint);

  [[nodiscard]] bool Refuses(RequestFingerprint fingerprint,
                             MonotonicTime now) const;
  // True if no request has a record, so that lookups can be skipped.
  [[nodiscard]] bool empty() const { return records_.empty(); }
  void Expire(MonotonicTime now);

 private:
  struct Record {
    std::set<std::string> runs;
    // Broken runs that preceded a completed run.
    std::set<std::string> cleared;
    MonotonicTime last{};
  };
  std::map<RequestFingerprint, Record> records_;
};

// Encodes a broken run for announcement to other instances, in at most 64
// bytes.
[[nodiscard]] std::string EncodeCrashReport(RequestFingerprint fingerprint,
                                            const std::string& run);
struct CrashReport {
  RequestFingerprint fingerprint;
  std::string run;
};
[[nodiscard]] std::optional<CrashReport> DecodeCrashReport(
    std::string_view text);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_CRASH_RECORD_H_
