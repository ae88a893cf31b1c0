#include "carobshift/gateway/weights/weight_rollout_controller.h"

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "carobshift/gateway/records/fake_log.h"
#include "carobshift/gateway/stub_dialects.h"
#include "carobshift/gateway/weights/weight_note.h"

namespace carobshift {
namespace {

const ModelName kModel("m");
// Bound only by tests with several instances, at different loopback addresses.
constexpr std::uint16_t kGossipPort = 29531;

// Orders and reports as JSON.
class FakeEngineDialect : public StubEngineDialect {
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

// An engine that loads at once and counts the orders it receives.
class FakeEngine {
 public:
  explicit FakeEngine(EventLoop& loop)
      : server_(loop, [this](auto& connection, const auto& request) {
          Serve(connection, request);
        }) {}

  [[nodiscard]] NetAddress address() const { return server_.address(); }

  int lose_answers = 0;
  // Orders that are accepted and lost, as by a crash during the load.
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
      connection.SendCompleteReply(ReplyHead(200), report.dump());
      return;
    }
    ++arrived;
    if (lose_answers > 0) {
      --lose_answers;
      return;
    }
    const auto order = nlohmann::json::parse(request.body);
    if (order.at("after").get<std::uint64_t>() != accepted) {
      connection.SendCompleteReply(ReplyHead(409), "");
      return;
    }
    if (forget_orders > 0) {
      --forget_orders;
      connection.SendCompleteReply(ReplyHead(202), "");
      return;
    }
    ++accepted;
    weights = order.at("weights").get<std::uint64_t>();
    connection.SendCompleteReply(ReplyHead(202), "");
  }

