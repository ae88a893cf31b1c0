// The small decisions of the gateway, each by itself.

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "carobshift/gateway/address_choice.h"
#include "carobshift/gateway/cache_contents.h"
#include "carobshift/gateway/crash_record.h"
#include "carobshift/gateway/endpoint_health.h"
#include "carobshift/gateway/endpoint_registry.h"
#include "carobshift/gateway/event_splitter.h"
#include "carobshift/gateway/load_book.h"
#include "carobshift/gateway/placement.h"
#include "carobshift/gateway/retry_allowance.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/gateway/weight_rollout.h"

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};
const ServiceName kEngines("engines");

Route RouteOf(std::string host, std::string prefix) {
  Route route;
  route.name = host + prefix;
  route.host = std::move(host);
  route.path_prefix = std::move(prefix);
  route.services = {{kEngines, 1}};
  return route;
}

EndpointRecord RecordOf(const std::string& id) {
  EndpointRecord record;
  record.id = EndpointId(id);
  record.service = kEngines;
  record.address = {"10.0.0.1", 80};
  return record;
}

std::vector<RolloutEngine> Engines(int count, std::uint64_t weights) {
  std::vector<RolloutEngine> engines;
  for (int i = 0; i < count; ++i) {
    engines.push_back({EndpointId("e" + std::to_string(i)), ModelName("m"),
                       WeightNumber(weights)});
  }
  return engines;
}

TEST_CASE("the longest prefix of the host's routes wins") {
  const std::vector<Route> routes = {RouteOf("a.example", "/x/"),
                                     RouteOf("a.example", "/x/y/"),
                                     RouteOf("b.example", "/")};
  const PrefixTable table(routes);
  CHECK(table.Find("a.example", "/x/y/z")->path_prefix == "/x/y/");
  CHECK(table.Find("A.Example:80", "/x/q?r=/x/y/")->path_prefix == "/x/");
  CHECK(table.Find("a.example", "/xy/") == nullptr);
  CHECK(table.Find("b.example", "/x/y/z")->path_prefix == "/");
  CHECK(table.Find("c.example", "/x/") == nullptr);
}

TEST_CASE("split traffic goes to services by their weights") {
  Route route = RouteOf("a", "/");
  route.services = {{ServiceName("old"), 90}, {ServiceName("new"), 10}};
  std::map<ServiceName, int> counts;
  for (int i = 0; i < 10000; ++i)
    ++counts[ChooseService(route, PlacementHash(std::to_string(i)))];
  CHECK(counts[ServiceName("new")] == Approx(1000).margin(150));
}

TEST_CASE("an entry that ran out during an outage stays until it may be back") {
  // The log was away for longer than three heartbeats, and all entries ran out.
  // The endpoints live; taken for gone, callers would be refused for a second
  // or two just as the log returns.
  EndpointRegistry registry;
  registry.Put(RecordOf("e1"), kStart);
  registry.Remove(EndpointId("e1"), RemovalCause::kRanOutDuringOutage, kStart);
  CHECK(registry.Find(EndpointId("e1")) != nullptr);
  SECTION("and is gone if it doesn't come back") {
    registry.Expire(kStart + EndpointRegistry::kReturnGrace);
    CHECK(registry.Find(EndpointId("e1")) == nullptr);
  }
  SECTION("and stays if it does") {
    registry.Put(RecordOf("e1"), kStart + Milliseconds(500));
    registry.Expire(kStart + EndpointRegistry::kReturnGrace);
    CHECK(registry.Find(EndpointId("e1")) != nullptr);
  }
}

TEST_CASE("an announced departure counts at once") {
  EndpointRegistry registry;
  registry.Put(RecordOf("e1"), kStart);
  const auto before = registry.revision();
  CHECK(registry.Remove(EndpointId("e1"), RemovalCause::kAnnounced, kStart));
  CHECK(registry.all().empty());
  CHECK(registry.revision() > before);
}

