// What this incarnation has done with each idempotency key it answers for:
// taken, dispatched, or finished with an answer.
//
//   RunTable table(limits);
//   RunDecision decision = table.Begin(key, fingerprint, deadline, keep, now);
//   if (std::holds_alternative<RunNow>(decision)) {
//     if (std::optional<Refusal> late = table.StartDispatch(key, now)) ...
//     table.Finish(key, answer, now);
//   }
//
// Load pattern: callers repeat a request whose answer they miss, often several
// times and while the first copy still runs. Without the table each copy would
// run; one would notice two bookings for one key. At the two-year size a node
// sees about 110 requests a second; with keys kept for three minutes that is
// 20,000 keys, so the default of 65,536 leaves threefold room. A key takes
// about 400 bytes besides its answer.
//
// When the table is full, new keys are refused as not run; a key is never
// forgotten early to make room, since its repeat would then run again. Answers
// are forgotten, oldest first, to stay within their own bound: the key then
// still says that it ran.
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

// Tells two requests under one key apart.
using RequestFingerprint =
    StrongType<struct RequestFingerprintTag, std::uint64_t>;

[[nodiscard]] RequestFingerprint MakeFingerprint(const ServiceName& service,
                                                 std::string_view body);

// The key within its client account.
struct AccountKey {
  AccountId account;
  IdempotencyKey key;
  friend auto operator<=>(const AccountKey&, const AccountKey&) = default;
};

struct AccountKeyHash {
  std::size_t operator()(const AccountKey& key) const noexcept;
};

// How a request ended, as every copy of it is told.
struct FinalAnswer {
  RunState state = RunState::kOutcomeUnknown;
  ResultCode code = ResultCode::kOk;
  int http_status = 200;
  std::string content_type;
  std::string body;
  // When a return makes sense; 0 if it doesn't.
  Milliseconds retry_after{0};
  friend bool operator==(const FinalAnswer&, const FinalAnswer&) = default;
};

// The caller's copy is the first: run it.
struct RunNow {};
// The same request is in progress: wait for its end.
struct Attach {};
// It has ended.
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
  // Bodies of all kept answers together.
  Bytes max_answer_bytes = 32 * 1024 * 1024;
};

// Takes one mechanism out, to show that the fuzz tests notice. For tests only.
enum class OnceMutation {
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
                    OnceMutation mutation = OnceMutation::kNone);

  // `deadline` is when the caller gives up; the key is kept until `keep_until`
  // at least, and until its run has ended.
  [[nodiscard]] RunDecision Begin(const AccountKey& key,
                                  RequestFingerprint fingerprint,
                                  MonotonicTime deadline,
                                  MonotonicTime keep_until,
                                  MonotonicTime now);

  // To be called just before the first byte may leave for an endpoint. Whoever
  // was told to run the key ends it by exactly one Release or Finish, also
  // after a refusal: a second one could hit a repeat that has taken the key
  // meanwhile, which would then run twice. This process may have been paused
  // since Begin: without this check it would run a request long after its
  // caller has given up and perhaps booked elsewhere.
  [[nodiscard]] std::optional<Refusal> StartDispatch(const AccountKey& key,
                                                     MonotonicTime now);

  // Gives up a key that was not dispatched; a repeat may run. Returns false
  // and changes nothing if it was dispatched.
  bool Release(const AccountKey& key);

  // Ends a run. An answer of kNotRun frees the key and is for runs of which
  // no byte reached an endpoint.
  void Finish(const AccountKey& key, FinalAnswer answer);

  // Whether the key is there, and its answer once it has ended.
  struct Known {
    std::optional<FinalAnswer> answer;
  };
  [[nodiscard]] std::optional<Known> Find(const AccountKey& key) const;

  // Forgets keys whose time has come. Amortized constant time a key.
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
    // Its places in `by_end_` and, if its body is kept, in `with_body_`.
    std::multimap<MonotonicTime, AccountKey>::iterator end;
    std::optional<std::list<AccountKey>::iterator> body;
  };
  using Runs = std::unordered_map<AccountKey, Run, AccountKeyHash>;

  [[nodiscard]] RunDecision Repeat(const Run& run,
                                   RequestFingerprint fingerprint) const;
  void BoundAnswers();
  void DropBody(Run& run);
  void Erase(Runs::iterator it);

  RunTableLimits limits_;
  OnceMutation mutation_;
  Runs runs_;
  std::multimap<MonotonicTime, AccountKey> by_end_;
  // Keys with a kept body, oldest first.
  std::list<AccountKey> with_body_;
  Bytes answer_bytes_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_ONCE_RUN_TABLE_H_
