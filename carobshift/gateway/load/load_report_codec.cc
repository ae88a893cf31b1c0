#include "carobshift/gateway/load/load_report_codec.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <sstream>
#include <vector>

#include "carobshift/gateway/load/endpoint_load_codec.h"

namespace carobshift {

std::string EncodeLoadReport(const LoadReport& report) {
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
      archive(endpoint);
      WriteEndpointLoad(archive, load);
    }
  }
  return out.str();
}

Result<LoadReport> DecodeLoadReport(std::string_view payload) {
  LoadReport report;
  try {
    std::istringstream in{std::string(payload)};
    cereal::PortableBinaryInputArchive archive(in);
    std::uint64_t sender = 0;
    std::uint32_t period = 0;
    std::uint16_t count = 0;
    archive(sender, report.sequence, period, count);
    report.sender = Incarnation(sender);
    report.period = Milliseconds(period);
    for (std::uint16_t i = 0; i < count; ++i) {
      std::uint64_t endpoint = 0;
      archive(endpoint);
      report.loads[endpoint] = ReadEndpointLoad(archive);
    }
  } catch (const std::exception& e) {
    return Error{ResultCode::kPeerRejected, e.what()};
  }
  return report;
}

}  // namespace carobshift