  LoopbackServer server_;
};

GatewaySettings SettingsFor(const FakeLog& log, bool engines_check_fencing) {
  GatewaySettings settings;
  settings.entry = EntryId("entry-1");
  settings.host = "127.0.0.1";
  settings.gossip_port = kGossipPort;
  settings.log = log.address();
  settings.lease = Milliseconds(1500);
  settings.engines_check_fencing = engines_check_fencing;
  return settings;
}

struct Fixture {
  explicit Fixture(bool engines_check_fencing = true)
      : settings(SettingsFor(log, engines_check_fencing)) {
    rollout_controller.SetConfig(
        std::make_shared<ServingConfigSnapshot>(ServingConfig{}));
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

  // Calls the rollout controller every 20 ms until `done`, for at most
  // `longest`.
  bool TickUntil(const std::function<bool()>& done,
                 Milliseconds longest = Milliseconds(4000)) {
    const MonotonicTime end = MonotonicNow() + longest;
    while (!done()) {
      if (MonotonicNow() >= end)
        return false;
      rollout_controller.OnTick();
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
  StubRequestDialect requests;
  StubDirectoryDialect directory;
  GatewaySettings settings;
  EndpointRegistry registry;
  Cluster cluster{loop, settings};
  WeightDeadlines deadlines{settings.weights_replacement_bound};
  WeightRolloutController rollout_controller{
      loop,     client,
      settings, Dialects{requests, directory, log_dialect, engine_dialect},
      cluster,  registry,
      deadlines};
};

TEST_CASE("an order whose answer is lost is given again soon, and taken once") {
  // An engine reads its order and never answers. Without a repetition it would
  // keep its old weights for as long as an order may take, and callers would
  // get answers of replaced weights meanwhile.
  Fixture fixture;
  fixture.first.lose_answers = 2;
  fixture.rollout_controller.SetTarget(kModel, WeightNumber(2));
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
  // For 30 s every other order gets no answer. Waiting for each of them would
  // keep one of the few loading slots occupied, and the last engines would
  // answer with replaced weights seconds past the bound.
  Fixture fixture;
  fixture.first.lose_answers = 5;
  fixture.second.lose_answers = 5;
  fixture.rollout_controller.SetTarget(kModel, WeightNumber(2));
  CHECK(fixture.TickUntil(
      [&] { return fixture.first.weights == 2 && fixture.second.weights == 2; },
      Milliseconds(5000)));
}

TEST_CASE("an engine that is busy gets no order until it is done") {
  Fixture fixture;
  fixture.first.busy = true;
  fixture.rollout_controller.SetTarget(kModel, WeightNumber(2));
  REQUIRE_FALSE(fixture.TickUntil([&] { return fixture.first.arrived > 0; },
                                  Milliseconds(1000)));
  fixture.first.busy = false;
  CHECK(fixture.TickUntil([&] { return fixture.first.weights == 2; }));
}

TEST_CASE("an engine that crashes in its load is ordered again soon") {
  // Engines crash in waves while they load, and return a second later with
  // their previous weights. If the rollout waited for the lost order to time
  // out, the engine would occupy a loading slot for five seconds without
  // loading, while its callers and those of the engines behind it get replaced
  // weights.
  Fixture fixture;
  fixture.first.forget_orders = 1;
  fixture.rollout_controller.SetTarget(kModel, WeightNumber(2));
  CHECK(fixture.TickUntil([&] { return fixture.first.weights == 2; },
                          Milliseconds(3000)));
}

TEST_CASE("an engine that is busy keeps its place: the other one has to wait") {
  // The engine loads by a previous holder's order. If the other engine were
  // ordered as well, both would be unavailable at once and every caller
  // refused.
  Fixture fixture;
  fixture.first.busy = true;
  fixture.rollout_controller.SetTarget(kModel, WeightNumber(2));
  CHECK_FALSE(fixture.TickUntil([&] { return fixture.second.arrived > 0; },
                                Milliseconds(1500)));
}

TEST_CASE("an engine with more than its record says goes after the others") {
  // The engine has loaded by a previous holder's order, and its record arrives
  // late or never. If it were ordered first, it would load twice while the
  // callers of the other engine wait for a load of weights that were replaced
  // twice.
  Fixture fixture;
  fixture.first.weights = 2;
  fixture.first.accepted = 1;
  fixture.rollout_controller.SetTarget(kModel, WeightNumber(3));
  REQUIRE(fixture.TickUntil(
      [&] { return fixture.first.arrived + fixture.second.arrived > 0; }));
  CHECK(fixture.first.arrived == 0);
  CHECK(fixture.TickUntil([&] { return fixture.first.weights == 3; }));
}

TEST_CASE("the log falls silent: orders go on where engines check fencing") {
  // The log is down for longer than the lease while the operator's new weights
  // are only partly loaded. The engines reject a superseded holder, so the
  // holder may continue; otherwise callers would get old weights until the log
  // is back.
  Fixture fixture;
  fixture.second.busy = true;
  fixture.rollout_controller.SetTarget(kModel, WeightNumber(2));
  REQUIRE(fixture.TickUntil([&] { return fixture.first.weights == 2; }));
  fixture.log.SetMode(FakeLogMode::kSilent);
  fixture.TickUntil([] { return false; }, Milliseconds(2500));
  fixture.second.busy = false;
  CHECK(fixture.TickUntil([&] { return fixture.second.weights == 2; }));
}

TEST_CASE("the log falls silent: no order past the lease without fencing") {
  // The same for engines that do not check fencing. Another instance may hold
  // the lease by now; with two instances sending orders, engines would change
  // back and forth.
  Fixture fixture(/*engines_check_fencing=*/false);
  fixture.second.busy = true;
  fixture.rollout_controller.SetTarget(kModel, WeightNumber(2));
  REQUIRE(fixture.TickUntil([&] { return fixture.first.weights == 2; }));
  fixture.log.SetMode(FakeLogMode::kSilent);
  fixture.TickUntil([] { return false; }, Milliseconds(2500));
  fixture.second.busy = false;
  fixture.TickUntil([] { return false; }, Milliseconds(1500));
  CHECK(fixture.second.arrived == 0);
  // It seeks the lease again once the log answers.
  fixture.log.SetMode(FakeLogMode::kServes);
  CHECK(fixture.TickUntil([&] { return fixture.second.weights == 2; },
                          Milliseconds(8000)));
}

TEST_CASE(
    "another instance takes the lease: the former holder orders nothing") {
  // The holder was disconnected and another instance has succeeded it. After
  // reconnecting, it reads the successor's record and must send no more orders.
  Fixture fixture;
  fixture.second.busy = true;
  fixture.rollout_controller.SetTarget(kModel, WeightNumber(2));
  REQUIRE(fixture.TickUntil([&] { return fixture.first.weights == 2; }));
  REQUIRE(fixture.rollout_controller.IsHolder());
  const LogStream stream("carobshift-lease");
  LeaseRecord successor;
  successor.holder = EntryId("entry-2");
  successor.incarnation = Incarnation(7);
  successor.read_up_to = LogOffset(fixture.log.records(stream).size());
  successor.duration = Milliseconds(60000);
  fixture.log.Append(stream, EncodeLeaseRecord(successor));
  REQUIRE(fixture.TickUntil(
      [&] { return !fixture.rollout_controller.IsHolder(); }));
  const int before = fixture.second.arrived;
  fixture.second.busy = false;
  fixture.TickUntil([] { return false; }, Milliseconds(1500));
  CHECK(fixture.second.arrived == before);
}

TEST_CASE("the log has dropped the lease's first records: orders go on") {
  // The log drops records after some time, or its whole history at once. A
  // process started since then reads the lease's stream from its beginning and
  // is told that the records are gone. Such a process requested the same
  // records forever, so no instance could acquire the lease, and engines kept
  // replaced weights permanently.
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
  fixture.rollout_controller.SetTarget(kModel, WeightNumber(2));
  CHECK(fixture.TickUntil(
      [&] { return fixture.first.weights == 2 && fixture.second.weights == 2; },
      Milliseconds(9000)));
}

// Appends a previous holder's record with its note to the lease's stream.
void AppendFormerHolder(Fixture& fixture, const std::string& note) {
  LeaseRecord former;
  former.holder = EntryId("entry-2");
  former.incarnation = Incarnation(7);
  former.duration = fixture.settings.lease;
  former.note = note;
  fixture.log.Append(LogStream("carobshift-lease"), EncodeLeaseRecord(former));
}

bool OverdueNow(const Fixture& fixture) {
  return fixture.deadlines.IsOverdue(kModel, WeightNumber(1), MonotonicNow());
}

TEST_CASE("weights found at the start are as old as the last holder knew") {
  // An instance starts ten seconds after a naming. By itself it knows only that
  // the weights were named, and would use older ones for the full bound again.
  Fixture fixture;
  const MonotonicTime now = MonotonicNow();
  const auto note_of_age = [&](Milliseconds age) {
    return EncodeWeightNote({{kModel, WeightNumber(2), now - age}}, now,
                            WallNow());
  };
  SECTION("past the bound") {
    AppendFormerHolder(fixture,
                       note_of_age(fixture.settings.weights_replacement_bound));
    fixture.rollout_controller.SetInitialTarget(kModel, WeightNumber(2));
    CHECK(fixture.TickUntil([&] { return OverdueNow(fixture); },
                            Milliseconds(500)));
  }
  SECTION("within it") {
    AppendFormerHolder(fixture, note_of_age(Seconds(1)));
    fixture.rollout_controller.SetInitialTarget(kModel, WeightNumber(2));
    CHECK_FALSE(fixture.TickUntil([&] { return OverdueNow(fixture); },
                                  Milliseconds(500)));
  }
  SECTION("found after the stream was read") {
    AppendFormerHolder(fixture,
                       note_of_age(fixture.settings.weights_replacement_bound));
    fixture.TickUntil([] { return false; }, Milliseconds(300));
    fixture.rollout_controller.SetInitialTarget(kModel, WeightNumber(2));
    CHECK(OverdueNow(fixture));
  }
}

TEST_CASE("weights found at the start, and nobody knows since when") {
  Fixture fixture;
  // The log has dropped the holders' records, which may be old. An engine that
  // returns with older weights must not be used.
  SECTION("the holders' records are gone") {
    AppendFormerHolder(fixture, "");
    fixture.log.Compact(LogStream("carobshift-lease"));
    fixture.rollout_controller.SetInitialTarget(kModel, WeightNumber(2));
    CHECK(fixture.TickUntil([&] { return OverdueNow(fixture); },
                            Milliseconds(500)));
  }
  // No instance has ever sent an order, so the weights were named just now.
  SECTION("there never was a holder") {
    fixture.rollout_controller.SetInitialTarget(kModel, WeightNumber(2));
    CHECK_FALSE(fixture.TickUntil([&] { return OverdueNow(fixture); },
                                  Milliseconds(500)));
  }
  // The last holder did not know of this naming, so it is younger than its
  // record.
  SECTION("the last holder's note has another number") {
    AppendFormerHolder(fixture,
                       EncodeWeightNote({}, MonotonicNow(), WallNow()));
    fixture.rollout_controller.SetInitialTarget(kModel, WeightNumber(2));
    CHECK_FALSE(fixture.TickUntil([&] { return OverdueNow(fixture); },
                                  Milliseconds(500)));
  }
}

TEST_CASE("an engine that started again with older weights is ordered again") {
  // The engine has reported the named weights to its holder, crashes, and
  // returns under its old id with its previous weights. If the earlier report
  // still counted, it would keep them permanently, and its callers would get
  // answers of replaced weights.
  Fixture fixture;
  fixture.rollout_controller.SetTarget(kModel, WeightNumber(2));
  REQUIRE(fixture.TickUntil(
      [&] { return fixture.first.weights == 2 && fixture.second.weights == 2; },
      Milliseconds(9000)));
  fixture.TickUntil([] { return false; }, Milliseconds(2000));
  fixture.first.weights = 1;
  fixture.first.accepted = 0;
  EndpointRecord record = *fixture.registry.Find(EndpointId("engine-1"));
  record.start_time = EndpointStartTime(record.start_time.value() + 1);
  fixture.registry.Put(record, fixture.loop.now());
  CHECK(fixture.TickUntil([&] { return fixture.first.weights == 2; },
                          Milliseconds(9000)));
}

TEST_CASE("an engine whose entry names no weights is ordered too") {
  // The engine's entry is partly broken. Its weights are unknown, so past the
  // bound it gets no prompts; without an order that would be permanent.
  Fixture fixture;
  ServingConfig config;
  DeclaredService service;
  service.name = ServiceName("engines");
  service.engine.emplace();
  service.engine->models = {kModel};
  config.services[service.name] = service;
  fixture.rollout_controller.SetConfig(
      std::make_shared<ServingConfigSnapshot>(config));
  EndpointRecord record = *fixture.registry.Find(EndpointId("engine-1"));
  record.service = service.name;
  record.weights.clear();
  fixture.registry.Put(record, fixture.loop.now());
  fixture.rollout_controller.SetTarget(kModel, WeightNumber(2));
  CHECK(fixture.TickUntil([&] { return fixture.first.weights == 2; },
                          Milliseconds(9000)));
}

TEST_CASE("weights found at the start have a bound while the log is away") {
  // An instance starts while the log is down and learns of the naming from
  // another instance. Until it has read the holders' records it would know no
  // bound, and its callers would get answers of replaced weights for as long as
  // the log does not answer.
  Fixture fixture;
  fixture.log.SetMode(FakeLogMode::kSilent);
  fixture.rollout_controller.SetInitialTarget(kModel, WeightNumber(2));
  fixture.TickUntil([] { return false; }, Milliseconds(300));
  CHECK(fixture.deadlines.IsOverdue(
      kModel, WeightNumber(1),
      MonotonicNow() + fixture.settings.weights_replacement_bound));
}

TEST_CASE("weights named in the middle of a lease are noted at once") {
  // The holder is killed shortly after a naming. An instance that starts before
  // the next holder has written a record finds no note of this naming and
  // counts the bound from its own start, seconds too late.
  Fixture fixture;
  fixture.settings.lease = Milliseconds(1500);
  fixture.first.busy = true;
  fixture.second.busy = true;
  fixture.rollout_controller.SetTarget(kModel, WeightNumber(2));
  const LogStream stream("carobshift-lease");
  REQUIRE(
      fixture.TickUntil([&] { return fixture.rollout_controller.IsHolder(); }));
  const std::size_t before = fixture.log.records(stream).size();
  REQUIRE(fixture.TickUntil(
      [&] { return fixture.log.records(stream).size() > before; }));
  fixture.rollout_controller.SetTarget(kModel, WeightNumber(3));
  CHECK(fixture.TickUntil(
      [&] {
        const auto record =
            DecodeLeaseRecord(fixture.log.records(stream).back());
        const auto note =
            DecodeWeightNote(record.value().note, MonotonicNow(), WallNow());
        return note.ok() && !note.value().empty() &&
               note.value().back().number == WeightNumber(3);
      },
      Milliseconds(250)));
}

TEST_CASE("another machine's clock doesn't age a naming that was just heard") {
  // The holder's wall clock is some seconds behind this instance's clock, or
  // this instance's clock has been set forward since the note was written. Both
  // have received the naming a moment ago. If it counted as seconds older, this
  // instance would refuse the callers of engines whose turn to load is still to
  // come.
  Fixture fixture;
  fixture.first.busy = true;
  fixture.second.busy = true;
  fixture.rollout_controller.SetTarget(kModel, WeightNumber(2));
  const MonotonicTime now = MonotonicNow();
  AppendFormerHolder(fixture, EncodeWeightNote({{kModel, WeightNumber(2), now}},
                                               now, WallNow() - Seconds(6)));
  fixture.TickUntil([] { return false; }, Milliseconds(500));
  const Milliseconds usable =
      fixture.settings.weights_replacement_bound - WeightDeadlines::kMargin;
  CHECK_FALSE(fixture.deadlines.IsOverdue(kModel, WeightNumber(1),
                                          now + usable - Seconds(1)));
}

TEST_CASE("an assumed naming time yields to the holder's note") {
  // The log drops its history during a rollout, and an instance starts before
  // the holder's next record. It must assume that the naming is older than the
  // bound; a second later the holder reports that it is one second old. If the
  // instance kept its assumption, it would refuse the callers of all engines
  // that still wait for their turn, and as a holder it would make other
  // instances do the same.
  Fixture fixture;
  fixture.first.busy = true;
  fixture.second.busy = true;
  AppendFormerHolder(fixture, "");
  const LogStream stream("carobshift-lease");
  fixture.log.Compact(stream);
  fixture.rollout_controller.SetInitialTarget(kModel, WeightNumber(2));
  REQUIRE(fixture.TickUntil([&] { return OverdueNow(fixture); },
                            Milliseconds(500)));
  LeaseRecord renewal;
  renewal.kind = LeaseRecordKind::kRenew;
  renewal.holder = EntryId("entry-2");
  renewal.incarnation = Incarnation(7);
  renewal.read_up_to = LogOffset(fixture.log.records(stream).size());
  renewal.duration = fixture.settings.lease;
  const MonotonicTime now = MonotonicNow();
  renewal.note = EncodeWeightNote({{kModel, WeightNumber(2), now - Seconds(1)}},
                                  now, WallNow());
  fixture.log.Append(stream, EncodeLeaseRecord(renewal));
  CHECK(fixture.TickUntil([&] { return !OverdueNow(fixture); },
                          Milliseconds(1000)));
}

TEST_CASE("a stopped instance gives no more orders") {
  Fixture fixture;
  fixture.rollout_controller.SetTarget(kModel, WeightNumber(2));
  REQUIRE(
      fixture.TickUntil([&] { return fixture.rollout_controller.IsHolder(); }));
  fixture.rollout_controller.Stop();
  const int before = fixture.first.arrived + fixture.second.arrived;
  fixture.TickUntil([] { return false; }, Milliseconds(800));
  CHECK(fixture.first.arrived + fixture.second.arrived == before);
}

// Another live instance, which gossips with the fixture's one.
struct OtherInstance {
  explicit OtherInstance(Fixture& fixture)
      : settings(fixture.settings), cluster(fixture.loop, Named(settings)) {
    REQUIRE(cluster.Start().ok());
    REQUIRE(fixture.cluster.Start().ok());
    cluster.SetSeedHosts({fixture.settings.host});
    RunUntil(fixture.loop, [&] {
      cluster.OnTick();
      fixture.cluster.OnTick();
      return fixture.cluster.IsLive(settings.entry);
    });
  }

  static const GatewaySettings& Named(GatewaySettings& settings) {
    settings.entry = EntryId("entry-2");
    settings.host = "127.0.0.2";
    return settings;
  }

  GatewaySettings settings;
  Cluster cluster;
};

// Guards against engines that keep old weights because the lease holder reaches
// none of them.
TEST_CASE("a holder that reaches no engine leaves the orders to others") {
  Fixture fixture;
  const OtherInstance other(fixture);
  bool self_reaches = false;
  bool other_reaches = true;
  fixture.rollout_controller.SetReachesEngines([&](const EntryId& id) {
    return id == fixture.settings.entry ? self_reaches : other_reaches;
  });
  fixture.rollout_controller.SetTarget(kModel, WeightNumber(2));
  const auto arrived = [&fixture] {
    return fixture.first.arrived + fixture.second.arrived;
  };
  SECTION("it doesn't seek the lease until its paths return") {
    fixture.TickUntil([] { return false; }, Milliseconds(800));
    CHECK_FALSE(fixture.rollout_controller.IsHolder());
    CHECK(arrived() == 0);
    self_reaches = true;
    CHECK(fixture.TickUntil([&] { return arrived() > 0; }));
  }
  SECTION("it gives no more orders") {
    self_reaches = true;
    REQUIRE(fixture.TickUntil(
        [&] { return fixture.rollout_controller.IsHolder(); }));
    self_reaches = false;
    const int before = arrived();
    fixture.TickUntil([] { return false; }, Milliseconds(800));
    CHECK(arrived() == before);
  }
  SECTION("it goes on if no instance reaches them") {
    other_reaches = false;
    CHECK(fixture.TickUntil([&] { return arrived() > 0; }));
  }
}

}  // namespace
}  // namespace carobshift
