#include "carobshift/gateway/request/request_resolver.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

ServingConfig Config() {
  ServingConfig config;
  Route route;
  route.host = "a.example";
  route.path_prefix = "/closed/";
  config.routes.push_back(route);
  route.path_prefix = "/open/";
  route.anonymous = true;
  config.routes.push_back(route);
  Account account;
  account.name = AccountId("north");
  account.keys = {"key"};
  config.accounts.push_back(account);
  return config;
}

CallerRequest RequestFor(const std::string& target, const std::string& key) {
  CallerRequest request;
  request.host = "a.example";
  request.target = target;
  request.key = key;
  return request;
}

TEST_CASE("a request is resolved to its route and its account") {
  const ServingConfigSnapshot config(Config());
  const auto resolved = ResolveRequest(&config, RequestFor("/closed/1", "key"));
  REQUIRE(resolved.ok());
  CHECK(resolved.value().route->path_prefix == "/closed/");
  CHECK(resolved.value().account->name == AccountId("north"));
}

TEST_CASE("a request without an account is rejected unless its route is open") {
  const ServingConfigSnapshot config(Config());
  for (const char* key : {"", "other"}) {
    CHECK(ResolveRequest(&config, RequestFor("/closed/1", key)).error().code ==
          ResultCode::kUnauthenticated);
    const auto open = ResolveRequest(&config, RequestFor("/open/1", key));
    REQUIRE(open.ok());
    CHECK(open.value().account == nullptr);
  }
}

TEST_CASE("without a configuration or a route a request is rejected") {
  const ServingConfigSnapshot config(Config());
  CHECK(ResolveRequest(nullptr, RequestFor("/open/1", "")).error().code ==
        ResultCode::kNoConfig);
  CHECK(ResolveRequest(&config, RequestFor("/none/1", "key")).error().code ==
        ResultCode::kUnknownRoute);
}

}  // namespace
}  // namespace carobshift
