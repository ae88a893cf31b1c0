// Makes the at-most-once decision for free idempotency keys, which callers
// choose themselves. Any entry may receive such a key, so the log decides which
// one runs it: an entry appends a claim, and the first claim of (account, key)
// in log order that has not been released wins. Its writer dispatches after
// reading the claim back; other entries refer their callers to the winner.
//
//   ClaimStep step = claims.Begin(request, now, wall_now);
//   if (auto payload = claims.TakeAppend(now)) ... log.Append ...
//   for (ClaimCompletion& action : claims.OnAppendReply(reply)) ...
//   for (ClaimCompletion& action : claims.OnBatch(batch, now, wall_now)) ...
//   for (ClaimCompletion& action : claims.ExpireWaiters(now)) ...
//
// Rules, and the failure that each one prevents:
// - An entry dispatches only after reading its own claim back. The reply to an
//   append says that the claim is on the log, but not that it is the first;
//   dispatching on the reply would run a key twice.
// - If the reply to an append is lost, reading the log settles the claim. A
//   second claim under a new number would be harmless, but would hide which of
//   the two is in effect.
// - If a request is given up while its claim may be on the log, the claim stays
//   pending, and a release is appended if the claim turns out to win. Otherwise
//   no repeat could ever run, and no entry would answer for the key.
// - A key carries its creation time. A key older than `window` is refused,
//   because retention may have dropped its claim and a repeat after days would
//   run again. The log's retention must exceed the window by four times
//   `clock_difference`.
// - While the log can't be read, it is unknown whether another entry has run a
//   key, so the refusal says outcome_unknown.
//
// Load pattern: claims are committed in groups. Claims that arrive during an
// append wait for the next one, so the log sees at most one append per round
// trip and entry. At 420 entries and 5 ms that would still be 84,000 a second,
// while the log takes several hundred. Therefore the live entries share
// `log_appends_per_second`: each gets 50 a second with four entries, and one in
// two seconds with 420.
//
// Pure; thread-compatible. Holds at most `max_keys` claims and `max_waiting`
// requests.

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
  // How long a key may be used after its creation. An hour covers a client's
  // retries; each entry holds the claims of this time in memory.
  Milliseconds window = std::chrono::hours(1);
  // Maximum difference between the calendar clocks of callers and entries.
  Milliseconds clock_difference{30'000};
  std::size_t max_keys = 65'536;
  std::size_t max_waiting = 4096;
  // Appends available to the claims of all entries together, out of the log's
  // several hundred. The rest is left for configuration, leases and the
  // platform's other records.
  int log_appends_per_second = 200;
  // A shorter interval gains nothing, because a claim waits for a round trip to
  // the log anyway.
  Milliseconds min_append_interval{20};
  AtMostOnceMutation mutation = AtMostOnceMutation::kNone;
};

// Identifies a request that waits for its claim. Local to this process.
using ClaimTicket = StrongType<struct ClaimTicketTag, std::uint64_t>;

struct FreeKeyRequest {
  AccountKey key;
  RequestFingerprint fingerprint;
  WallTime created;
  MonotonicTime deadline;
};

// The request waits; a later ClaimCompletion names its ticket.
struct AwaitClaim {
  ClaimTicket ticket;
};
// This incarnation holds the key: continue with the RunTable.
struct RunHere {};
// Another incarnation holds the key: ask that one. If it is gone, the outcome
// is unknown.
struct AskOwner {
  EntryId entry;
  Incarnation incarnation;
};
using ClaimStep = std::variant<AwaitClaim, RunHere, AskOwner, Refusal>;

// Completes the wait of a request; `step` is never AwaitClaim.
struct ClaimCompletion {
  ClaimTicket ticket;
  ClaimStep step;
};

class FreeKeyClaims {
 public:
  explicit FreeKeyClaims(FreeKeyOptions options);

  [[nodiscard]] ClaimStep Begin(const FreeKeyRequest& request,
                                MonotonicTime now,
                                WallTime wall_now);

  // Returns the payload to append now, if any. Only one append is in flight:
  // the next payload is returned after OnAppendReply.
  [[nodiscard]] std::optional<std::string> TakeAppend(MonotonicTime now);

