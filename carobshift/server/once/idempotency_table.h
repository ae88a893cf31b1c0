// The idempotency keys of this entry, shared by its worker threads. Holds the
// key state machines of carobshift/once under one mutex and lets threads wait
// for their results.
//
//   IdempotencyTable table(options);
//   KeyDecision decision = table.Begin(request);
//   // RunNow: StartDispatch before the first byte, then Finish.
//   // Attach: AwaitEnd, then Begin again.
//
// Thread-safe. The mutex is a leaf lock: no other lock is taken while it is
// held. Waits end at the request's deadline.

#ifndef CAROBSHIFT_SERVER_ONCE_IDEMPOTENCY_TABLE_H_
#define CAROBSHIFT_SERVER_ONCE_IDEMPOTENCY_TABLE_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>

#include "carobshift/once/bound_key_guard.h"
#include "carobshift/once/free_key_claims.h"
#include "carobshift/telemetry/state_source.h"

namespace carobshift {

struct IdempotencyTableOptions {
  EntryId entry;
  Incarnation incarnation;
  Milliseconds replay_window{0};
};

// A request with an idempotency key, as input to the table.
struct KeyedRequest {
  AccountId account;
  // Set for a bound key, whether it was issued by this incarnation of the entry
  // or by another.
  std::optional<BoundKey> bound;
  // For a free key.
  IdempotencyKey free_key;
  WallTime created;
  RequestFingerprint fingerprint;
  MonotonicTime deadline;
};

using KeyDecision = std::variant<RunNow, Attach, Replay, Refusal, AskOwner>;

class IdempotencyTable : public StateSource {
 public:
  explicit IdempotencyTable(const IdempotencyTableOptions& options);

  // Decides what to do with a request. For a free key, blocks until its claim
  // is settled. Refuses a bound key of another incarnation.
  [[nodiscard]] KeyDecision Begin(const KeyedRequest& request);

  [[nodiscard]] std::optional<Refusal> StartDispatch(
      const KeyedRequest& request,
      MonotonicTime now);
  // Records the answer of a request for which Begin returned RunNow. Call
  // exactly once.
  void Finish(const KeyedRequest& request, FinalAnswer answer);

  // Waits until the key's run has ended. False at the deadline.
  [[nodiscard]] bool AwaitEnd(const KeyedRequest& request);

  // Returns the known outcome of a key without starting a run.
  [[nodiscard]] KeyDecision Outcome(const KeyedRequest& request,
                                    MonotonicTime now);

  // Sets the number of entries that append to the log.
  void SetLiveEntries(int live_entries);

  // For the claim tasks; see FreeKeyClaims. AwaitAppend waits up to `wait` for
  // a claim to append.
  [[nodiscard]] std::optional<std::string> AwaitAppend(Milliseconds wait);
  void OnAppendReply(const Result<LogOffset>& reply);
  [[nodiscard]] LogOffset next_claim() const;
  void OnClaims(const LogBatch& batch, MonotonicTime now, WallTime wall_now);
  void ExpireWaiters(MonotonicTime now);

  [[nodiscard]] nlohmann::json DumpState() const override;

 private:
  [[nodiscard]] KeyDecision BeginFree(const KeyedRequest& request,
                                      std::unique_lock<std::mutex>& lock);
  [[nodiscard]] KeyDecision BeginClaimed(const KeyedRequest& request,
                                         const ClaimStep& step);
  void Deliver(const std::vector<ClaimCompletion>& actions);
  [[nodiscard]] AccountKey AccountKeyOf(const KeyedRequest& request) const;
  [[nodiscard]] bool InProgress(const KeyedRequest& request) const;

  mutable std::mutex mutex_;
  // Notified when a run ends, a claim is settled or a claim is queued.
  std::condition_variable changed_;
  BoundKeyGuard guard_;
  RunTable free_runs_;
  FreeKeyClaims claims_;
  // Settled claims that their waiting threads have not taken yet.
  std::map<ClaimTicket, ClaimStep> settled_;
  std::uint64_t begun_ = 0;
  std::uint64_t replayed_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_ONCE_IDEMPOTENCY_TABLE_H_
