// Encodes load reports between instances as the payload of a datagram.
//
//   std::string payload = EncodeLoadReport(report);
//   Result<LoadReport> report = DecodeLoadReport(payload);

#ifndef CAROBSHIFT_GATEWAY_LOAD_LOAD_REPORT_CODEC_H_
#define CAROBSHIFT_GATEWAY_LOAD_LOAD_REPORT_CODEC_H_

#include <string>
#include <string_view>

#include "carobshift/base/result.h"
#include "carobshift/gateway/load/load_tracker.h"

namespace carobshift {

// Number of endpoints that fit into one datagram; those with the most tokens
// are reported.
inline constexpr std::size_t kMaxReportedLoads = 100;

[[nodiscard]] std::string EncodeLoadReport(const LoadReport& report);
// Returns kPeerRejected if `payload` is incomplete or malformed.
[[nodiscard]] Result<LoadReport> DecodeLoadReport(std::string_view payload);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_LOAD_LOAD_REPORT_CODEC_H_
