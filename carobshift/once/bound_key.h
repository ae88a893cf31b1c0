// Idempotency keys bound to one incarnation of one entry. The entry issues a
// key prefix with its address answer, and the caller appends its own suffix for
// each request:
//
//   IssuedPrefix issued = issuer.Issue(account, now);
//   // caller: Idempotency-Key: <issued.prefix>booking-17
//   Result<BoundKey> key = ParseBoundKey(secret, text);
//
// The prefix names the entry, its incarnation, the client account and an
// expiry, authenticated by a MAC under the deployment's secret. Any entry can
// tell from the key alone which entry must run it, so no log and no consensus
// is needed, and bound keys work during an outage of the log. Without the MAC a
// caller could forge a later expiry or another account.
//
// Pure and thread-safe.

#ifndef CAROBSHIFT_ONCE_BOUND_KEY_H_
#define CAROBSHIFT_ONCE_BOUND_KEY_H_

#include <string>
#include <string_view>

#include "carobshift/base/ids.h"
#include "carobshift/base/result.h"
#include "carobshift/base/units.h"

namespace carobshift {

// Every bound key starts with this marker; a free key never does.
inline constexpr std::string_view kBoundKeyMarker = "cb1~";
inline constexpr std::size_t kMaxKeySuffixBytes = 128;

struct BoundKey {
  EntryId entry;
  Incarnation incarnation;
  AccountId account;
  // On the steady clock of the issuing incarnation, the only one that compares
  // it. Steps of the calendar clock and clock differences between machines
  // therefore can't extend a key.
  MonotonicTime expiry;
  // The part chosen by the caller.
  std::string suffix;
  // The whole key as the caller sends it.
  IdempotencyKey text;
};

struct IssuedPrefix {
  std::string prefix;
  // How long the caller may start requests with this prefix.
  Milliseconds time_to_live{0};
};

class BoundKeyIssuer {
 public:
  // `time_to_live` should be that of the address answer that carries the
  // prefix.
  BoundKeyIssuer(std::string secret,
                 EntryId entry,
                 Incarnation incarnation,
                 Milliseconds time_to_live);

  [[nodiscard]] IssuedPrefix Issue(const AccountId& account,
                                   MonotonicTime now) const;

 private:
  std::string secret_;
  EntryId entry_;
  Incarnation incarnation_;
  Milliseconds time_to_live_;
};

[[nodiscard]] bool LooksLikeBoundKey(std::string_view key);

// Returns kInvalidIdempotencyKey for a key that was not issued under `secret`,
// and for a suffix other than 1 to 128 letters, digits, '.', '_' or '-'.
[[nodiscard]] Result<BoundKey> ParseBoundKey(std::string_view secret,
                                             std::string_view key);

}  // namespace carobshift

#endif  // CAROBSHIFT_ONCE_BOUND_KEY_H_
