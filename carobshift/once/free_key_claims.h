// The at-most-once decision for free idempotency keys, which callers choose
// themselves. Any entry may get such a key, so the log decides who runs it:
// an entry appends a claim, and the first standing claim of (account, key) in
// log order wins. Its writer dispatches once it has read the claim back; the
// others send their callers on to it.
//
//   ClaimStep step = claims.Begin(request, now, wall_now);
//   if (auto payload = claims.TakeAppend()) ... log.Append ...
//   for (ClaimAction& action : claims.OnAppendReply(status, now)) ...
//   for (ClaimAction& action : claims.OnBatch(batch, now, wall_now)) ...
//   for (ClaimAction& action : claims.OnTime(now)) ...
//
// What each rule prevents:
//   - Dispatch only after reading the own claim back. The reply to an append
//     says that the claim is on the log, not that it is the first; dispatching
//     on the reply would run a key twice.
//   - A lost append reply is settled by reading on. A second claim under a new
//     number would be harmless here but would hide which of the two stands.
//   - A request that is given up while its claim may be on the log stays
//     known: if the claim turns out to stand, a release is appended. Without
//     it no repeat could ever run, and nobody would answer for the key.
//   - A key carries the time of its making. One that is older than `window` is
//     refused, since retention may have dropped its claim; without that, a
//     repeat after days would run again. The log's retention must exceed the
//     window by four times `clock_difference`.
//   - While the log can't be read nobody knows whether another entry has run a
//     key, so the refusal says outcome_unknown.
//
// Load pattern: group commit. While one append is under way further claims
// gather, so the log sees one append per round trip and entry at most: at 420
// entries and 5 ms that would still be 84,000 a second against the log's
// several hundred. So the live entries share `log_appends_per_second` among
// them: 50 a second each with four entries, one in two seconds each with 420.
//
// Pure; thread-compatible. Holds `max_keys` claims and `max_waiting` requests.

#ifndef CAROBSHIFT_ONCE_FREE_KEY_CLAIMS_H_
#define CAROBSHIFT_ONCE_FREE_KEY_CLAIMS_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "carobshift/base/result.h"
#include "carobshift/external/log_service.h"
#include "carobshift/once/claim_record.h"
#include "carobshift/once/run_table.h"

namespace carobshift {

struct FreeKeyOptions {
  EntryId entry;
  Incarnation incarnation;
  // How long after its making a key may be used. An hour covers a client's
  // retries; claims of an hour are what each entry holds in memory.
  Milliseconds window = std::chrono::hours(1);
  // How far the calendar clocks of callers and entries may differ.
  Milliseconds clock_difference{30'000};
  std::size_t max_keys = 65'536;
  std::size_t max_waiting = 4096;
  // Of the log's several hundred, for the claims of all entries together. The
  // rest is for configuration, leases and what else the platform keeps there.
  int log_appends_per_second = 200;
  // No use in more: a claim waits for its way to the log and back anyway.
  Milliseconds min_append_interval{20};
  OnceMutation mutation = OnceMutation::kNone;
};

// A local number for a request that waits for its claim.
using ClaimTicket = StrongType<struct ClaimTicketTag, std::uint64_t>;

struct FreeKeyRequest {
  AccountKey key;
  RequestFingerprint fingerprint;
  WallTime created;
  MonotonicTime deadline;
};

// The request waits; an action will name its ticket.
struct AwaitClaim {
  ClaimTicket ticket;
};
// The key is this incarnation's: go on with the RunTable.
struct RunHere {};
// The key is another incarnation's: ask it. If it is gone, the outcome is
// unknown.
struct AskOwner {
  EntryId entry;
  Incarnation incarnation;
};
using ClaimStep = std::variant<AwaitClaim, RunHere, AskOwner, Refusal>;

// The end of a request's wait; `step` is never AwaitClaim.
struct ClaimAction {
  ClaimTicket ticket;
  ClaimStep step;
};

class FreeKeyClaims {
 public:
  explicit FreeKeyClaims(FreeKeyOptions options);

  [[nodiscard]] ClaimStep Begin(const FreeKeyRequest& request,
                                MonotonicTime now,
                                WallTime wall_now);

