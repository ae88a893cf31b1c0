// Derives the bearer key with which operators' tools authenticate to an entry.
// It is an HMAC under the deployment's secret, so that tools never send the
// secret itself.
//
//   request.set("Authorization", "Bearer " + OperatorKey(secret));

#ifndef CAROBSHIFT_BASE_OPERATOR_KEY_H_
#define CAROBSHIFT_BASE_OPERATOR_KEY_H_

#include <string>
#include <string_view>

#include "carobshift/base/digest.h"

namespace carobshift {

// Returns 64 hexadecimal digits. Thread-safe.
[[nodiscard]] inline std::string OperatorKey(std::string_view secret) {
  return HexEncode(HmacSha256(secret, "carobshift operator"));
}

}  // namespace carobshift

#endif  // CAROBSHIFT_BASE_OPERATOR_KEY_H_
