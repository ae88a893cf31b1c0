#include "carobshift/config/declaration_diff.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

Declaration Base() {
  Declaration declaration;
  ServiceSpec& review = declaration.services.emplace_back();
  review.name = ServiceName("review");
  review.pool = PoolName("gpu");
  review.replicas = 3;
  review.floor = 2;
  review.model = ModelName("m");
  review.weights = WeightVersion("1");
  AccountSpec& north = declaration.accounts.emplace_back();
  north.id = AccountId("north");
  north.key_sha256 = {"aa"};
  return declaration;
}

}  // namespace

TEST_CASE("an edit without effect has nothing to say") {
  CHECK(DescribeChanges(Base(), Base()).empty());
}

TEST_CASE("each change is said with its effect") {
  Declaration after = Base();
  after.services[0].weights = WeightVersion("2");
  after.services[0].replicas = 5;
  after.accounts[0].key_sha256 = {"bb"};
  after.accounts.emplace_back().id = AccountId("south");
  const auto lines = DescribeChanges(Base(), after);
  REQUIRE(lines.size() == 5);
  CHECK(lines[0].find("swap of weights from m 1 to m 2 on 5 replicas, at most "
                      "two at once and never fewer than 2") !=
        std::string::npos);
  CHECK(lines[1] ==
        "service review: replicas from 3 to 5; 2 more endpoints are started");
  CHECK(lines[2].find("1 keys removed") != std::string::npos);
  CHECK(lines[3] == "account north: 1 keys added");
  CHECK(lines[4] == "account south added with 0 keys");
}

TEST_CASE("what goes away is said") {
  Declaration after;
  const auto lines = DescribeChanges(Base(), after);
  REQUIRE(lines.size() == 2);
  CHECK(lines[0].find("service review removed") == 0);
  CHECK(lines[1] == "account north removed: its keys are refused");
}

}  // namespace carobshift