  // Spaces appends so that `live_entries` entries share the log's append rate;
  // one entry is assumed until the first call.
  void SetLiveEntries(int live_entries);

  [[nodiscard]] std::vector<ClaimCompletion> OnAppendReply(
      const Result<LogOffset>& reply);

  // The offset to read the stream from, and the handler for what was read
  // there.
  [[nodiscard]] LogOffset next() const { return next_; }
  [[nodiscard]] std::vector<ClaimCompletion> OnBatch(const LogBatch& batch,
                                                     MonotonicTime now,
                                                     WallTime wall_now);

  // Refuses requests whose deadline has passed.
  [[nodiscard]] std::vector<ClaimCompletion> ExpireWaiters(MonotonicTime now);

  // Releases a key for which RunHere was returned. The key must not have been
  // dispatched, and must never be dispatched under this claim.
  void Release(const AccountKey& key);

  // How long the RunTable must keep a key created at `created`. Longer than
  // this object keeps the claim; otherwise a repeat would find the claim but no
  // run.
  [[nodiscard]] Milliseconds RunRetention(WallTime created,
                                          WallTime wall_now) const;

  [[nodiscard]] std::size_t size() const { return keys_.size(); }

 private:
  // The claim of a key that is in effect.
  struct ClaimInEffect {
    ClaimId claim;
    RequestFingerprint fingerprint;
    WallTime created;
    // True once this incarnation has queued a release and must not dispatch the
    // key.
    bool release_queued = false;
  };
  // A claim of this incarnation that has not been read back yet. Without
  // waiters it is abandoned.
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
  using Actions = std::vector<ClaimCompletion>;

  [[nodiscard]] std::optional<Refusal> RefuseByAge(WallTime created,
                                                   WallTime wall_now) const;
  [[nodiscard]] ClaimStep StepFor(const ClaimInEffect& in_effect,
                                  RequestFingerprint fingerprint,
                                  WallTime created) const;
  // Returns the pending claim of the request's key and creates it if needed.
  Pending& PendingFor(const FreeKeyRequest& request);
  [[nodiscard]] std::optional<Refusal> RefusePending(
      const FreeKeyRequest& request) const;
  void OnClaim(const ClaimId& id, const Claim& claim, Actions& actions);
  // Returns why a claim on the log can't be evaluated here, or nullopt.
  [[nodiscard]] std::optional<Refusal> RefuseClaim(const Claim& claim);
  // Puts the claim into effect if it is the first of its key. Returns whether
  // it was.
  [[nodiscard]] bool RecordIfFirst(const ClaimId& id, const Claim& claim);
  void OnRelease(const ClaimId& id, const ClaimRelease& release);
  // Completes the wait of all requests for the key with the same step.
  void CompleteWaiters(const AccountKey& key,
                       const ClaimStep& step,
                       Actions& actions);
  void QueueRelease(const AccountKey& key, ClaimInEffect& in_effect);
  [[nodiscard]] bool IsMine(const ClaimId& id) const;
  [[nodiscard]] WallTime RetentionEnd(WallTime created) const;
  void RemoveExpired(WallTime wall_now);

  FreeKeyOptions options_;
  LogOffset next_;
  std::unordered_map<AccountKey, ClaimInEffect, AccountKeyHash> keys_;
  std::multimap<WallTime, AccountKey> by_created_;
  std::map<AccountKey, Pending> pending_;
  std::size_t waiting_ = 0;
  // Waiting for the next append, and the batch of the append in flight.
  std::deque<Claim> queued_claims_;
  std::deque<ClaimRelease> queued_releases_;
  std::optional<ClaimBatch> in_flight_;
  MonotonicTime next_append_;
  Milliseconds append_interval_;
  std::uint64_t next_number_ = 1;
  std::uint64_t next_ticket_ = 1;
  // The latest calendar time seen. A clock that is set back must not make an
  // expired key valid again.
  WallTime latest_wall_time_;
  // Until then, claims that were dropped because of `max_keys` may be in
  // effect.
  WallTime claims_dropped_until_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_ONCE_FREE_KEY_CLAIMS_H_
