// Load reports between instances, as datagrams with an authentication code.
//
//   std::string bytes = EncodeLoadReport(report, secret);
//   Result<LoadReport> report = DecodeLoadReport(bytes, secret);

#ifndef CAROBSHIFT_GATEWAY_LOAD_REPORT_CODEC_H_
#define CAROBSHIFT_GATEWAY_LOAD_REPORT_CODEC_H_

#include <string>
#include <string_view>

#include "carobshift/base/result.h"
#include "carobshift/gateway/load_book.h"

namespace carobshift {

// The heaviest endpoints first, as many as fit into one datagram.
inline constexpr std::size_t kMaxReportedLoads = 100;

[[nodiscard]] std::string EncodeLoadReport(const LoadReport& report,
                                           const std::string& secret);
// kPeerRejected for anything else than a whole report under the same secret.
[[nodiscard]] Result<LoadReport> DecodeLoadReport(std::string_view bytes,
                                                  const std::string& secret);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_LOAD_REPORT_CODEC_H_
