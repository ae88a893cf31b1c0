#include "carobshift/gateway/weight_steward.h"

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "carobshift/gateway/fake_log.h"
#include "carobshift/gateway/silent_dialects.h"
#include "carobshift/gateway/weight_note.h"

namespace carobshift {
namespace {

const ModelName kModel("m");

// Orders and reports as JSON.
class FakeEngineDialect : public SilentEngineDialect {
 public:
  [[nodiscard]] HttpHead EncodeReportQuestion() const override {
    HttpHead head;
    head.method = "GET";
    head.target = "/report";
    return head;
  }
  [[nodiscard]] Result<EngineReport> DecodeReport(int, std::string_view body)
      const override {
    const auto json = nlohmann::json::parse(body);
    EngineReport report;
    report.busy = json.at("busy").get<bool>();
    report.orders = json.at("orders").get<std::uint64_t>();
    report.weights[kModel] =
        WeightNumber(json.at("weights").get<std::uint64_t>());
    return report;
  }
  [[nodiscard]] HttpHead EncodeOrder(const WeightOrder& order,
                                     std::string* body) const override {
    *body = nlohmann::json{{"weights", order.number.value()},
                           {"after", order.after_orders.value_or(0)}}
                .dump();
    HttpHead head;
    head.method = "POST";
    head.target = "/order";
    return head;
  }
  [[nodiscard]] OrderOutcome DecodeOrderReply(int status) const override {
    return status == 202 ? OrderOutcome::kAccepted : OrderOutcome::kConflict;
  }
};

// Loads at once; counts the orders that reach it.
class FakeEngine {
 public:
  explicit FakeEngine(EventLoop& loop)
      : server_(loop, [this](auto& connection, const auto& request) {
          Serve(connection, request);
        }) {}

  [[nodiscard]] NetAddress address() const { return server_.address(); }

  int lose_answers = 0;
  // Orders that are accepted and forgotten, as by a crash in the load.
  int forget_orders = 0;
  bool busy = false;
  std::uint64_t weights = 1;
  std::uint64_t accepted = 0;
  int arrived = 0;

 private:
  void Serve(HttpServerConnection& connection,
             const HttpServerRequest& request) {
    if (request.head.target == "/report") {
      const nlohmann::json report{
          {"busy", busy}, {"orders", accepted}, {"weights", weights}};
      connection.SendWhole(ReplyHead(200), report.dump());
      return;
    }
    ++arrived;
    if (lose_answers > 0) {
      --lose_answers;
      return;
    }
    const auto order = nlohmann::json::parse(request.body);
    if (order.at("after").get<std::uint64_t>() != accepted) {
      connection.SendWhole(ReplyHead(409), "");
      return;
    }
    if (forget_orders > 0) {
      --forget_orders;
      connection.SendWhole(ReplyHead(202), "");
      return;
    }
    ++accepted;
    weights = order.at("weights").get<std::uint64_t>();
    connection.SendWhole(ReplyHead(202), "");
  }

  LoopbackServer server_;
};

GatewaySettings SettingsFor(const FakeLog& log, bool engines_check_fencing) {
  GatewaySettings settings;
  settings.entry = EntryId("entry-1");
  settings.host = "127.0.0.1";
  settings.log = log.address();
  settings.lease = Milliseconds(1500);
  settings.engines_check_fencing = engines_check_fencing;
  return settings;
}

struct Fixture {
  explicit Fixture(bool engines_check_fencing = true)
      : settings(SettingsFor(log, engines_check_fencing)) {
    steward.SetConfig(std::make_shared<ConfigInForce>(ServingConfig{}));
    AddEngine(EndpointId("engine-1"), first);
    AddEngine(EndpointId("engine-2"), second);
  }

  void AddEngine(const EndpointId& id, const FakeEngine& engine) {
    EndpointRecord record;
    record.id = id;
    record.address = engine.address();
    record.weights[kModel] = WeightNumber(1);
    registry.Put(record, loop.now());
  }

  // The steward is asked every 20 ms, until `done` or for `longest`.
  bool TickUntil(const std::function<bool()>& done,
                 Milliseconds longest = Milliseconds(4000)) {
    const MonotonicTime end = MonotonicNow() + longest;
    while (!done()) {
      if (MonotonicNow() >= end)
        return false;
      steward.OnTick();
      RunFor(loop, Milliseconds(20));
    }
    return true;
  }