  // The payload to append now, if any. One append at a time: the next comes
  // after OnAppendReply.
  [[nodiscard]] std::optional<std::string> TakeAppend(MonotonicTime now);

  // Spaces the appends from the next one on so that `live_entries` entries
  // share the log. One entry is assumed until it is called.
  void ShareLog(int live_entries);

  [[nodiscard]] std::vector<ClaimAction> OnAppendReply(
      const Result<LogOffset>& reply);

  // Where to read the stream next, and what was read there.
  [[nodiscard]] LogOffset next() const { return next_; }
  [[nodiscard]] std::vector<ClaimAction> OnBatch(const LogBatch& batch,
                                                 MonotonicTime now,
                                                 WallTime wall_now);

  // Gives up requests whose deadline has passed.
  [[nodiscard]] std::vector<ClaimAction> OnTime(MonotonicTime now);

  // Gives the key of a RunHere back that was not dispatched and never will be
  // under its claim.
  void Release(const AccountKey& key);

  // How long the RunTable must keep a key made at `created`: longer than this
  // object keeps its claim, or a repeat would find the claim and no run.
  [[nodiscard]] Milliseconds KeepFor(WallTime created, WallTime wall_now) const;

  [[nodiscard]] std::size_t size() const { return keys_.size(); }

 private:
  // The standing claim of a key.
  struct Standing {
    ClaimId claim;
    RequestFingerprint fingerprint;
    WallTime created;
    // True once this incarnation has promised not to dispatch it.
    bool given_up = false;
  };
  // A claim of this incarnation that was not read back yet. Without tickets
  // it is abandoned.
  struct Pending {
    std::uint64_t number = 0;
    RequestFingerprint fingerprint;
    WallTime created;
    struct Waiter {
      ClaimTicket ticket;
      MonotonicTime deadline;
    };
    std::vector<Waiter> waiters;
  };
  using Actions = std::vector<ClaimAction>;

  [[nodiscard]] std::optional<Refusal> RefuseByAge(WallTime created,
                                                   WallTime wall_now) const;
  [[nodiscard]] ClaimStep StepFor(const Standing& standing,
                                  RequestFingerprint fingerprint,
                                  WallTime created) const;
  // The pending claim of the request's key, made anew if there is none.
  Pending& PendingFor(const FreeKeyRequest& request);
  [[nodiscard]] std::optional<Refusal> RefuseWait(
      const FreeKeyRequest& request) const;
  void OnClaim(const ClaimId& id, const Claim& claim, Actions& actions);
  // Why a claim on the log can't be judged here, or nothing.
  [[nodiscard]] std::optional<Refusal> RefuseClaim(const Claim& claim);
  // Whether the claim is the first of its key, and so stands from now on.
  [[nodiscard]] bool TakeIfFirst(const ClaimId& id, const Claim& claim);
  void OnRelease(const ClaimId& id, const ClaimRelease& release);
  // Ends the wait of all requests for the key with one step.
  void EndWait(const AccountKey& key, const ClaimStep& step, Actions& actions);
  void QueueRelease(const AccountKey& key, Standing& standing);
  [[nodiscard]] bool IsMine(const ClaimId& id) const;
  [[nodiscard]] WallTime EndOf(WallTime created) const;
  void Forget(WallTime wall_now);

  FreeKeyOptions options_;
  LogOffset next_;
  std::unordered_map<AccountKey, Standing, AccountKeyHash> keys_;
  std::multimap<WallTime, AccountKey> by_created_;
  std::map<AccountKey, Pending> pending_;
  std::size_t waiting_ = 0;
  // What the next append takes, and what the one under way holds.
  std::deque<Claim> queued_claims_;
  std::deque<ClaimRelease> queued_releases_;
  std::optional<ClaimBatch> in_flight_;
  MonotonicTime next_append_;
  Milliseconds append_interval_;
  std::uint64_t next_number_ = 1;
  std::uint64_t next_ticket_ = 1;
  // A calendar clock that is set back must not make an old key young again.
  WallTime latest_wall_;
  // Until then a claim may matter that `max_keys` left no room for.
  WallTime missed_until_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_ONCE_FREE_KEY_CLAIMS_H_
