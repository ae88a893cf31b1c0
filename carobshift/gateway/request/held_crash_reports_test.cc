#include "carobshift/gateway/request/held_crash_reports.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};
const ServiceName kEngines("engines");

HeldCrashReport ReportOf(const std::string& run) {
  return {RequestFingerprint(7), run, kEngines};
}

TEST_CASE("a broken run is announced soon while the paths work") {
  HeldCrashReports held;
  held.Add(ReportOf("r.1"), kStart);
  const auto reached = [](const ServiceName&) { return ServiceLoss::kNone; };
  CHECK(held.Settle(reached, kStart).to_announce.empty());
  const auto settled = held.Settle(reached, kStart + HeldCrashReports::kHold);
  REQUIRE(settled.to_announce.size() == 1);
  CHECK(settled.to_announce[0].run == "r.1");
  CHECK(settled.to_withdraw.empty());
  CHECK(held.empty());
}

// Guards against requests that all instances refuse because one of these lost
// its paths.
TEST_CASE("runs that broke with this instance's paths aren't announced") {
  HeldCrashReports held;
  held.Add(ReportOf("r.1"), kStart);
  held.Add(ReportOf("s.1"), kStart);
  const auto lost = [](const ServiceName&) { return ServiceLoss::kOwnPaths; };
  const auto early = held.Settle(lost, kStart + HeldCrashReports::kHold);
  CHECK(early.to_announce.empty());
  CHECK(early.to_withdraw.empty());
  const auto settled = held.Settle(lost, kStart + HeldCrashReports::kLossHold);
  CHECK(settled.to_announce.empty());
  CHECK(settled.to_withdraw.size() == 2);
  CHECK(held.empty());
}

// Guards against a request that crashes all endpoints of a service unnoticed.
TEST_CASE("runs that broke with the paths of all instances are announced") {
  HeldCrashReports held;
  held.Add(ReportOf("r.1"), kStart);
  const auto lost = [](const ServiceName&) { return ServiceLoss::kEverywhere; };
  const auto settled = held.Settle(lost, kStart + HeldCrashReports::kLossHold);
  CHECK(settled.to_announce.size() == 1);
  CHECK(settled.to_withdraw.empty());
}

}  // namespace
}  // namespace carobshift