  EventLoop loop;
  HttpClient client{loop, {}};
  FakeLog log{loop};
  FakeEngine first{loop};
  FakeEngine second{loop};
  FakeLogDialect log_dialect;
  FakeEngineDialect engine_dialect;
  SilentRequestDialect requests;
  SilentDirectoryDialect directory;
  GatewaySettings settings;
  EndpointRegistry registry;
  Cluster cluster{loop, settings};
  WeightDeadlines deadlines{settings.weights_bound};
  WeightSteward steward{
      loop,     client,
      settings, Dialects{requests, directory, log_dialect, engine_dialect},
      cluster,  registry,
      deadlines};
};

TEST_CASE("an order whose answer is lost is given again soon, and taken once") {
  // An engine reads its order and never answers. Left alone, it would keep its
  // old weights for as long as an order may take, and callers would get answers
  // of replaced weights meanwhile.
  Fixture fixture;
  fixture.first.lose_answers = 2;
  fixture.steward.SetTarget(kModel, WeightNumber(2));
  const MonotonicTime named = MonotonicNow();
  REQUIRE(fixture.TickUntil(
      [&] { return fixture.first.weights == 2 && fixture.second.weights == 2; },
      Milliseconds(9000)));
  CHECK(MonotonicNow() - named < Milliseconds(4500));
  CHECK(fixture.first.arrived == 3);
  CHECK(fixture.first.accepted == 1);
  CHECK(fixture.second.accepted == 1);
}

TEST_CASE("engines that lose order after order have their weights in time") {
  // For half a minute every other order gets no answer. Each that is waited for
  // keeps one of the few engines that may load at once from loading, and the
  // last engines would answer with replaced weights seconds past the bound.
  Fixture fixture;
  fixture.first.lose_answers = 5;
  fixture.second.lose_answers = 5;
  fixture.steward.SetTarget(kModel, WeightNumber(2));
  CHECK(fixture.TickUntil(
      [&] { return fixture.first.weights == 2 && fixture.second.weights == 2; },
      Milliseconds(5000)));
}

TEST_CASE("an engine that is busy gets no order until it is done") {
  Fixture fixture;
  fixture.first.busy = true;
  fixture.steward.SetTarget(kModel, WeightNumber(2));
  REQUIRE_FALSE(fixture.TickUntil([&] { return fixture.first.arrived > 0; },
                                  Milliseconds(1000)));
  fixture.first.busy = false;
  CHECK(fixture.TickUntil([&] { return fixture.first.weights == 2; }));
}

TEST_CASE("an engine that crashes in its load is ordered again soon") {
  // Engines crash in waves while they load, and are back a second later with
  // the weights that they had. Left to the life of the lost order, the engine
  // would keep a place of those that load for five seconds and do nothing,
  // while its callers and those of the engines behind it have replaced weights.
  Fixture fixture;
  fixture.first.forget_orders = 1;
  fixture.steward.SetTarget(kModel, WeightNumber(2));
  CHECK(fixture.TickUntil([&] { return fixture.first.weights == 2; },
                          Milliseconds(3000)));
}

TEST_CASE("an engine that is busy keeps its place: the other one has to wait") {
  // The engine loads by a former holder's order. Were the other one ordered as
  // well, both would be away at once and every caller refused.
  Fixture fixture;
  fixture.first.busy = true;
  fixture.steward.SetTarget(kModel, WeightNumber(2));
  CHECK_FALSE(fixture.TickUntil([&] { return fixture.second.arrived > 0; },
                                Milliseconds(1500)));
}

TEST_CASE("an engine with more than its record says goes after the others") {
  // The engine has loaded by a former holder's order, and its record comes late
  // or not at all. Ordered first, it would load twice while the callers of the
  // other one wait for a load of weights that were replaced twice.
  Fixture fixture;
  fixture.first.weights = 2;
  fixture.first.accepted = 1;
  fixture.steward.SetTarget(kModel, WeightNumber(3));
  REQUIRE(fixture.TickUntil(
      [&] { return fixture.first.arrived + fixture.second.arrived > 0; }));
  CHECK(fixture.first.arrived == 0);
  CHECK(fixture.TickUntil([&] { return fixture.first.weights == 3; }));
}

TEST_CASE("the log falls silent: orders go on where engines check fencing") {
  // The log is away for longer than the lease while the operator's new weights
  // are half in place. The engines bar whoever was succeeded, so the holder may
  // go on; otherwise callers would get old weights until the log is back.
  Fixture fixture;
  fixture.second.busy = true;
  fixture.steward.SetTarget(kModel, WeightNumber(2));
  REQUIRE(fixture.TickUntil([&] { return fixture.first.weights == 2; }));
  fixture.log.SetMode(FakeLogMode::kSilent);
  fixture.TickUntil([] { return false; }, Milliseconds(2500));
  fixture.second.busy = false;
  CHECK(fixture.TickUntil([&] { return fixture.second.weights == 2; }));
}

TEST_CASE("the log falls silent: no order past the lease without fencing") {
  // The same where engines carry out whatever they are told. Another instance
  // may hold the lease by now, and two that order would be seen as engines that
  // change to and fro.
  Fixture fixture(/*engines_check_fencing=*/false);
  fixture.second.busy = true;
  fixture.steward.SetTarget(kModel, WeightNumber(2));
  REQUIRE(fixture.TickUntil([&] { return fixture.first.weights == 2; }));
  fixture.log.SetMode(FakeLogMode::kSilent);
  fixture.TickUntil([] { return false; }, Milliseconds(2500));
  fixture.second.busy = false;
  fixture.TickUntil([] { return false; }, Milliseconds(1500));
  CHECK(fixture.second.arrived == 0);
  // It seeks the lease anew once the log answers.
  fixture.log.SetMode(FakeLogMode::kServes);
  CHECK(fixture.TickUntil([&] { return fixture.second.weights == 2; },
                          Milliseconds(8000)));
}

TEST_CASE(
    "another instance takes the lease: the former holder orders nothing") {
  // The holder was cut off and another instance has succeeded it. On its return
  // it reads the successor's record and must not order any more.
  Fixture fixture;
  fixture.second.busy = true;
  fixture.steward.SetTarget(kModel, WeightNumber(2));
  REQUIRE(fixture.TickUntil([&] { return fixture.first.weights == 2; }));
  REQUIRE(fixture.steward.IsHolder());
  const LogStream stream("carobshift-lease");
  LeaseRecord successor;
  successor.holder = EntryId("entry-2");
  successor.incarnation = Incarnation(7);
  successor.read_up_to = LogOffset(fixture.log.records(stream).size());
  successor.duration = Milliseconds(60000);
  fixture.log.Append(stream, EncodeLeaseRecord(successor));
  REQUIRE(fixture.TickUntil([&] { return !fixture.steward.IsHolder(); }));
  const int before = fixture.second.arrived;
  fixture.second.busy = false;
  fixture.TickUntil([] { return false; }, Milliseconds(1500));
  CHECK(fixture.second.arrived == before);
}

TEST_CASE("the log has dropped the lease's first records: orders go on") {
  // The log keeps records for a while, or forgets its history at once. A
  // process that has started since then reads the lease's stream from its
  // beginning and is told that it is gone. It asked for the same records for
  // ever, so nobody could take the lease any more, and engines kept replaced
  // weights for good.
  Fixture fixture;
  const LogStream stream("carobshift-lease");
  LeaseRecord former;
  former.holder = EntryId("entry-2");
  former.incarnation = Incarnation(7);
  former.duration = fixture.settings.lease;
  fixture.log.Append(stream, EncodeLeaseRecord(former));
  SECTION("all of them") {}
  SECTION("all but the last") {
    fixture.log.Compact(stream);
    former.kind = LeaseRecordKind::kRenew;
    former.read_up_to = LogOffset(1);
    fixture.log.Append(stream, EncodeLeaseRecord(former));
  }
  if (fixture.log.records(stream).size() == 1)
    fixture.log.Compact(stream);
  fixture.steward.SetTarget(kModel, WeightNumber(2));
  CHECK(fixture.TickUntil(
      [&] { return fixture.first.weights == 2 && fixture.second.weights == 2; },
      Milliseconds(9000)));
}

// A former holder's record on the lease's stream, with what it noted.
void AppendFormerHolder(Fixture& fixture, const std::string& note) {
  LeaseRecord former;
  former.holder = EntryId("entry-2");
  former.incarnation = Incarnation(7);
  former.duration = fixture.settings.lease;
  former.note = note;
  fixture.log.Append(LogStream("carobshift-lease"), EncodeLeaseRecord(former));
}

bool OverdueNow(const Fixture& fixture) {
  return fixture.deadlines.Overdue(kModel, WeightNumber(1), MonotonicNow());
}

TEST_CASE("weights found at the start are as old as the last holder knew") {
  // An instance starts ten seconds after a naming. By itself it knows only that
  // the weights were named, and would use older ones for the whole time again.
  Fixture fixture;
  const MonotonicTime now = MonotonicNow();
  const auto note_of_age = [&](Milliseconds age) {
    return EncodeWeightNote({{kModel, WeightNumber(2), now - age}}, now,
                            WallNow());
  };
  SECTION("past the bound") {
    AppendFormerHolder(fixture, note_of_age(fixture.settings.weights_bound));
    fixture.steward.SetFoundTarget(kModel, WeightNumber(2));
    CHECK(fixture.TickUntil([&] { return OverdueNow(fixture); },
                            Milliseconds(500)));
  }
  SECTION("within it") {
    AppendFormerHolder(fixture, note_of_age(Seconds(1)));
    fixture.steward.SetFoundTarget(kModel, WeightNumber(2));
    CHECK_FALSE(fixture.TickUntil([&] { return OverdueNow(fixture); },
                                  Milliseconds(500)));
  }
  SECTION("found after the stream was read") {
    AppendFormerHolder(fixture, note_of_age(fixture.settings.weights_bound));
    fixture.TickUntil([] { return false; }, Milliseconds(300));
    fixture.steward.SetFoundTarget(kModel, WeightNumber(2));
    CHECK(OverdueNow(fixture));
  }
}

TEST_CASE("weights found at the start, and nobody knows since when") {
  Fixture fixture;
  // The log has dropped what the holders wrote, which may have been long ago.
  // An engine that comes back with older weights must not be used.
  SECTION("the holders' records are gone") {
    AppendFormerHolder(fixture, "");
    fixture.log.Compact(LogStream("carobshift-lease"));
    fixture.steward.SetFoundTarget(kModel, WeightNumber(2));
    CHECK(fixture.TickUntil([&] { return OverdueNow(fixture); },
                            Milliseconds(500)));
  }
  // Nobody has ever ordered, so the weights were named just now.
  SECTION("there never was a holder") {
    fixture.steward.SetFoundTarget(kModel, WeightNumber(2));
    CHECK_FALSE(fixture.TickUntil([&] { return OverdueNow(fixture); },
                                  Milliseconds(500)));
  }
  // The last holder knew of no such naming, so it is younger than its record.
  SECTION("the last holder's note has another number") {
    AppendFormerHolder(fixture,
                       EncodeWeightNote({}, MonotonicNow(), WallNow()));
    fixture.steward.SetFoundTarget(kModel, WeightNumber(2));
    CHECK_FALSE(fixture.TickUntil([&] { return OverdueNow(fixture); },
                                  Milliseconds(500)));
  }
}

TEST_CASE("an engine that started again with older weights is ordered again") {
  // It has told its holder of the named weights, crashes, and is back under
  // its old id with the weights that it had before. Taken by what it told, it
  // would keep them for good, and its callers would get answers of replaced
  // weights.
  Fixture fixture;
  fixture.steward.SetTarget(kModel, WeightNumber(2));
  REQUIRE(fixture.TickUntil(
      [&] { return fixture.first.weights == 2 && fixture.second.weights == 2; },
      Milliseconds(9000)));
  fixture.TickUntil([] { return false; }, Milliseconds(2000));
  fixture.first.weights = 1;
  fixture.first.accepted = 0;
  EndpointRecord record = *fixture.registry.Find(EndpointId("engine-1"));
  record.born = EndpointBirth(record.born.value() + 1);
  fixture.registry.Put(record, fixture.loop.now());
  CHECK(fixture.TickUntil([&] { return fixture.first.weights == 2; },
                          Milliseconds(9000)));
}

TEST_CASE("a stopped instance gives no more orders") {
  Fixture fixture;
  fixture.steward.SetTarget(kModel, WeightNumber(2));
  REQUIRE(fixture.TickUntil([&] { return fixture.steward.IsHolder(); }));
  fixture.steward.Stop();
  const int before = fixture.first.arrived + fixture.second.arrived;
  fixture.TickUntil([] { return false; }, Milliseconds(800));
  CHECK(fixture.first.arrived + fixture.second.arrived == before);
}

}  // namespace
}  // namespace carobshift
