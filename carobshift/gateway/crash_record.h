// Requests that take down the endpoints that run them.
//
//   CrashRecord crashes;
//   crashes.OnBroken(fingerprint, self, now);
//   if (crashes.Refuses(fingerprint, now)) ...   // kRequestSuspected
//
// Load pattern: one request makes each endpoint that runs it crash, and its
// caller sends it again, at any instance. Without this every try takes down one
// more endpoint with all that runs beside it, until none is left.
//
// How: a request is known by its path, account and content. Its runs that ended
// with a broken connection are counted, over all instances; a run that ends
// well clears it, so that a popular request which was merely there when
// endpoints died stays served. Instances tell each other of a broken run for as
// long as kRefusal, so a run that was cleared is remembered: counted again each
// time it is told, it would keep such a request refused all the same. At
// kCrashesToRefuse it is refused for kRefusal.
//
// Figures: three broken runs without one that ends well are taken for no
// accident; if one run in five broke by itself, three in a row would be one in
// 125. kRefusal outlasts a caller's tries; after it one more is allowed.
//
// Thread-compatible. State: at most kMaxRecords, the oldest dropped first.

#ifndef CAROBSHIFT_GATEWAY_CRASH_RECORD_H_
#define CAROBSHIFT_GATEWAY_CRASH_RECORD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/caller_request.h"

namespace carobshift {

using RequestFingerprint =
    StrongType<struct RequestFingerprintTag, std::uint64_t>;

[[nodiscard]] RequestFingerprint FingerprintOf(
    const CallerRequest& request,
    const std::optional<AccountId>& account);

class CrashRecord {
 public:
  static constexpr std::size_t kCrashesToRefuse = 3;
  static constexpr Milliseconds kRefusal{60000};
  // Longer than others tell of a run, by what their news are late.
  static constexpr Milliseconds kMemory = kRefusal + Milliseconds(2000);
  static constexpr std::size_t kMaxRecords = 512;

  // One broken run. `run` tells it from every other one, so that hearing of it
  // twice counts once.
  void OnBroken(RequestFingerprint fingerprint,
                const std::string& run,
                MonotonicTime now);
  // A run that ended well. An endpoint's word that it didn't run is none.
  void OnCompleted(RequestFingerprint fingerprint);

  [[nodiscard]] bool Refuses(RequestFingerprint fingerprint,
                             MonotonicTime now) const;
  // Nothing needs to be asked.
  [[nodiscard]] bool empty() const { return records_.empty(); }
  void Expire(MonotonicTime now);

 private:
  struct Record {
    std::set<std::string> runs;
    // Broken runs before one that ended well.
    std::set<std::string> cleared;
    MonotonicTime last{};
  };
  std::map<RequestFingerprint, Record> records_;
};

// One broken run as other instances are told of it: in a text of at most 64
// bytes.
[[nodiscard]] std::string DescribeCrash(RequestFingerprint fingerprint,
                                        const std::string& run);
struct DescribedCrash {
  RequestFingerprint fingerprint;
  std::string run;
};
[[nodiscard]] std::optional<DescribedCrash> ReadCrash(std::string_view text);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_CRASH_RECORD_H_