TEST_CASE("an endpoint that fails is left out for longer each time") {
  EndpointHealthBook health;
  const EndpointId id("e1");
  MonotonicTime now = kStart;
  health.OnTrouble(id, EndpointTrouble::kNotConnected, now);
  CHECK(health.Avoided(id, now));
  CHECK(health.AvoidedFor(id, now) == EndpointHealthBook::kFirstPause);
  // Requests that were under way together fail together.
  health.OnTrouble(id, EndpointTrouble::kNotConnected, now);
  CHECK(health.AvoidedFor(id, now) == EndpointHealthBook::kFirstPause);
  now += EndpointHealthBook::kFirstPause;
  CHECK_FALSE(health.Avoided(id, now));
  // One request tries it; others wait for its outcome.
  health.OnStart(id);
  CHECK(health.Avoided(id, now));
  health.OnTrouble(id, EndpointTrouble::kNotConnected, now);
  health.OnEnd(id);
  CHECK(health.AvoidedFor(id, now) == 2 * EndpointHealthBook::kFirstPause);
  health.OnAnswer(id);
  now += EndpointHealthBook::kLongestPause;
  CHECK_FALSE(health.Avoided(id, now));
}

TEST_CASE("an address that another endpoint has taken is left at once") {
  // An endpoint has died and its address was given to another service, while
  // its entry still stands for some seconds. Every request sent there is
  // refused and sent again elsewhere; together they would use up the repeats
  // allowed.
  EndpointHealthBook health;
  const EndpointId id("e1");
  health.OnTrouble(id, EndpointTrouble::kReplaced, kStart);
  CHECK(health.AvoidedFor(id, kStart) == EndpointHealthBook::kLongestPause);
}

TEST_CASE(
    "a request that takes down its endpoints is refused at the fourth try") {
  // One dossier makes each engine that reads it crash, and its caller sends it
  // again at other instances, under other ids. They tell each other; two runs
  // elsewhere and one here are three.
  CrashRecord record;
  CallerRequest request;
  request.target = "/review/1";
  request.body = "poison";
  const auto fingerprint = FingerprintOf(request, AccountId("north"));
  CHECK(fingerprint != FingerprintOf(request, AccountId("south")));
  for (const char* run : {"r1.1", "r2.1"}) {
    const auto told = ReadCrash(DescribeCrash(fingerprint, run));
    REQUIRE(told.has_value());
    record.OnBroken(told->fingerprint, told->run, kStart);
    record.OnBroken(told->fingerprint, told->run, kStart);
  }
  CHECK_FALSE(record.Refuses(fingerprint, kStart));
  record.OnBroken(fingerprint, "r3.1", kStart);
  CHECK(record.Refuses(fingerprint, kStart));
  CHECK_FALSE(record.Refuses(fingerprint, kStart + CrashRecord::kRefusal));
  CHECK_FALSE(ReadCrash("nonsense").has_value());
}

TEST_CASE("a popular request that was there when endpoints died stays served") {
  CrashRecord record;
  const RequestFingerprint fingerprint(7);
  record.OnBroken(fingerprint, "r1.1", kStart);
  record.OnBroken(fingerprint, "r2.1", kStart);
  record.OnCompleted(fingerprint);
  record.OnBroken(fingerprint, "r3.1", kStart);
  CHECK_FALSE(record.Refuses(fingerprint, kStart));
}

TEST_CASE("an order that had no answer is given again soon") {
  // The engine lost the order's answer, or will carry it out in ten seconds.
  // Waiting for it would leave callers on old weights for that long.
  WeightRollout rollout({});
  rollout.SetTarget(ModelName("m"), WeightNumber(2));
  const auto engines = Engines(1, 1);
  MonotonicTime now = kStart;
  int orders = 0;
  while (orders < 2 && now < kStart + Seconds(5)) {
    for (const auto& step : rollout.Next(engines, now)) {
      if (step.kind != RolloutStepKind::kOrder)
        continue;
      ++orders;
      rollout.OnOrderFailed(step.endpoint, Milliseconds(500), now);
    }
    now += Milliseconds(100);
  }
  CHECK(orders == 2);
  CHECK(now - kStart < Seconds(2));
}

