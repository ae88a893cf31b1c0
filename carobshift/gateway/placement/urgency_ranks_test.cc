#include "carobshift/gateway/placement/urgency_ranks.h"

#include <catch2/catch.hpp>
#include <string>

namespace carobshift {
namespace {

Route PromptRoute(const std::string& name, int priority) {
  Route route;
  route.name = name;
  route.prompts = true;
  route.priority = priority;
  return route;
}

Account AccountWith(const std::string& name, std::optional<int> priority) {
  Account account;
  account.name = AccountId(name);
  account.priority = priority;
  return account;
}

// Fails if an account's priority makes its questions as urgent as its
// summaries.
TEST_CASE("the account's priority takes precedence, then the route's") {
  ServingConfig config;
  config.routes = {PromptRoute("summary", 2), PromptRoute("question", 1)};
  config.accounts = {AccountWith("gold", 0), AccountWith("basic", 1)};
  const UrgencyRanks ranks(config);
  const auto of = [&](int route, int account) {
    return ranks.Of(config.routes[static_cast<std::size_t>(route)],
                    &config.accounts[static_cast<std::size_t>(account)]);
  };
  CHECK(of(1, 0) < of(0, 0));
  CHECK(of(0, 0) < of(1, 1));
  CHECK(of(1, 1) < of(0, 1));
}

TEST_CASE("without accounts the route's priority is the rank") {
  ServingConfig config;
  config.routes = {PromptRoute("summary", 2), PromptRoute("tag", 0)};
  const UrgencyRanks ranks(config);
  CHECK(ranks.Of(config.routes[1], nullptr) == 0);
  CHECK(ranks.Of(config.routes[0], nullptr) == 1);
}

// Fails if a rank exceeds what an engine accepts, which would make the least
// urgent requests equal to an unknown level.
TEST_CASE("more priorities than levels keep their order") {
  ServingConfig config;
  for (int i = 0; i < 30; ++i)
    config.routes.push_back(PromptRoute("r" + std::to_string(i), i));
  const UrgencyRanks ranks(config);
  int last = 0;
  for (const Route& route : config.routes) {
    const int rank = ranks.Of(route, nullptr);
    CHECK(rank >= last);
    last = rank;
  }
  CHECK(last == UrgencyRanks::kLevels - 1);
}

TEST_CASE("an unknown pair gets the level of the next more urgent one") {
  ServingConfig config;
  config.routes = {PromptRoute("tag", 1), PromptRoute("summary", 4)};
  const UrgencyRanks ranks(config);
  CHECK(ranks.Of(PromptRoute("new", 0), nullptr) == 0);
  CHECK(ranks.Of(PromptRoute("new", 3), nullptr) == 0);
  CHECK(ranks.Of(PromptRoute("new", 9), nullptr) == 1);
  CHECK(UrgencyRanks().Of(PromptRoute("any", 5), nullptr) == 0);
}

}  // namespace
}  // namespace carobshift
