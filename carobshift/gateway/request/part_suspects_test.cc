#include "carobshift/gateway/request/part_suspects.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(1000)};
const PartDigest kBad(1);
const PartDigest kSound(2);
const PartDigest kOther(3);

IncarnationDigest Endpoint(std::uint64_t number) {
  return IncarnationDigest(number);
}

// A crash of an endpoint under runs with these parts, each sent `after` before.
PartCrash CrashOf(std::uint64_t endpoint,
                  MonotonicTime at,
                  const std::vector<PartDigest>& parts,
                  Milliseconds after = Milliseconds(100)) {
  PartCrash crash{Endpoint(endpoint), at, {}};
  for (const PartDigest part : parts)
    crash.runs.push_back({part, at - after});
  return crash;
}

// Lets endpoints crash under these parts, one each half second. Returns when
// the part is refused.
MonotonicTime CrashInSequence(PartSuspects& suspects,
                              const std::vector<PartDigest>& parts,
                              int crashes = PartSuspects::kCrashesToRefuse) {
  MonotonicTime now = kStart;
  for (int i = 0; i < crashes; ++i) {
    suspects.OnCrash(CrashOf(static_cast<std::uint64_t>(i), now, parts), now);
    now += Milliseconds(500);
  }
  return now;
}

TEST_CASE("the judged parts of a prompt leave out the last, and doubles") {
  const ServiceName service("engines");
  PromptTraits prompt;
  CHECK(JudgedParts(service, prompt).empty());
  prompt.parts = {{"last", 1}};
  CHECK(JudgedParts(service, prompt).empty());
  prompt.parts = {{"a", 1}, {"b", 1}, {"a", 1}, {"last", 1}};
  CHECK(JudgedParts(service, prompt).size() == 2);
  // The same id at another service is another part.
  CHECK(JudgedParts(ServiceName("others"), prompt).front() !=
        JudgedParts(service, prompt).front());
  prompt.parts.clear();
  for (int i = 0; i < 200; ++i)
    prompt.parts.push_back({std::to_string(i), 1});
  CHECK(JudgedParts(service, prompt).size() == kMaxJudgedParts);
}

TEST_CASE("a part is refused after three crashes in sequence") {
  PartSuspects suspects;
  const MonotonicTime two = CrashInSequence(suspects, {kBad}, 2);
  CHECK(suspects.Decide({kBad}, two) == PartDecision::kRun);
  const MonotonicTime now = CrashInSequence(suspects, {kBad});
  CHECK(suspects.Decide({kOther, kBad}, now) == PartDecision::kRefuse);
  CHECK(suspects.Decide({kOther}, now) == PartDecision::kRun);
  const auto verdicts = suspects.TakeVerdicts();
  REQUIRE(verdicts.size() == 1);
  CHECK(verdicts.front().part == kBad);
  CHECK(suspects.TakeVerdicts().empty());
}

// Guards against a dead endpoint that counts once for each run that it had.
TEST_CASE("one endpoint's end is one crash, whoever reports it") {
  PartSuspects suspects;
  for (int report = 0; report < 20; ++report) {
    suspects.OnCrash(CrashOf(1, kStart + Milliseconds(report), {kBad}),
                     kStart + Milliseconds(report));
  }
  suspects.OnTick(kStart + Seconds(5));
  CHECK(suspects.refuses_none());
}

// Guards against parts that are refused since a third of the endpoints has
// failed together.
TEST_CASE("endpoints that fail together are no sequence") {
  PartSuspects suspects;
  for (std::uint64_t i = 0; i < 40; ++i) {
    suspects.OnCrash(
        CrashOf(i, kStart + Milliseconds(2 * i), {kSound}, Milliseconds(1000)),
        kStart + Milliseconds(2 * i));
  }
  suspects.OnTick(kStart + Seconds(5));
  CHECK(suspects.refuses_none());
}

// Guards against a popular part that is refused for being everywhere.
TEST_CASE("an answer clears a part") {
  PartSuspects suspects;
  MonotonicTime now = kStart;
  for (std::uint64_t i = 0; i < 20; ++i) {
    suspects.OnCrash(CrashOf(i, now, {kBad, kSound}), now);
    suspects.OnAnswer({kSound}, now + Milliseconds(10));
    now += Milliseconds(500);
  }
  CHECK(suspects.Decide({kSound}, now) == PartDecision::kRun);
  CHECK(suspects.Decide({kBad}, now) != PartDecision::kRun);
}

// Guards against a part that is cleared by what it did before it crashed
// endpoints.
TEST_CASE("an answer to a run that was sent before the crash clears nothing") {
  PartSuspects suspects;
  CrashInSequence(suspects, {kBad}, 2);
  suspects.OnAnswer({kBad}, kStart - Milliseconds(1));
  suspects.OnCrash(CrashOf(9, kStart + Seconds(2), {kBad}),
                   kStart + Seconds(2));
  CHECK(suspects.Decide({kBad}, kStart + Seconds(2)) == PartDecision::kRefuse);
}

// Guards against a sound part that was hit three times among many crashes.
TEST_CASE("a part that was there in few of the crashes is not refused") {
  PartSuspects suspects;
  MonotonicTime now = kStart;
  for (std::uint64_t i = 0; i < 12; ++i) {
    const bool hit = i % 4 == 0;
    suspects.OnCrash(CrashOf(i, now,
                             hit ? std::vector<PartDigest>{kBad, kSound}
                                 : std::vector<PartDigest>{kBad}),
                     now);
    now += Milliseconds(400);
  }
  suspects.OnTick(now);
  CHECK(suspects.Decide({kBad}, now) != PartDecision::kRun);
  CHECK(suspects.Decide({kSound}, now) == PartDecision::kRun);
}

