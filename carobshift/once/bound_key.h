// Idempotency keys that are bound to one incarnation of one entry. The entry
// issues a prefix together with its address answer; the caller appends a
// suffix of its own for each request:
//
//   IssuedPrefix issued = issuer.Issue(account, now);
//   // caller: Idempotency-Key: <issued.prefix>booking-17
//   Result<BoundKey> key = ParseBoundKey(secret, text);
//
// The prefix names the entry, its incarnation, the client account and an
// expiry, with a MAC over them under the deployment's secret. Any entry can
// tell from it alone where the key must run, so that no log and no agreement
// is needed, also during an outage of the log. Without the MAC a caller could
// make up a prefix with a later expiry or another account.
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

// Every bound key starts with this; a free key never does.
inline constexpr std::string_view kBoundKeyMarker = "cb1~";
inline constexpr std::size_t kMaxKeySuffixBytes = 128;

struct BoundKey {
  EntryId entry;
  Incarnation incarnation;
  AccountId account;
  // On the steady clock of the issuing incarnation. Only that incarnation
  // compares it, so steps of a calendar clock and differences between machines
  // can't make a key live longer.
  MonotonicTime expiry;
  // The caller's part.
  std::string suffix;
  // The whole key, as the caller sends it.
  IdempotencyKey text;
};

struct IssuedPrefix {
  std::string prefix;
  // How long the caller may start requests under it.
  Milliseconds time_to_live{0};
};

class BoundKeyIssuer {
 public:
  // `time_to_live` should be that of the address answer that carries it.
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

// kInvalidIdempotencyKey for anything that was not issued under `secret`, and
// for a suffix that isn't 1 to 128 letters, digits, '.', '_' or '-'.
[[nodiscard]] Result<BoundKey> ParseBoundKey(std::string_view secret,
                                             std::string_view key);

}  // namespace carobshift

#endif  // CAROBSHIFT_ONCE_BOUND_KEY_H_
