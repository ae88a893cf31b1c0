// The at-most-once decision for bound keys, at the entry that issued them.
//
//   BoundKeyGuard guard(options);
//   RunDecision decision =
//       guard.Begin(key, account, fingerprint, deadline, now);
//   // RunNow: guard.StartDispatch(key, now), dispatch, guard.Finish(key, ...)
//
// Only the incarnation that a key names ever dispatches it, and it keeps the
// key in its RunTable from the first sight until the key's expiry plus
// `replay_window`. So:
//   - a repeat within that time attaches or gets the same answer again;
//   - a key first seen between expiry and the end of the window was provably
//     never dispatched, and never will be: not_run;
//   - after the window nothing is known any more: outcome_unknown;
//   - a key of another incarnation died with it: outcome_unknown, at once.
//
// Pure; thread-compatible; bounded by the RunTable.

#ifndef CAROBSHIFT_ONCE_BOUND_KEY_GUARD_H_
#define CAROBSHIFT_ONCE_BOUND_KEY_GUARD_H_

#include <optional>

#include "carobshift/once/bound_key.h"
#include "carobshift/once/run_table.h"

namespace carobshift {

struct BoundKeyGuardOptions {
  EntryId entry;
  Incarnation incarnation;
  // Callers whose connection broke ask again within seconds; two minutes also
  // cover a client's restart.
  Milliseconds replay_window{120'000};
  RunTableLimits limits;
  OnceMutation mutation = OnceMutation::kNone;
};

class BoundKeyGuard {
 public:
  explicit BoundKeyGuard(BoundKeyGuardOptions options);

  // What to do with a request of `account` under `key`. `deadline` is when its
  // caller gives up.
  [[nodiscard]] RunDecision Begin(const BoundKey& key,
                                  const AccountId& account,
                                  RequestFingerprint fingerprint,
                                  MonotonicTime deadline,
                                  MonotonicTime now);

  // As in RunTable, for keys that Begin gave to run.
  [[nodiscard]] std::optional<Refusal> StartDispatch(const BoundKey& key,
                                                     MonotonicTime now);
  bool Release(const BoundKey& key);
  void Finish(const BoundKey& key, FinalAnswer answer);

  // What is known of a key's outcome. Attach means that it is in progress; a
  // Refusal of kOutcomeUnknown with kUnknownOutcome that it was not seen yet
  // and may still come.
  [[nodiscard]] RunDecision Outcome(const BoundKey& key,
                                    const AccountId& account,
                                    MonotonicTime now);

  [[nodiscard]] const RunTable& table() const { return table_; }

 private:
  [[nodiscard]] std::optional<Refusal> RefuseForeign(
      const BoundKey& key,
      const AccountId& account) const;
  [[nodiscard]] std::optional<Refusal> RefuseUnseen(const BoundKey& key,
                                                    MonotonicTime now) const;

  BoundKeyGuardOptions options_;
  RunTable table_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_ONCE_BOUND_KEY_GUARD_H_