// Guards against a sound part that stays refused, since nothing with it runs.
TEST_CASE("a probe clears a sound part and confirms the other one") {
  PartSuspects suspects;
  MonotonicTime now = CrashInSequence(suspects, {kBad, kSound});
  CHECK(suspects.Decide({kSound}, now) == PartDecision::kRefuse);
  now += PartSuspects::kFirstProbeDelay;
  // Two refused parts together would tell nothing.
  CHECK(suspects.Decide({kBad, kSound}, now) == PartDecision::kRefuse);
  REQUIRE(suspects.Decide({kSound}, now) == PartDecision::kProbe);
  suspects.OnProbe({kSound}, now);
  CHECK(suspects.Decide({kSound}, now) == PartDecision::kRefuse);
  suspects.OnAnswer({kSound}, now);
  CHECK(suspects.Decide({kSound}, now) == PartDecision::kRun);

  REQUIRE(suspects.Decide({kBad}, now) == PartDecision::kProbe);
  suspects.OnProbe({kBad}, now);
  suspects.OnCrash(
      CrashOf(50, now + Milliseconds(300), {kBad}, Milliseconds(300)),
      now + Milliseconds(300));
  REQUIRE(suspects.Reports().size() == 1);
  CHECK(suspects.Reports().front().state == PartState::kConfirmed);
}

// Guards against a crashing part that is tried again and again.
TEST_CASE("a part gets few probes, at its first owner only") {
  PartSuspects suspects;
  std::size_t rank = 1;
  suspects.SetOwnerRank([&rank](PartDigest) { return rank; });
  MonotonicTime now = CrashInSequence(suspects, {kBad});
  now += PartSuspects::kFirstProbeDelay;
  CHECK(suspects.Decide({kBad}, now) == PartDecision::kRefuse);
  rank = 0;
  int probes = 0;
  for (const MonotonicTime end = now + Seconds(500); now < end;
       now += Milliseconds(500)) {
    suspects.OnTick(now);
    if (suspects.Decide({kBad}, now) != PartDecision::kProbe)
      continue;
    ++probes;
    suspects.OnProbe({kBad}, now);
    suspects.OnCrash(CrashOf(100 + static_cast<std::uint64_t>(probes), now,
                             {kBad}, Milliseconds(0)),
                     now);
  }
  CHECK(probes == PartSuspects::kMaxProbes);
}

TEST_CASE("a refused part is tried again after the refusal time") {
  PartSuspects suspects;
  const MonotonicTime now = CrashInSequence(suspects, {kBad});
  suspects.OnTick(now + PartSuspects::kRefusalTime);
  CHECK(suspects.Decide({kBad}, now + PartSuspects::kRefusalTime) ==
        PartDecision::kRun);
  CHECK(suspects.Reports().empty());
}

TEST_CASE("another instance's verdicts are applied") {
  PartSuspects first;
  const MonotonicTime now = CrashInSequence(first, {kBad});
  const auto verdicts = first.TakeVerdicts();
  REQUIRE(verdicts.size() == 1);
  PartSuspects second;
  CHECK(second.OnPeerVerdict(verdicts.front()));
  CHECK(second.Decide({kBad}, now) == PartDecision::kRefuse);
  CHECK_FALSE(second.OnPeerVerdict(verdicts.front()));
  PartVerdict cleared{.part = kBad, .refused = false};
  cleared.sent = now;
  CHECK(second.OnPeerVerdict(cleared));
  CHECK(second.Decide({kBad}, now) == PartDecision::kRun);
}

// Guards against an instance whose incomplete view has a sound part refused
// everywhere.
TEST_CASE("an instance that has seen an answer contradicts a refusal") {
  PartSuspects first;
  const MonotonicTime now = CrashInSequence(first, {kSound});
  PartSuspects second;
  second.OnAnswer({kSound}, kStart + Milliseconds(700));
  CHECK_FALSE(second.OnPeerVerdict(first.TakeVerdicts().front()));
  CHECK(second.Decide({kSound}, now) == PartDecision::kRun);
  const auto answer = second.TakeVerdicts();
  REQUIRE(answer.size() == 1);
  CHECK(first.OnPeerVerdict(answer.front()));
  CHECK(first.Decide({kSound}, now) == PartDecision::kRun);
}

// Guards against a refused part that is forgotten for many that are harmless.
TEST_CASE("refused parts outlast a flood of others") {
  PartSuspects suspects;
  const MonotonicTime now = CrashInSequence(suspects, {kBad});
  for (std::uint64_t i = 0; i < 2 * PartSuspects::kMaxRecords; ++i) {
    suspects.OnCrash(CrashOf(1000 + i, now, {PartDigest(100 + i)}), now);
    suspects.OnAnswer({PartDigest(1'000'000 + i)}, now);
  }
  CHECK(suspects.Decide({kBad}, now) == PartDecision::kRefuse);
  CHECK(suspects.Reports().size() <= PartSuspects::kMaxRecords);
}

TEST_CASE("of several runs with a part the last one is kept") {
  std::vector<PartRun> runs = {{kBad, kStart},
                               {kSound, kStart},
                               {kBad, kStart + Milliseconds(5)},
                               {kBad, kStart + Milliseconds(2)}};
  KeepLatestRuns(runs);
  REQUIRE(runs.size() == 2);
  CHECK(runs.front().part == kBad);
  CHECK(runs.front().sent == kStart + Milliseconds(5));
}

}  // namespace
}  // namespace carobshift
