#include "carobshift/gateway/load/load_tracker.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};

constexpr Milliseconds kPeriod{200};

CallerRequest PromptRequest(Tokens own, Tokens output) {
  CallerRequest request;
  PromptTraits prompt;
  prompt.parts = {{"system", 500}, {"session", 8000}, {"own", own}};
  prompt.prompt_tokens = 8500 + own;
  prompt.max_output_tokens = output;
  request.prompt = prompt;
  return request;
}

TEST_CASE("shared parts count once for all requests that run with them") {
  LoadTracker load_tracker;
  const EndpointId engine("e1");
  const auto footprint = RequestFootprint::Of(PromptRequest(1000, 100));
  CHECK(footprint.own_tokens == 1100);
  CHECK(load_tracker.AddedTokens(engine, footprint) == Approx(9600));
  load_tracker.OnStart(engine, footprint, 1000);
  CHECK(load_tracker.AddedTokens(engine, footprint) == Approx(1100));
  load_tracker.OnStart(engine, footprint, 1000);
  CHECK(load_tracker.Total(engine).tokens == Approx(8500 + 2200));
  CHECK(load_tracker.Total(engine).prefill_tokens == Approx(2000));
  load_tracker.OnPrefillDone(engine, 1000);
  load_tracker.OnEnd(engine, footprint);
  CHECK(load_tracker.Total(engine).tokens == Approx(9600));
  CHECK(load_tracker.Total(engine).prefill_tokens == Approx(1000));
  load_tracker.OnPrefillDone(engine, 1000);
  load_tracker.OnEnd(engine, footprint);
  CHECK(load_tracker.Total(engine).tokens == Approx(0));
}

// Fails if long, less urgent prompts that fill an engine also keep short, more
// urgent ones out of it.
TEST_CASE("a request waits only for memory of routes that are as urgent") {
  LoadTracker load_tracker;
  const EndpointId engine("e1");
  RequestFootprint urgent = RequestFootprint::Of(PromptRequest(1000, 100));
  urgent.priority = 1;
  RequestFootprint summary;
  summary.own_tokens = 12'000;
  summary.priority = 2;
  load_tracker.OnStart(engine, urgent, 0);
  load_tracker.OnStart(engine, summary, 0);
  EndpointLoad peers{30'000, 3, 0, {}};
  peers.tokens_by_priority[2] = 24'000;
  load_tracker.OnPeerReport(
      {Incarnation(7), 1, Milliseconds(200), {{FastHash("e1"), peers}}},
      kStart);
  const EndpointLoad load = load_tracker.Total(engine);
  CHECK(load.tokens == Approx(9600 + 12'000 + 30'000));
  // Tokens without a level count as those of the most urgent requests.
  CHECK(load.TokensUpTo(0) == Approx(6000));
  CHECK(load.TokensUpTo(1) == Approx(6000 + 9600));
  CHECK(load.TokensUpTo(2) == Approx(load.tokens));
  CHECK(load.TokensUpTo(99) == Approx(load.tokens));
  load_tracker.OnEnd(engine, urgent);
  load_tracker.OnEnd(engine, summary);
  CHECK(load_tracker.Total(engine).TokensUpTo(1) == Approx(6000));
}

TEST_CASE("what a dead instance had running is forgotten") {
  LoadTracker load_tracker;
  const EndpointId engine("e1");
  LoadReport report{
      Incarnation(7), 1, Milliseconds(200), {{FastHash("e1"), {5000, 2, 300}}}};
  load_tracker.OnPeerReport(report, kStart);
  CHECK(load_tracker.Total(engine).tokens == Approx(5000));
  // An older report that arrives late is ignored.
  report.sequence = 0;
  report.loads.clear();
  load_tracker.OnPeerReport(report, kStart);
  CHECK(load_tracker.Total(engine).tokens == Approx(5000));
  load_tracker.Expire(kStart +
                      Milliseconds(200) * LoadTracker::kReportLifetimePeriods);
  CHECK(load_tracker.Total(engine).tokens == Approx(0));
}

TEST_CASE("what peers have running is the sum of their newest reports") {
  rc::prop("whatever order reports come and run out in", [] {
    struct Newest {
      LoadReport report;
      MonotonicTime at;
    };
    LoadTracker load_tracker;
    std::map<std::uint64_t, Newest> newest;
    MonotonicTime now = kStart;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      now += Milliseconds(*rc::gen::inRange(0, 300));
      LoadReport report;
      report.sender = Incarnation(*rc::gen::inRange<std::uint64_t>(1, 5));
      report.sequence = *rc::gen::inRange<std::uint64_t>(1, 20);
      report.period = kPeriod;
      for (const char* const id : {"e1", "e2", "e3"}) {
        if (*rc::gen::arbitrary<bool>())
          report.loads[FastHash(id)] = {
              static_cast<double>(*rc::gen::inRange(0, 9000)),
              static_cast<double>(*rc::gen::inRange(0, 9)), 0};
      }
      load_tracker.OnPeerReport(report, now);
      Newest& known = newest[report.sender.value()];
      if (report.sequence > known.report.sequence)
        known = {report, now};
      load_tracker.Expire(now);
      std::erase_if(newest, [now](const auto& entry) {
        return now - entry.second.at >=
               kPeriod * LoadTracker::kReportLifetimePeriods;
      });
      for (const char* const id : {"e1", "e2", "e3"}) {
        double tokens = 0;
        double requests = 0;
        for (const auto& [sender, of_peer] : newest) {
          const auto load = of_peer.report.loads.find(FastHash(id));
          if (load == of_peer.report.loads.end())
            continue;
          tokens += load->second.tokens;
          requests += load->second.requests;
        }
        RC_ASSERT(load_tracker.Total(EndpointId(id)).tokens == tokens);
        RC_ASSERT(load_tracker.Total(EndpointId(id)).requests == requests);
      }
    }
  });
}

}  // namespace
}  // namespace carobshift
