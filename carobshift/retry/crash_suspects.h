// Requests that crash the endpoints that run them.
//
//   CrashSuspects suspects(options);
//   switch (suspects.Judge(fingerprint, now)) {
//     case SuspectVerdict::kRefuse: ...      // kRequestSuspected
//     case SuspectVerdict::kTryAlone: ...    // only on an endpoint without
//   }                                        // other requests
//   suspects.OnAttemptStart(fingerprint, endpoint, alone);
//   suspects.OnAttemptEnd(fingerprint, endpoint, completed);
//   suspects.OnEndpointCrash(endpoint, now);
//
// Load pattern: one request in many crashes each endpoint that runs it, and its
// caller sends it again, under new ids. Without this each retry takes down one
// more endpoint together with all that ran beside it, until none is left; it
// shows as crashes that wander over the fleet.
//
// How: a crash marks every fingerprint in progress there. One that is marked
// `crashes_to_suspect` times within `memory` is suspected: at most one attempt
// of it runs at a time, alone on an endpoint, so that a bystander is cleared
// and a culprit takes nobody along. A crash while alone convicts it: it is
// refused everywhere until `refusal` is over. The fingerprint covers the
// account and the content, not the request id.
//
// Figures: one crash marks up to some dozens of bystanders, for each of which
// two crashes within ten minutes are unlikely (at 16 in progress and 120
// instance deaths a day over 420: below one in 10,000), so two suspect. A
// culprit costs three endpoint restarts. Ten minutes of refusal outlast a
// caller's retries; after it one trial, alone, is allowed again.
//
// Entries exchange Export() by gossip, so that a caller who turns to another
// entry doesn't start from zero; Merge is commutative and idempotent. Ages, not
// times, are exchanged, as steady clocks differ.
//
// Thread-compatible. State: `max_records` records, the oldest dropped first,
// and the attempts in progress.

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

// Of what a request asks for, equal for repeats of it.
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
  // Only on an endpoint that runs nothing else meanwhile, and without a retry.
  kTryAlone,
  // A trial of it is going on; not now.
  kWait,
  kRefuse
};

// What one entry tells the others about a fingerprint.
struct SuspectRecord {
  ContentFingerprint fingerprint;
  int crashes = 0;
  bool convicted = false;
  // Since the last crash.
  Milliseconds age{0};
};

class CrashSuspects {
 public:
  explicit CrashSuspects(const CrashSuspectOptions& options);

  [[nodiscard]] SuspectVerdict Judge(ContentFingerprint fingerprint,
                                     MonotonicTime now) const;

  // `alone` if the attempt follows kTryAlone.
  void OnAttemptStart(ContentFingerprint fingerprint,
                      const EndpointId& endpoint,
                      bool alone);

  // The attempt has ended without a crash of the endpoint. One that ran alone
  // to its end is cleared; `completed` is false if it was given up.
  void OnAttemptEnd(ContentFingerprint fingerprint,
                    const EndpointId& endpoint,
                    bool completed);

  // The attempt's connection broke in the middle. It counts as a crash at once:
  // the endpoint's new incarnation is seen only by a later report, and by then
  // the retry would have taken down the next endpoint. A network fault that is
  // taken for a crash costs the request a run alone.
  void OnAttemptBroken(ContentFingerprint fingerprint,
                       const EndpointId& endpoint,
                       MonotonicTime now);

  // The endpoint's process has died or its incarnation has changed. Ends all
  // attempts there.
  void OnEndpointCrash(const EndpointId& endpoint, MonotonicTime now);

  // How long a refused request is refused still.
  [[nodiscard]] Milliseconds RefusedFor(ContentFingerprint fingerprint,
                                        MonotonicTime now) const;

  // Records worth telling: those suspected or convicted.
  [[nodiscard]] std::vector<SuspectRecord> Export(MonotonicTime now) const;
  void Merge(const std::vector<SuspectRecord>& records, MonotonicTime now);

  // Drops what is too old; call now and then.
  void Expire(MonotonicTime now);

  [[nodiscard]] std::size_t size() const { return records_.size(); }
  // Those that Judge refuses now; for the state dump.
  [[nodiscard]] std::size_t RefusedCount(MonotonicTime now) const;

 private:
  struct Record {
    int crashes = 0;
    bool convicted = false;
    // A run alone went well. The record stays, so that what other entries still
    // tell of the crashes before it doesn't make the request suspected again.
    bool cleared = false;
    MonotonicTime last_crash{};
  };
  struct Attempt {
    ContentFingerprint fingerprint;
    bool alone = false;
  };

  [[nodiscard]] bool IsExpired(const Record& record, MonotonicTime now) const;
  [[nodiscard]] std::optional<Attempt> Take(ContentFingerprint fingerprint,
                                            const EndpointId& endpoint);
  [[nodiscard]] bool HasTrial(ContentFingerprint fingerprint) const;
  void Mark(const Attempt& attempt, MonotonicTime now);
  void DropOldestIfFull(MonotonicTime now);

  CrashSuspectOptions options_;
  std::unordered_map<ContentFingerprint, Record> records_;
  std::unordered_map<ContentFingerprint, int> trials_;
  std::unordered_map<EndpointId, std::vector<Attempt>> attempts_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_RETRY_CRASH_SUSPECTS_H_
