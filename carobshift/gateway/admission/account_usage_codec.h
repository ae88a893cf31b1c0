// Encodes reports of account usage between instances as the payload of a
// datagram.
//
//   std::string payload = EncodeAccountUsageReport(report);
//   Result<AccountUsageReport> report = DecodeAccountUsageReport(payload);

#ifndef CAROBSHIFT_GATEWAY_ADMISSION_ACCOUNT_USAGE_CODEC_H_
#define CAROBSHIFT_GATEWAY_ADMISSION_ACCOUNT_USAGE_CODEC_H_

#include <string>
#include <string_view>

#include "carobshift/base/result.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/admission/account_usage.h"

namespace carobshift {

// A longer period would keep the report of a dead peer for too long. It
// corresponds to 36,000 instances.
inline constexpr Milliseconds kMaxReportedPeriod{600'000};
// Reports with a larger cost are malformed. It is far above what all engines of
// a deployment start in a second (below 1e8 tokens), and small enough for sums
// to stay exact to a token.
inline constexpr double kMaxReportedCost = 1e12;

// `report` holds at most AccountUsage::kMaxReportedAccounts accounts.
[[nodiscard]] std::string EncodeAccountUsageReport(
    const AccountUsageReport& report);
// Returns kPeerRejected if `payload` is incomplete or malformed.
[[nodiscard]] Result<AccountUsageReport> DecodeAccountUsageReport(
    std::string_view payload);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ADMISSION_ACCOUNT_USAGE_CODEC_H_