TEST_CASE("repeats of all instances together stay within what is allowed") {
  // A third of the endpoints fails, and every instance sends its failed
  // requests again. Each keeps to its part by itself; together they stay below
  // what the platform allows in any ten seconds.
  const RetryLimits limits{
      .share = 0.2, .extra = 54, .window = Milliseconds(10000)};
  constexpr int kInstances = 7;
  std::vector<RetryAllowance> instances(kInstances, RetryAllowance(limits));
  for (auto& instance : instances)
    instance.OnMembers(kInstances, kStart);
  int requests = 0;
  int repeats = 0;
  for (int ms = 0; ms < 10000; ms += 10) {
    const MonotonicTime now = kStart + Milliseconds(ms);
    auto& instance = instances[static_cast<std::size_t>(ms / 10 % kInstances)];
    instance.OnRequest(kEngines, now);
    ++requests;
    for (int i = 0; i < 3; ++i)
      repeats += instance.TrySpend(kEngines, now) ? 1 : 0;
  }
  CHECK(repeats <= limits.share * requests + limits.extra);
  CHECK(repeats > 0.5 * (limits.share * requests + limits.extra));
}

TEST_CASE("instances that are cut off keep their part of the allowance") {
  // A partition hides half of the instances from the others. Each half, taking
  // itself for all, would spend the whole number of extra repeats.
  RetryAllowance allowance(
      {.share = 0, .extra = 70, .window = Milliseconds(10000)});
  allowance.OnMembers(7, kStart);
  const double before = allowance.Left(kEngines, kStart);
  allowance.OnMembers(1, kStart + Seconds(5));
  CHECK(allowance.Left(kEngines, kStart + Seconds(5)) == Approx(before));
  allowance.OnMembers(1, kStart + RetryAllowance::kMemberMemory);
  CHECK(allowance.Left(kEngines, kStart + RetryAllowance::kMemberMemory) >
        before);
}

TEST_CASE("events are cut at their empty lines, however the bytes come") {
  const std::string stream =
      "id: 1\ndata: a\n\nversion: 3\nid: 2\ndata: b\r\n\r\ndata: no id\n\n";
  const auto piece = GENERATE(as<std::size_t>{}, 1, 3, 1000);
  EventSplitter splitter;
  std::string joined;
  std::vector<std::uint64_t> numbers;
  for (std::size_t at = 0; at < stream.size(); at += piece) {
    splitter.Feed(stream.substr(at, piece), [&](const StreamEvent& event) {
      joined += event.bytes;
      numbers.push_back(event.number.value_or(EventNumber(0)).value());
    });
  }
  CHECK(joined == stream);
  CHECK(numbers == std::vector<std::uint64_t>{1, 2, 0});
  CHECK(splitter.at_boundary());
  splitter.Feed("id: 4\nda", [](const StreamEvent&) { FAIL(); });
  CHECK_FALSE(splitter.at_boundary());
}

StoreEvents EventsOf(std::vector<StoreEvent> events, std::uint64_t epoch = 1) {
  StoreEvents out;
  out.epoch = epoch;
  out.next = 10;
  out.events = std::move(events);
  return out;
}

TEST_CASE("a part counts as whole only while its store answers") {
  // A store goes dark, comes back empty, and a part is written to it anew. What
  // was known of it before must not send anybody there: the fetch would read a
  // part that is half written.
  const CacheHolder store("store");
  const PromptPart part{"p", 100};
  CacheContents contents;
  contents.OnEvents(store, EventsOf({{true, "s", "p", 100}}), kStart);
  CHECK(contents.HoldsWhole(store, "s", part, kStart));
  CHECK_FALSE(contents.HoldsWhole(store, "other", part, kStart));
  SECTION("it falls silent") {
    const MonotonicTime later =
        kStart + CacheContents::kTrust + Milliseconds(1);
    CHECK_FALSE(contents.HoldsWhole(store, "s", part, later));
  }
  SECTION("its connection breaks") {
    contents.OnReaderLost(store);
    CHECK_FALSE(contents.HoldsWhole(store, "s", part, kStart));
  }
  SECTION("it has restarted") {
    contents.OnEvents(store, EventsOf({}, /*epoch=*/2), kStart);
    CHECK_FALSE(contents.HoldsWhole(store, "s", part, kStart));
  }
  SECTION("an engine has dropped the part's end") {
    contents.OnEvents(store, EventsOf({{false, "s", "p", 64}}), kStart);
    CHECK_FALSE(contents.HoldsWhole(store, "s", part, kStart));
  }
  SECTION("events are missing") {
    StoreEvents gap = EventsOf({});
    gap.gap = true;
    contents.OnEvents(store, gap, kStart);
    CHECK_FALSE(contents.HoldsWhole(store, "s", part, kStart));
    CHECK(contents.NeedsListing(store));
    contents.OnListing(store, {1, 20, {{true, "s", "p", 100}}}, kStart);
    CHECK(contents.HoldsWhole(store, "s", part, kStart));
    CHECK_FALSE(contents.NeedsListing(store));
  }
}

