// Records of the log stream "claims", in which entries claim free idempotency
// keys. One log record holds the claims of one group commit.
//
//   std::string payload = EncodeClaimBatch(batch);
//   Result<ClaimBatch> batch = DecodeClaimBatch(payload);
//
// Pure and thread-safe.

#ifndef CAROBSHIFT_ONCE_CLAIM_RECORD_H_
#define CAROBSHIFT_ONCE_CLAIM_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/result.h"
#include "carobshift/base/units.h"
#include "carobshift/once/run_table.h"

namespace carobshift {

inline constexpr char kClaimStream[] = "claims";
// Maximum number of claims and releases in one record.
inline constexpr std::size_t kMaxClaimBatch = 128;

// Identifies one claim by its writer and the writer's claim number.
struct ClaimId {
  EntryId entry;
  Incarnation incarnation;
  std::uint64_t number = 0;
  friend auto operator<=>(const ClaimId&, const ClaimId&) = default;
};

// States that the writer will run the key unless an earlier claim of it is in
// effect.
struct Claim {
  std::uint64_t number = 0;
  AccountKey key;
  RequestFingerprint fingerprint;
  // When the caller created the key.
  WallTime created;
  friend bool operator==(const Claim&, const Claim&) = default;
};

// States that the writer has not dispatched the claim with this number and
// never will.
struct ClaimRelease {
  std::uint64_t number = 0;
  AccountKey key;
  friend bool operator==(const ClaimRelease&, const ClaimRelease&) = default;
};

struct ClaimBatch {
  EntryId entry;
  Incarnation incarnation;
  std::vector<ClaimRelease> releases;
  std::vector<Claim> claims;
  friend bool operator==(const ClaimBatch&, const ClaimBatch&) = default;
};

[[nodiscard]] std::string EncodeClaimBatch(const ClaimBatch& batch);

// Returns kMalformedRequest if `payload` is not an encoded batch.
[[nodiscard]] Result<ClaimBatch> DecodeClaimBatch(std::string_view payload);

}  // namespace carobshift

#endif  // CAROBSHIFT_ONCE_CLAIM_RECORD_H_
