// Detects requests that crash the endpoints that run them.
//
//   CrashSuspects suspects(options);
//   switch (suspects.Judge(fingerprint, now)) {
//     case SuspectVerdict::kRefuse: ...      // kRequestSuspected
//     case SuspectVerdict::kRunIsolated: ...    // only on an endpoint without
//   }                                        // other requests
//   suspects.OnAttemptStart(fingerprint, endpoint, alone);
//   suspects.OnAttemptEnd(fingerprint, endpoint, completed);
//   suspects.OnEndpointCrash(endpoint, now);
//
// Load pattern: one request in many crashes each endpoint that runs it, and its
// caller sends it again under new ids. Without detection each retry crashes one
// more endpoint, together with all requests running there, until none is left;
// the crashes move from endpoint to endpoint.
//
// Method: a crash is counted for every fingerprint in progress on the endpoint.
// A fingerprint with `crashes_to_suspect` crashes within `memory` is suspected:
// at most one attempt of it runs at a time, in isolation on an endpoint. An
// unrelated request is cleared by completing, and a crashing request affects no
// other request. A crash during an isolated attempt confirms the suspicion: the
// request is refused everywhere until `refusal` has passed. The fingerprint
// covers the account and the content, not the request id.
//
// Figures: one crash is counted for up to some dozens of unrelated requests.
// Two crashes within ten minutes are unlikely for each of them (at 16 in
// progress and 120 instance deaths a day over 420: below one in 10,000), so two
// crashes make a suspect. A crashing request costs three endpoint restarts.
// Refusing it for ten minutes outlasts a caller's retries; then one isolated
// attempt is allowed again.
//
// Entries exchange Export() by gossip, so that a caller that switches to
// another entry is still recognized. Merge is commutative and idempotent. Ages
// are exchanged instead of times, because steady clocks differ.
//
// Thread-compatible. State: at most `max_records` records, oldest evicted
// first, and the attempts in progress.

#ifndef CAROBSHIFT_RETRY_CRASH_SUSPECTS_H_
#define CAROBSHIFT_RETRY_CRASH_SUSPECTS_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

// Hash of what a request asks for; equal for its repeats.
using ContentFingerprint =
    StrongType<struct ContentFingerprintTag, std::uint64_t>;

// `content` is the prompt or body, without ids and headers.
[[nodiscard]] ContentFingerprint FingerprintOf(const AccountId& account,
                                               const ServiceName& service,
                                               std::string_view content);

struct CrashSuspectOptions {
  int crashes_to_suspect = 2;
  Milliseconds memory{600000};
  Milliseconds refusal{600000};
  std::size_t max_records = 4096;
  // False only for the baselines of the load driver.
  bool enabled = true;
};

enum class SuspectVerdict {
  kRun,
  // Run it only on an endpoint that runs nothing else meanwhile, and don't
  // retry it.
  kRunIsolated,
  // An isolated attempt is in progress; wait for its end.
  kWait,
  kRefuse
};

// What one entry gossips about a fingerprint.
struct SuspectRecord {
  ContentFingerprint fingerprint;
  int crashes = 0;
  bool confirmed = false;
  // Time since the last crash.
  Milliseconds age{0};
};

class CrashSuspects {
 public:
  explicit CrashSuspects(const CrashSuspectOptions& options);

  [[nodiscard]] SuspectVerdict Judge(ContentFingerprint fingerprint,
                                     MonotonicTime now) const;

  // `alone` is true if the attempt follows kRunIsolated.
  void OnAttemptStart(ContentFingerprint fingerprint,
                      const EndpointId& endpoint,
                      bool alone);

  // The attempt has ended without a crash of the endpoint. A request that
  // completes an isolated attempt is cleared; `completed` is false if the
  // attempt was given up.
  void OnAttemptEnd(ContentFingerprint fingerprint,
                    const EndpointId& endpoint,
                    bool completed);

  // The attempt's connection broke before its end. It counts as a crash at
  // once: the endpoint's new incarnation becomes visible only in a later
  // report, and by then the retry would have crashed the next endpoint. A
  // network fault that is taken for a crash costs the request an isolated
  // attempt.
  void OnAttemptBroken(ContentFingerprint fingerprint,
                       const EndpointId& endpoint,
                       MonotonicTime now);

  // The endpoint's process has died or its incarnation has changed. Ends all
  // attempts on it.
  void OnEndpointCrash(const EndpointId& endpoint, MonotonicTime now);

  // Remaining time for which the request is refused; 0 if it is not.
  [[nodiscard]] Milliseconds RemainingRefusal(ContentFingerprint fingerprint,
                                              MonotonicTime now) const;

  // Returns the records to gossip: suspected and confirmed ones.
  [[nodiscard]] std::vector<SuspectRecord> Export(MonotonicTime now) const;
  void Merge(const std::vector<SuspectRecord>& records, MonotonicTime now);

  // Removes expired records. Must be called periodically.
  void Expire(MonotonicTime now);

  [[nodiscard]] std::size_t size() const { return records_.size(); }
  // Number of fingerprints that Judge refuses now, for the state dump.
  [[nodiscard]] std::size_t RefusedCount(MonotonicTime now) const;

 private:
  struct Record {
    int crashes = 0;
    bool confirmed = false;
    // An isolated attempt has completed. The record stays, so that earlier
    // crashes that other entries still gossip don't make the request suspected
    // again.
    bool cleared = false;
    MonotonicTime last_crash{};
  };
  struct Attempt {
    ContentFingerprint fingerprint;
    bool alone = false;
  };

  [[nodiscard]] bool IsExpired(const Record& record, MonotonicTime now) const;
  [[nodiscard]] std::optional<Attempt> RemoveAttempt(
      ContentFingerprint fingerprint,
      const EndpointId& endpoint);
  [[nodiscard]] bool HasIsolatedAttempt(ContentFingerprint fingerprint) const;
  void CountCrash(const Attempt& attempt, MonotonicTime now);
  void DropOldestIfFull(MonotonicTime now);

  CrashSuspectOptions options_;
  std::unordered_map<ContentFingerprint, Record> records_;
  std::unordered_map<ContentFingerprint, int> isolated_attempts_;
  std::unordered_map<EndpointId, std::vector<Attempt>> attempts_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_RETRY_CRASH_SUSPECTS_H_
