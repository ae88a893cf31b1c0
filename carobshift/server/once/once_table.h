// The idempotency keys of this entry, for its worker threads: the guards of
// carobshift/once behind one mutex, and the waits that go with them.
//
//   OnceTable table(context_settings...);
//   KeyDecision decision = table.Begin(key, now, wall_now);
//   // RunNow: StartDispatch before the first byte, then Finish.
//   // Attach: AwaitEnd, then Begin again.
//
// Thread-safe. The mutex is a leaf: no other lock is taken under it. Waits end
// at the request's deadline.

#ifndef CAROBSHIFT_SERVER_ONCE_ONCE_TABLE_H_
#define CAROBSHIFT_SERVER_ONCE_ONCE_TABLE_H_

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

struct OnceOptions {
  EntryId entry;
  Incarnation incarnation;
  Milliseconds replay_window{0};
};

// A request under a key, as the table needs it.
struct KeyedRequest {
  AccountId account;
  // Set for a bound key of this entry's incarnation or of another.
  std::optional<BoundKey> bound;
  // For a free key.
  IdempotencyKey free_key;
  WallTime created;
  RequestFingerprint fingerprint;
  MonotonicTime deadline;
};

using KeyDecision = std::variant<RunNow, Attach, Replay, Refusal, AskOwner>;

class OnceTable : public StateSource {
 public:
  explicit OnceTable(const OnceOptions& options);

  // What to do with a request. Blocks for a free key until its claim is
  // settled. A bound key of another incarnation is refused.
  [[nodiscard]] KeyDecision Begin(const KeyedRequest& request);

  [[nodiscard]] std::optional<Refusal> StartDispatch(
      const KeyedRequest& request,
      MonotonicTime now);
  // Ends a request that was told to run, once.
  void Finish(const KeyedRequest& request, FinalAnswer answer);

  // Waits until the key's run has ended; false at the deadline.
  [[nodiscard]] bool AwaitEnd(const KeyedRequest& request);

  // What is known of a key, without starting anything.
  [[nodiscard]] KeyDecision Outcome(const KeyedRequest& request,
                                    MonotonicTime now);

  // Tells how many entries share the log.
  void ShareLog(int live_entries);

  // The claims task's side; see FreeKeyClaims. AwaitAppend waits up to `wait`
  // for something to append.
  [[nodiscard]] std::optional<std::string> AwaitAppend(Milliseconds wait);
  void OnAppendReply(const Result<LogOffset>& reply);
  [[nodiscard]] LogOffset next_claim() const;
  void OnClaims(const LogBatch& batch, MonotonicTime now, WallTime wall_now);
  void OnTime(MonotonicTime now);

  [[nodiscard]] nlohmann::json DumpState() const override;

 private:
  [[nodiscard]] KeyDecision BeginFree(const KeyedRequest& request,
                                      std::unique_lock<std::mutex>& lock);
  [[nodiscard]] KeyDecision Take(const KeyedRequest& request,
                                 const ClaimStep& step);
  void Deliver(const std::vector<ClaimAction>& actions);
  [[nodiscard]] AccountKey NameOf(const KeyedRequest& request) const;
  [[nodiscard]] bool InProgress(const KeyedRequest& request) const;

  mutable std::mutex mutex_;
  // Notified whenever a run ends or a claim is settled, and when a claim is
  // queued.
  std::condition_variable changed_;
  BoundKeyGuard guard_;
  RunTable free_runs_;
  FreeKeyClaims claims_;
  // Settled steps until their threads take them.
  std::map<ClaimTicket, ClaimStep> settled_;
  std::uint64_t begun_ = 0;
  std::uint64_t replayed_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_ONCE_ONCE_TABLE_H_
