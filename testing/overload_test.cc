// Responses of real processes to callers while the service is overloaded.

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "testing/caller.h"
#include "testing/cluster.h"

namespace carobshift {
namespace {

constexpr int kHotThreads = 60;
constexpr int kSmallCalls = 12;

struct TimedOutcome {
  CompletionOutcome outcome;
  Microseconds taken{0};
};

TimedOutcome Ask(Caller& caller, const CompletionCall& call) {
  const MonotonicTime begin = MonotonicNow();
  TimedOutcome timed{caller.Complete(call), {}};
  timed.taken = MonotonicNow() - begin;
  return timed;
}

// A client account that sends as much as it can to all entries and retries
// after 50 ms, ignoring Retry-After.
class HotCallers {
 public:
  explicit HotCallers(const std::vector<NetAddress>& entries) {
    for (int i = 0; i < kHotThreads; ++i)
      threads_.emplace_back([this, entries, i] { Run(entries, i); });
  }
  ~HotCallers() { Stop(); }

  void Stop() {
    stopping_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable())
        thread.join();
    }
  }
  // After 30 rejections the service is saturated and has measured its service
  // rate.
  [[nodiscard]] bool ManyRefused() const { return refused_ >= 30; }
  [[nodiscard]] const std::vector<TimedOutcome>& outcomes() const {
    return outcomes_;
  }

 private:
  void Run(std::vector<NetAddress> entries, int number) {
    std::rotate(entries.begin(), entries.begin() + number % 3, entries.end());
    Caller caller(entries, kOtherAccountKey);
    for (int call = 0; !stopping_; ++call) {
      TimedOutcome timed =
          Ask(caller, {.prompt = "hot " + std::to_string(number * 1000 + call),
                       .max_tokens = 48});
      refused_ += timed.outcome.error.is_object() ? 1 : 0;
      {
        const std::lock_guard lock(mutex_);
        outcomes_.push_back(std::move(timed));
      }
      (void)WaitUntil([&] { return stopping_.load(); }, Milliseconds(50));
    }
  }

  std::atomic<bool> stopping_{false};
  std::atomic<int> refused_{0};
  std::mutex mutex_;
  std::vector<TimedOutcome> outcomes_;
  std::vector<std::thread> threads_;
};

Microseconds Median(std::vector<Microseconds> times) {
  std::ranges::sort(times);
  return times.at(times.size() / 2);
}

std::vector<Microseconds> FirstTokensOfSmallAccount(
    const std::vector<NetAddress>& entries,
    const std::string& name) {
  std::vector<Microseconds> times;
  for (int i = 0; i < kSmallCalls; ++i) {
    std::vector<NetAddress> rotated = entries;
    std::rotate(rotated.begin(), rotated.begin() + i % 3, rotated.end());
    Caller caller(rotated, kAccountKey);
    const CompletionOutcome outcome =
        caller.Complete({.prompt = name + std::to_string(i), .max_tokens = 4});
    INFO(outcome.error.dump());
    CHECK(outcome.complete);
    times.push_back(outcome.first_token);
  }
  return times;
}

}  // namespace

// Guards against one client account starving the others: it sends far more than
// the engines can serve and ignores Retry-After. With first-come, first-served
// order, every other account would wait behind its backlog until its requests
// time out.
TEST_CASE("a hot account is refused in time and a small one keeps its pace") {
  Cluster cluster({.entries = 3,
                   .engines = 2,
                   .engine_flags = {"--step-us=30000", "--max-running=8"}});
  const auto entries = cluster.EntryAddresses();
  const Microseconds quiet =
      Median(FirstTokensOfSmallAccount(entries, "quiet "));

  HotCallers hot(entries);
  REQUIRE(WaitUntil([&] { return hot.ManyRefused(); }, Milliseconds(20000)));
  const Microseconds busy = Median(FirstTokensOfSmallAccount(entries, "busy "));
  hot.Stop();

  std::vector<Microseconds> hot_first_tokens;
  std::vector<Microseconds> refused_after;
  for (const TimedOutcome& timed : hot.outcomes()) {
    const CompletionOutcome& outcome = timed.outcome;
    REQUIRE(outcome.CompleteOrTypedError());
    if (outcome.complete) {
      hot_first_tokens.push_back(outcome.first_token);
      continue;
    }
    INFO(outcome.error.dump());
    CHECK(outcome.status == 429);
    CHECK(outcome.error.at("state") == "not_run");
    CHECK(outcome.error.at("retry_after_ms").get<int>() >= 500);
    refused_after.push_back(timed.taken);
  }
  INFO("quiet " << quiet.count() << " us, busy " << busy.count()
                << " us, hot account " << Median(hot_first_tokens).count()
                << " us, refused " << refused_after.size() << " of "
                << hot.outcomes().size() << " after "
                << Median(refused_after).count() << " us, at most "
                << std::ranges::max(refused_after).count() << " us");
  // The small account waits for one slot and one prefill; the hot account waits
  // in its own queue.
  CHECK(busy < quiet + Milliseconds(900));
  CHECK(busy * 2 < Median(hot_first_tokens));
  // A rejection comes on arrival, or at the end of the maximum wait of two
  // seconds.
  CHECK(std::ranges::min(refused_after) < Milliseconds(300));
  CHECK(std::ranges::max(refused_after) < Milliseconds(3000));
  // The state dump shows the load figures behind a rejection.
  CHECK(cluster.State(0).at("load").at("services").contains(kModelService));
}

}  // namespace carobshift
