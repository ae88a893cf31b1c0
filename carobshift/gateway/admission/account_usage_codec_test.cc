#include "carobshift/gateway/admission/account_usage_codec.h"

#include <catch2/catch.hpp>
#include <limits>

namespace carobshift {
namespace {

AccountUsageReport ReportOf(std::size_t accounts) {
  AccountUsageReport report{Incarnation(9), 3, Milliseconds(250), {}};
  for (std::size_t i = 0; i < accounts; ++i)
    report.usages.push_back({i + 1, 1000.5 / static_cast<double>(i + 1)});
  return report;
}

TEST_CASE("an account usage report round-trips") {
  const auto decoded =
      DecodeAccountUsageReport(EncodeAccountUsageReport(ReportOf(3)));
  REQUIRE(decoded.ok());
  CHECK(decoded.value().sender == Incarnation(9));
  CHECK(decoded.value().sequence == 3);
  CHECK(decoded.value().period == Milliseconds(250));
  REQUIRE(decoded.value().usages.size() == 3);
  CHECK(decoded.value().usages[0].account == 1);
  CHECK(decoded.value().usages[0].cost == 1000.5);
  CHECK(decoded.value().usages[2].account == 3);
  CHECK(decoded.value().usages[2].cost == 1000.5 / 3);
}

TEST_CASE("a truncated account usage report is rejected at any length") {
  const std::string payload = EncodeAccountUsageReport(ReportOf(2));
  for (std::size_t size = 0; size < payload.size(); ++size) {
    CAPTURE(size);
    CHECK_FALSE(DecodeAccountUsageReport(payload.substr(0, size)).ok());
  }
}

// One invalid cost would spoil the sums of an account until it expires, and an
// invalid period or number of accounts the bound on memory.
TEST_CASE("an account usage report with values out of range is rejected") {
  const auto accepts = [](const AccountUsageReport& report) {
    return DecodeAccountUsageReport(EncodeAccountUsageReport(report)).ok();
  };
  CHECK(accepts(ReportOf(AccountUsage::kMaxReportedAccounts)));
  CHECK_FALSE(accepts(ReportOf(AccountUsage::kMaxReportedAccounts + 1)));
  for (const double cost :
       {-1.0, kMaxReportedCost * 2, std::numeric_limits<double>::infinity(),
        std::numeric_limits<double>::quiet_NaN()}) {
    CAPTURE(cost);
    AccountUsageReport report = ReportOf(2);
    report.usages[1].cost = cost;
    CHECK_FALSE(accepts(report));
  }
  AccountUsageReport report = ReportOf(2);
  report.period = Milliseconds(0);
  CHECK_FALSE(accepts(report));
  report.period = kMaxReportedPeriod + Milliseconds(1);
  CHECK_FALSE(accepts(report));
}

TEST_CASE("the largest account usage report isn't fragmented by networks") {
  constexpr std::size_t kMaxPayloadBytes = 1200;
  CHECK(EncodeAccountUsageReport(ReportOf(AccountUsage::kMaxReportedAccounts))
            .size() <= kMaxPayloadBytes);
}

}  // namespace
}  // namespace carobshift
