// Records what this incarnation has done with each idempotency key it is
// responsible for: accepted, dispatched, or finished with an answer.
//
//   RunTable table(limits);
//   RunDecision decision =
//       table.Begin(key, fingerprint, deadline, keep_until, now);
//   if (std::holds_alternative<RunNow>(decision)) {
//     if (std::optional<Refusal> late = table.StartDispatch(key, now)) ...
//     table.Finish(key, answer);
//   }
//
// Load pattern: callers repeat a request whose answer they miss, often several
// times and while the first copy still runs. Without the table every copy would
// run, for example making two bookings under one key. At the size expected in
// two years a machine sees about 110 requests a second. With keys kept for
// three minutes that is 20,000 keys, so the default of 65,536 leaves threefold
// headroom. A key takes about 400 bytes besides its answer.
//
// When the table is full, new keys are refused as not run. A key is never
// evicted early, because its repeat would then run again. Answers are evicted,
// oldest first, to stay within their own bound; the key still records that it
// ran.
//
// Pure; thread-compatible.

#ifndef CAROBSHIFT_ONCE_RUN_TABLE_H_
#define CAROBSHIFT_ONCE_RUN_TABLE_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

#include "carobshift/base/ids.h"
#include "carobshift/base/result_code.h"
#include "carobshift/base/units.h"

namespace carobshift {

// Distinguishes two requests under one key.
using RequestFingerprint =
    StrongType<struct RequestFingerprintTag, std::uint64_t>;

[[nodiscard]] RequestFingerprint MakeFingerprint(const ServiceName& service,
                                                 std::string_view body);

// A key within its client account.
struct AccountKey {
  AccountId account;
  IdempotencyKey key;
  friend auto operator<=>(const AccountKey&, const AccountKey&) = default;
};

struct AccountKeyHash {
  std::size_t operator()(const AccountKey& key) const noexcept;
};

// How a request ended, as reported to every copy of it.
struct FinalAnswer {
  RunState state = RunState::kOutcomeUnknown;
  ResultCode code = ResultCode::kOk;
  int http_status = 200;
  std::string content_type;
  std::string body;
  // When the caller should retry; 0 if it should not.
  Milliseconds retry_after{0};
  friend bool operator==(const FinalAnswer&, const FinalAnswer&) = default;
};

// This is the first copy of the request: run it.
struct RunNow {};
// The same request is in progress: wait for its end.
struct Attach {};
// The request has ended with this answer.
struct Replay {
  FinalAnswer answer;
};
struct Refusal {
  ResultCode code = ResultCode::kInternal;
  RunState state = RunState::kOutcomeUnknown;
  std::string message;
};
using RunDecision = std::variant<RunNow, Attach, Replay, Refusal>;

struct RunTableLimits {
  std::size_t max_keys = 65'536;
  // Bodies of all stored answers together.
  Bytes max_answer_bytes = 32 * 1024 * 1024;
};

// Disables one mechanism, to show that the fuzz tests detect its absence. For
// tests only.
enum class AtMostOnceMutation {
  kNone,
  kNoTable,
  kNoIncarnationCheck,
  kNoDeadlineCheck,
  kForgetAtExpiry,
  kNoReadBack,
  kLastClaimWins,
  kNoReleaseOfAbandoned,
  kReleaseAfterDispatch,
  kNotRunWhileLogDown,
  kNoKeyAge,
};

class RunTable {
 public:
  explicit RunTable(RunTableLimits limits,
                    AtMostOnceMutation mutation = AtMostOnceMutation::kNone);

  // `deadline` is when the caller gives up. The key is kept at least until
  // `keep_until`, and until its run has ended.
  [[nodiscard]] RunDecision Begin(const AccountKey& key,
                                  RequestFingerprint fingerprint,
                                  MonotonicTime deadline,
                                  MonotonicTime keep_until,
                                  MonotonicTime now);

  // Must be called just before the first byte may be sent to an endpoint. After
  // RunNow, exactly one Release or Finish must follow, also after a refusal
  // here: a second one could apply to a repeat that has taken the key in the
  // meantime, which would then run twice. The deadline is checked again because
  // this process may have been paused since Begin: it would otherwise run a
  // request long after its caller has given up and perhaps booked elsewhere.
  [[nodiscard]] std::optional<Refusal> StartDispatch(const AccountKey& key,
                                                     MonotonicTime now);

  // Releases a key that was not dispatched, so that a repeat may run. Returns
  // false and changes nothing if it was dispatched.
  bool Release(const AccountKey& key);

  // Ends a run. An answer with kNotRun frees the key and is allowed only if no
  // byte reached an endpoint.
  void Finish(const AccountKey& key, FinalAnswer answer);

  // A known key, and its answer once the run has ended.
  struct Known {
    std::optional<FinalAnswer> answer;
  };
  [[nodiscard]] std::optional<Known> Find(const AccountKey& key) const;

  // Removes expired keys. Amortized constant time per key.
  void Sweep(MonotonicTime now);

  [[nodiscard]] std::size_t size() const { return runs_.size(); }
  [[nodiscard]] Bytes answer_bytes() const { return answer_bytes_; }

 private:
  enum class Stage { kTaken, kDispatched, kFinished };
  struct Run {
    Stage stage = Stage::kTaken;
    RequestFingerprint fingerprint;
    MonotonicTime deadline;
    FinalAnswer answer;
    // Positions in `by_expiry_` and, if the body is stored, in `with_body_`.
    std::multimap<MonotonicTime, AccountKey>::iterator end;
    std::optional<std::list<AccountKey>::iterator> body;
  };
  using Runs = std::unordered_map<AccountKey, Run, AccountKeyHash>;

  [[nodiscard]] RunDecision DecideRepeat(const Run& run,
                                         RequestFingerprint fingerprint) const;
  void EvictAnswers();
  void DropBody(Run& run);
  void Erase(Runs::iterator it);

  RunTableLimits limits_;
  AtMostOnceMutation mutation_;
  Runs runs_;
  std::multimap<MonotonicTime, AccountKey> by_expiry_;
  // Keys with a stored body, oldest first.
  std::list<AccountKey> with_body_;
  Bytes answer_bytes_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_ONCE_RUN_TABLE_H_
