// Makes the at-most-once decision for bound keys, at the entry that issued
// them.
//
//   BoundKeyGuard guard(options);
//   RunDecision decision =
//       guard.Begin(key, account, fingerprint, deadline, now);
//   // RunNow: guard.StartDispatch(key, now), dispatch, guard.Finish(key, ...)
//
// Only the incarnation named in a key ever dispatches it. It keeps the key in
// its RunTable from the first request until the key's expiry plus
// `replay_window`. Therefore:
// - a repeat within that time attaches to the run or gets the stored answer;
// - a key first seen between its expiry and the end of the window was provably
//   never dispatched and never will be: not_run;
// - after the window the outcome is no longer known: outcome_unknown;
// - a key of another incarnation was lost with that incarnation's table:
//   outcome_unknown, at once.
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
  // Callers repeat within seconds after a broken connection; two minutes also
  // cover a client's restart.
  Milliseconds replay_window{120'000};
  RunTableLimits limits;
  AtMostOnceMutation mutation = AtMostOnceMutation::kNone;
};

class BoundKeyGuard {
 public:
  explicit BoundKeyGuard(BoundKeyGuardOptions options);

  // Decides on a request of `account` under `key`. `deadline` is when its
  // caller gives up.
  [[nodiscard]] RunDecision Begin(const BoundKey& key,
                                  const AccountId& account,
                                  RequestFingerprint fingerprint,
                                  MonotonicTime deadline,
                                  MonotonicTime now);

  // As in RunTable, for keys for which Begin returned RunNow.
  [[nodiscard]] std::optional<Refusal> StartDispatch(const BoundKey& key,
                                                     MonotonicTime now);
  bool Release(const BoundKey& key);
  void Finish(const BoundKey& key, FinalAnswer answer);

  // Returns what is known of the key's outcome. Attach means that the run is in
  // progress. A Refusal with kOutcomeUnknown and kUnknownOutcome means that no
  // request with the key has arrived yet, but one may still arrive.
  [[nodiscard]] RunDecision Outcome(const BoundKey& key,
                                    const AccountId& account,
                                    MonotonicTime now);

  [[nodiscard]] const RunTable& table() const { return table_; }

 private:
  [[nodiscard]] std::optional<Refusal> RefuseIfNotIssuer(
      const BoundKey& key,
      const AccountId& account) const;
  [[nodiscard]] std::optional<Refusal> RefuseIfExpired(const BoundKey& key,
                                                       MonotonicTime now) const;

  BoundKeyGuardOptions options_;
  RunTable table_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_ONCE_BOUND_KEY_GUARD_H_