TEST_CASE(
    "parts are spread over stores by their room, and stay where they are") {
  std::vector<StoreChoice> stores;
  for (int i = 0; i < 3; ++i) {
    const std::string name = "s" + std::to_string(i);
    stores.push_back(
        {CacheHolder(name), {}, i == 0 ? 2.0 : 1.0, PlacementHash(name)});
  }
  std::map<CacheHolder, int> counts;
  int moved = 0;
  for (int i = 0; i < 4000; ++i) {
    const std::string part = "part" + std::to_string(i);
    const CacheHolder chosen = ChooseStore(stores, part)->holder;
    ++counts[chosen];
    const std::vector<StoreChoice> fewer(stores.begin(), stores.end() - 1);
    if (chosen != stores.back().holder &&
        ChooseStore(fewer, part)->holder != chosen)
      ++moved;
  }
  CHECK(counts[CacheHolder("s0")] == Approx(2000).margin(200));
  CHECK(moved == 0);
  CHECK(ChooseStore({}, "part") == nullptr);
}

std::vector<PlacementCandidate> Candidates(int count) {
  std::vector<PlacementCandidate> candidates;
  for (int i = 0; i < count; ++i) {
    PlacementCandidate candidate;
    candidate.hash = PlacementHash("engine" + std::to_string(i));
    candidates.push_back(candidate);
  }
  return candidates;
}

TEST_CASE("a session keeps its place when another endpoint goes") {
  const auto all = Candidates(12);
  auto fewer = all;
  fewer.pop_back();
  int moved = 0;
  for (std::uint64_t session = 0; session < 1000; ++session) {
    const auto before = Place(all, session, {}).index;
    const auto after = Place(fewer, session, {}).index;
    if (*before != 11 && before != after)
      ++moved;
  }
  CHECK(moved == 0);
}

TEST_CASE("a session goes where its parts are, unless too much waits there") {
  // Engine 3 holds the session's nine thousand tokens. A popular session would
  // queue there; a rare one would be read again elsewhere.
  auto candidates = Candidates(12);
  for (auto& candidate : candidates)
    candidate.cost = 12'000;
  candidates[3].cost = 3'000;
  CHECK(Place(candidates, 7, {}).index == 3U);
  candidates[3].cost = 3'000 + 30'000;
  CHECK(Place(candidates, 7, {}).index != 3U);
}

TEST_CASE("endpoints to avoid come after all others, but before none") {
  auto candidates = Candidates(2);
  candidates[0].avoided = true;
  candidates[1].cost = 1e6;
  CHECK(Place(candidates, 1, {}).index == 1U);
  candidates[1].avoided = true;
  CHECK(Place(candidates, 1, {}).index == 0U);
  CHECK(Place(candidates, 1, {}).avoided);
  CHECK_FALSE(Place({}, 1, {}).index.has_value());
}

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
  LoadBook book;
  const EndpointId engine("e1");
  const auto footprint = RequestFootprint::Of(PromptRequest(1000, 100));
  CHECK(footprint.own_tokens == 1100);
  CHECK(book.Added(engine, footprint) == Approx(9600));
  book.OnStart(engine, footprint, 1000);
  CHECK(book.Added(engine, footprint) == Approx(1100));
  book.OnStart(engine, footprint, 1000);
  CHECK(book.Total(engine).tokens == Approx(8500 + 2200));
  CHECK(book.Total(engine).unread == Approx(2000));
  book.OnRead(engine, 1000);
  book.OnEnd(engine, footprint);
  CHECK(book.Total(engine).tokens == Approx(9600));
  CHECK(book.Total(engine).unread == Approx(1000));
  book.OnRead(engine, 1000);
  book.OnEnd(engine, footprint);
  CHECK(book.Total(engine).tokens == Approx(0));
}

