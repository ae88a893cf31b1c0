// What HttpFetch holds of replies without end, for one call and in sum.

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/net/http_fetch.h"
#include "carobshift/net/http_test_calls.h"
#include "carobshift/net/loopback_server.h"

namespace carobshift {
namespace {

constexpr std::size_t kMiB = std::size_t{1} << 20;

struct Fetches {
  explicit Fetches(std::size_t body_size) : body(body_size, 'x') {}

  void Start(int count, const FetchOptions& options) {
    for (int i = 0; i < count; ++i) {
      fetches.push_back(std::make_unique<HttpFetch>());
      fetches.back()->Start(client, loop, server.address(), Get("/"), options,
                            [this](const FetchOutcome& outcome) {
                              most_held = std::max(most_held, budget.held());
                              outcomes.push_back(outcome);
                            });
    }
    const std::size_t all = fetches.size();
    RunUntil(loop, [this, all] { return outcomes.size() == all; });
  }
  [[nodiscard]] int Whole() const {
    int whole = 0;
    for (const FetchOutcome& outcome : outcomes)
      whole += outcome.status && outcome.body == body ? 1 : 0;
    return whole;
  }

  EventLoop loop;
  std::string body;
  LoopbackServer server{loop, [this](auto& connection, const auto&) {
                          connection.SendCompleteReply(ReplyHead(200), body);
                        }};
  ByteBudget budget{4 * kMiB};
  HttpClient client{loop, {.tcp = {}, .reply_budget = &budget}};
  std::vector<std::unique_ptr<HttpFetch>> fetches;
  std::vector<FetchOutcome> outcomes;
  std::size_t most_held = 0;
};

TEST_CASE("a reply longer than its call may hold fails like a broken one") {
  FetchOptions options;
  options.max_body = 1000;
  Fetches fetches(GENERATE(1000, 1001, 100'000));
  fetches.Start(1, options);
  const FetchOutcome& outcome = fetches.outcomes.at(0);
  const bool whole = fetches.body.size() == 1000;
  CHECK(outcome.status.has_value() == whole);
  CHECK(outcome.sent);
  CHECK(outcome.reason == (whole ? "" : "reply too large"));
  CHECK(fetches.budget.held() == 0);
}

// Guards against an instance that runs out of memory although no reply is too
// long.
TEST_CASE("many replies at once hold no more than the budget in sum") {
  FetchOptions options;
  options.max_body = kMiB;
  options.importance =
      GENERATE(ByteImportance::kOptional, ByteImportance::kRequired);
  Fetches fetches(kMiB);
  fetches.Start(40, options);
  CHECK(fetches.most_held <= 4 * kMiB);
  CHECK(fetches.Whole() >= 1);
  for (const FetchOutcome& outcome : fetches.outcomes)
    CHECK((outcome.status || outcome.reason == "replies over budget"));
  CHECK(fetches.budget.held() == 0);
}

TEST_CASE("a call that was given up holds nothing and the next one works") {
  FetchOptions options;
  options.max_body = 1000;
  Fetches fetches(1001);
  fetches.Start(1, options);
  fetches.body.resize(1000);
  std::optional<FetchOutcome> next;
  fetches.fetches[0]->Start(
      fetches.client, fetches.loop, fetches.server.address(), Get("/"), options,
      [&next](const FetchOutcome& outcome) { next = outcome; });
  RunUntil(fetches.loop, [&next] { return next.has_value(); });
  CHECK(next->body == fetches.body);
}

TEST_CASE("a call that is cancelled gives its bytes back") {
  EventLoop loop;
  ReplyPace pace{.pieces = 2, .pause = Milliseconds(60'000)};
  LoopbackServer server(loop, [&](auto& connection, const auto&) {
    SendSlowly(loop, connection, ReplyHead(200), std::string(2000, 'x'), pace);
  });
  ByteBudget budget(kMiB);
  HttpClient client(loop, {.tcp = {}, .reply_budget = &budget});
  HttpFetch fetch;
  fetch.Start(client, loop, server.address(), Get("/"), {},
              [](const FetchOutcome&) {});
  RunUntil(loop, [&fetch] { return fetch.receiving(); });
  CHECK(budget.held() >= 1000);
  fetch.Cancel();
  CHECK(budget.held() == 0);
}

}  // namespace
}  // namespace carobshift
