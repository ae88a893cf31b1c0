#include "carobshift/gateway/load_report_codec.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <sstream>
#include <vector>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

constexpr std::size_t kMacBytes = 32;

}  // namespace

std::string EncodeLoadReport(const LoadReport& report,
                             const std::string& secret) {
  std::vector<std::pair<std::uint64_t, EndpointLoad>> loads(
      report.loads.begin(), report.loads.end());
  std::sort(loads.begin(), loads.end(), [](const auto& a, const auto& b) {
    return a.second.tokens > b.second.tokens;
  });
  if (loads.size() > kMaxReportedLoads)
    loads.resize(kMaxReportedLoads);
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(report.sender.value(), report.sequence,
            static_cast<std::uint32_t>(report.period.count()),
            static_cast<std::uint16_t>(loads.size()));
    for (const auto& [endpoint, load] : loads) {
      archive(endpoint, static_cast<std::uint32_t>(load.tokens),
              static_cast<std::uint16_t>(load.requests),
              static_cast<std::uint32_t>(std::max(0.0, load.unread)));
    }
  }
  const std::string body = out.str();
  return HmacSha256(secret, body) + body;
}

Result<LoadReport> DecodeLoadReport(std::string_view bytes,
                                    const std::string& secret) {
  if (bytes.size() <= kMacBytes ||
      !ConstantTimeEqual(bytes.substr(0, kMacBytes),
                         HmacSha256(secret, bytes.substr(kMacBytes))))
    return Error{ResultCode::kPeerRejected, "load report not authenticated"};
  LoadReport report;
  try {
    std::istringstream in(std::string(bytes.substr(kMacBytes)));
    cereal::PortableBinaryInputArchive archive(in);
    std::uint64_t sender = 0;
    std::uint32_t period = 0;
    std::uint16_t count = 0;
    archive(sender, report.sequence, period, count);
    report.sender = Incarnation(sender);
    report.period = Milliseconds(period);
    for (std::uint16_t i = 0; i < count; ++i) {
      std::uint64_t endpoint = 0;
      std::uint32_t tokens = 0;
      std::uint16_t requests = 0;
      std::uint32_t unread = 0;
      archive(endpoint, tokens, requests, unread);
      report.loads[endpoint] = {static_cast<double>(tokens),
                                static_cast<double>(requests),
                                static_cast<double>(unread)};
    }
  } catch (const std::exception& e) {
    return Error{ResultCode::kPeerRejected, e.what()};
  }
  return report;
}

}  // namespace carobshift