TEST_CASE("what a dead instance had running is forgotten") {
  LoadBook book;
  const EndpointId engine("e1");
  LoadReport report{Incarnation(7),
                    1,
                    Milliseconds(200),
                    {{PlacementHash("e1"), {5000, 2, 300}}}};
  book.OnPeerReport(report, kStart);
  CHECK(book.Total(engine).tokens == Approx(5000));
  // An older report that comes late changes nothing.
  report.sequence = 0;
  report.loads.clear();
  book.OnPeerReport(report, kStart);
  CHECK(book.Total(engine).tokens == Approx(5000));
  book.Expire(kStart + Milliseconds(200) * LoadBook::kReportLife);
  CHECK(book.Total(engine).tokens == Approx(0));
}

TEST_CASE("new weights reach all engines, a share of them at a time") {
  // All twelve engines at once would refuse every caller for two seconds.
  WeightRollout rollout({});
  rollout.SetTarget(ModelName("m"), WeightNumber(2));
  auto engines = Engines(12, 1);
  std::map<EndpointId, MonotonicTime> loading;
  std::size_t most = 0;
  MonotonicTime now = kStart;
  while (rollout.HasWork(engines) && now < kStart + Seconds(30)) {
    for (const RolloutStep& step : rollout.Next(engines, now)) {
      if (step.kind == RolloutStepKind::kOrder)
        loading[step.endpoint] = now;
    }
    most = std::max(most, loading.size());
    for (auto& engine : engines) {
      const auto found = loading.find(engine.id);
      if (found == loading.end() || now - found->second < Milliseconds(1800))
        continue;
      engine.weights = WeightNumber(2);
      loading.erase(found);
    }
    now += Milliseconds(100);
  }
  CHECK(most == 2);
  CHECK_FALSE(rollout.HasWork(engines));
  CHECK(now - kStart < Seconds(13));
}

TEST_CASE("an order without effect is given again") {
  // The engine took the order's connection and never answered; nobody knows
  // whether the order was accepted. It keeps its old weights.
  WeightRollout rollout({});
  rollout.SetTarget(ModelName("m"), WeightNumber(2));
  const auto engines = Engines(1, 1);
  int orders = 0;
  for (int ms = 0; ms < 8000; ms += 100) {
    for (const auto& step : rollout.Next(engines, kStart + Milliseconds(ms)))
      orders += step.kind == RolloutStepKind::kOrder ? 1 : 0;
  }
  CHECK(orders == 2);
}

TEST_CASE("weights named in the middle of a rollout replace the older ones") {
  WeightRollout rollout({});
  rollout.SetTarget(ModelName("m"), WeightNumber(2));
  const auto engines = Engines(2, 1);
  REQUIRE_FALSE(rollout.Next(engines, kStart).empty());
  rollout.SetTarget(ModelName("m"), WeightNumber(3));
  rollout.SetTarget(ModelName("m"), WeightNumber(2));
  std::vector<WeightNumber> ordered;
  for (const auto& step : rollout.Next(engines, kStart + Seconds(1))) {
    if (step.kind == RolloutStepKind::kOrder)
      ordered.push_back(step.number);
  }
  REQUIRE_FALSE(ordered.empty());
  CHECK(ordered.front() == WeightNumber(3));
}

MemberInfo MemberOf(const std::string& zone, std::uint16_t port) {
  MemberInfo member;
  member.zone = ZoneName(zone);
  member.host = "10.0.0.1";
  member.http_port = port;
  return member;
}

TEST_CASE("callers are told the instances of their zone, if it has enough") {
  const std::vector<MemberInfo> serving = {MemberOf("a", 1), MemberOf("a", 2),
                                           MemberOf("b", 3)};
  CHECK(ChooseAddresses(serving, ZoneName("a")).size() == 2);
  CHECK(ChooseAddresses(serving, ZoneName("b")).size() == 3);
  CHECK(ChooseAddresses(serving, ZoneName("elsewhere")).size() == 3);
  CHECK(ChooseAddresses({}, ZoneName("a")).empty());
}

}  // namespace
}  // namespace carobshift
