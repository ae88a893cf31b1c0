#include "carobshift/gateway/load/load_report_codec.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

LoadReport ReportOf(std::size_t endpoints) {
  LoadReport report{Incarnation(9), 3, Milliseconds(200), {}};
  for (std::size_t i = 0; i < endpoints; ++i)
    report.loads[i + 1] = {static_cast<double>(i * 10), 2, 5};
  return report;
}

TEST_CASE("a load report round-trips") {
  const LoadReport report = ReportOf(3);
  const auto decoded = DecodeLoadReport(EncodeLoadReport(report));
  REQUIRE(decoded.ok());
  CHECK(decoded.value().sender == report.sender);
  CHECK(decoded.value().sequence == 3);
  CHECK(decoded.value().period == Milliseconds(200));
  REQUIRE(decoded.value().loads.size() == 3);
  CHECK(decoded.value().loads.at(3).tokens == Approx(20));
  CHECK(decoded.value().loads.at(3).prefill_tokens == Approx(5));
}

TEST_CASE("the memory of each priority is reported") {
  LoadReport report = ReportOf(1);
  report.loads[1] = {5000, 2, 5, {}};
  report.loads[1].tokens_by_priority[2] = 4000;
  const auto decoded = DecodeLoadReport(EncodeLoadReport(report));
  REQUIRE(decoded.ok());
  CHECK(decoded.value().loads.at(1).TokensUpTo(1) == Approx(1000));
  CHECK(decoded.value().loads.at(1).TokensUpTo(2) == Approx(5000));
}

TEST_CASE("the heaviest endpoints are reported when not all fit") {
  const auto decoded =
      DecodeLoadReport(EncodeLoadReport(ReportOf(kMaxReportedLoads + 50)));
  REQUIRE(decoded.ok());
  CHECK(decoded.value().loads.size() == kMaxReportedLoads);
  CHECK(decoded.value().loads.contains(kMaxReportedLoads + 50));
  CHECK_FALSE(decoded.value().loads.contains(1));
}

TEST_CASE("a report that was cut off is refused") {
  const std::string payload = EncodeLoadReport(ReportOf(2));
  CHECK_FALSE(DecodeLoadReport("").ok());
  CHECK_FALSE(DecodeLoadReport(payload.substr(0, payload.size() - 1)).ok());
}

}  // namespace
}  // namespace carobshift
