#include "carobshift/gateway/admission/account_usage_codec.h"

#include <algorithm>
#include <cstdint>

#include "carobshift/gateway/instances/datagram_archive.h"

namespace carobshift {
namespace {

bool IsValid(const AccountUsageReport& report) {
  if (report.usages.size() > AccountUsage::kMaxReportedAccounts ||
      report.period <= Milliseconds(0) || report.period > kMaxReportedPeriod)
    return false;
  // The comparison is false for a cost that is not a number.
  return std::all_of(report.usages.begin(), report.usages.end(),
                     [](const ReportedUsage& usage) {
                       return usage.cost >= 0 && usage.cost <= kMaxReportedCost;
                     });
}

}  // namespace

std::string EncodeAccountUsageReport(const AccountUsageReport& report) {
  return WriteDatagram([&](DatagramOutput& archive) {
    archive(report.sender.value(), report.sequence,
            static_cast<std::uint32_t>(report.period.count()),
            static_cast<std::uint16_t>(report.usages.size()));
    for (const ReportedUsage& usage : report.usages)
      archive(usage.account, usage.cost);
  });
}

Result<AccountUsageReport> DecodeAccountUsageReport(std::string_view payload) {
  auto decoded = ReadDatagram<AccountUsageReport>(
      payload, [](DatagramInput& archive, AccountUsageReport& report) {
        std::uint64_t sender = 0;
        std::uint32_t period = 0;
        std::uint16_t count = 0;
        archive(sender, report.sequence, period, count);
        report.sender = Incarnation(sender);
        report.period = Milliseconds(period);
        for (std::uint16_t i = 0; i < count; ++i) {
          ReportedUsage usage;
          archive(usage.account, usage.cost);
          report.usages.push_back(usage);
        }
      });
  if (decoded.ok() && !IsValid(decoded.value()))
    return Error{ResultCode::kPeerRejected, "account usage is out of range"};
  return decoded;
}

}  // namespace carobshift
