#include "carobshift/gateway/records/peer_sync.h"

#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "carobshift/base/digest.h"
#include "carobshift/gateway/records/fake_log.h"
#include "carobshift/gateway/records/peer_state_codec.h"
#include "carobshift/gateway/records/recording_follower_sink.h"

namespace carobshift {
namespace {

// Instances use one port number on different hosts. It is below the range of
// ephemeral ports.
constexpr std::uint16_t kGossipPort = 21000;
constexpr std::uint16_t kPeerPort = 21001;

// Loopback addresses that no other process uses, since test processes run
// concurrently.
std::string HostOf(int number) {
  const int pid = getpid();
  return "127." + std::to_string(number) + "." +
         std::to_string(pid >> 8 & 255) + "." + std::to_string(pid & 255);
}

EntryId EntryOf(int number) {
  return EntryId("entry-" + std::to_string(number));
}

// Settings of the instance with this number; every instance knows the first
// one.
GatewaySettings SettingsOf(int number) {
  GatewaySettings settings;
  settings.entry = EntryOf(number);
  settings.host = HostOf(number);
  settings.gossip_port = kGossipPort;
  settings.peer_port = kPeerPort;
  settings.seed_hosts = {HostOf(1)};
  // The secret is derived from this address; it is never called.
  settings.log = {"127.0.0.1", 1};
  return settings;
}

// An instance with its own log for each stream, so that it alone can be
// disconnected from one.
struct Instance {
  // `sync_settings` are the settings given to the PeerSync under test.
  Instance(EventLoop& loop,
           const GatewaySettings& its_settings,
           const GatewaySettings& sync_settings)
      : settings(its_settings),
        operator_log(loop),
        endpoint_log(loop),
        client(loop, {}),
        cluster(loop, settings),
        operators(loop,
                  client,
                  operator_log.address(),
                  dialect,
                  dialect.OperatorStream(),
                  QuickFollowerOptions(),
                  operator_sink),
        endpoints(loop,
                  client,
                  endpoint_log.address(),
                  dialect,
                  dialect.EndpointStream(),
                  QuickFollowerOptions(),
                  endpoint_sink),
        sync(loop, client, sync_settings, cluster, operators, endpoints) {}
  Instance(EventLoop& loop, int number)
      : Instance(loop, SettingsOf(number), SettingsOf(number)) {}
  ~Instance() {
    operators.Stop();
    endpoints.Stop();
    cluster.Stop();
  }

  void Start() {
    REQUIRE(cluster.Start().ok());
    REQUIRE(sync.Start().ok());
    operators.Start();
    endpoints.Start();
  }
  void Tick() {
    cluster.OnTick();
    sync.OnTick();
  }
  void SetLogMode(FakeLogMode mode) {
    operator_log.SetMode(mode);
    endpoint_log.SetMode(mode);
  }
  void Declare(const std::string& record) {
    operator_log.Append(dialect.OperatorStream(), record);
  }
  void List(const std::string& record) {
    endpoint_log.Append(dialect.EndpointStream(), record);
  }

  GatewaySettings settings;
  FakeLog operator_log;
  FakeLog endpoint_log;
  FakeLogDialect dialect;
  HttpClient client;
  Cluster cluster;
  RecordingFollowerSink operator_sink;
  RecordingFollowerSink endpoint_sink;
  KeyedFollower operators;
  KeyedFollower endpoints;
  PeerSync sync;
};

// A live member that answers queries as the test specifies.
struct FakePeer {
  using Answer = std::function<void(HttpServerConnection&)>;

  FakePeer(EventLoop& loop, int number, Answer its_answer)
      : answer(std::move(its_answer)),
        server(
            loop,
            [this](auto& connection, const auto&) {
              ++queries;
              answer(connection);
            },
            {},
            HostOf(number)),
        cluster(loop, WithPeerPort(SettingsOf(number), server.address().port)) {
  }
  ~FakePeer() { cluster.Stop(); }

  static GatewaySettings WithPeerPort(GatewaySettings settings,
                                      std::uint16_t port) {
    settings.peer_port = port;
    return settings;
  }

  Answer answer;
  int queries = 0;
  LoopbackServer server;
  Cluster cluster;
};

// Answers with this body.
FakePeer::Answer Whole(int status, const std::string& body) {
  return [status, body](HttpServerConnection& connection) {
    connection.SendCompleteReply(ReplyHead(status), body);
  };
}

std::string StateOf(const PeerState& state) {
  return EncodePeerState(state, SharedSecret(SettingsOf(1)));
}

PeerState OneRecord(const std::string& value, std::uint64_t offset) {
  return {{{"config", value, LogOffset(offset)}}, {}, {}};
}

struct Fixture {
  Instance& Add(int number) {
    return *instances.emplace_back(std::make_unique<Instance>(loop, number));
  }
  FakePeer& AddFake(int number, FakePeer::Answer answer) {
    FakePeer& peer = *fakes.emplace_back(
        std::make_unique<FakePeer>(loop, number, std::move(answer)));
    REQUIRE(peer.cluster.Start().ok());
    return peer;
  }

  bool TickUntil(const std::function<bool()>& done,
                 Milliseconds longest = Milliseconds(5000)) {
    const MonotonicTime end = MonotonicNow() + longest;
    while (!done()) {
      if (MonotonicNow() >= end)
        return false;
      for (const auto& instance : instances)
        instance->Tick();
      for (const auto& fake : fakes)
        fake->cluster.OnTick();
      RunFor(loop, Milliseconds(10));
    }
    return true;
  }
  void TickFor(Milliseconds time) {
    TickUntil([] { return false; }, time);
  }
  // Waits until the first instance knows all others.
  void Join() {
    REQUIRE(TickUntil([this] {
      return instances.front()->cluster.Live().size() ==
             instances.size() + fakes.size();
    }));
  }

  EventLoop loop;
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::unique_ptr<FakePeer>> fakes;
};

using Records = std::vector<std::string>;

TEST_CASE("the log is away from the start: a peer tells what holds") {
  // An instance starts while the log is down. Its callers are rejected until it
  // has a configuration and endpoints, which every other instance has.
  Fixture fixture;
  Instance& peer = fixture.Add(2);
  peer.Declare("config=1");
  peer.List("engine=1");
  peer.Start();
  REQUIRE(fixture.TickUntil([&] { return peer.endpoints.caught_up(); }));
  Instance& starting = fixture.Add(1);
  SECTION("it says nothing") {
    starting.SetLogMode(FakeLogMode::kSilent);
  }
  SECTION("it refuses") {
    starting.SetLogMode(FakeLogMode::kRefuses);
  }
  starting.Start();
  const MonotonicTime began = MonotonicNow();
  REQUIRE(fixture.TickUntil(
      [&] { return !starting.endpoint_sink.records.empty(); }));
  CHECK(MonotonicNow() - began < Milliseconds(2000));
  CHECK(starting.operator_sink.records == Records{"config=1"});
  CHECK(starting.endpoint_sink.records == Records{"engine=1"});
}

TEST_CASE("the log falls silent for one instance: a peer tells what is new") {
  // The log refuses one instance while the operator makes changes. A revoked
  // key would still be accepted, and requests would be sent to an endpoint that
  // has left.
  Fixture fixture;
  Instance& cut_off = fixture.Add(1);
  Instance& peer = fixture.Add(2);
  for (Instance* instance : {&cut_off, &peer}) {
    instance->Declare("config=1");
    instance->List("engine=1");
    instance->Start();
  }
  fixture.Join();
  REQUIRE(fixture.TickUntil([&] { return cut_off.endpoints.caught_up(); }));
  cut_off.SetLogMode(FakeLogMode::kSilent);
  const MonotonicTime silent_since = MonotonicNow();
  peer.Declare("config=2");
  peer.List("engine");
  REQUIRE(fixture.TickUntil(
      [&] { return cut_off.endpoint_sink.records.size() == 2; }));
  CHECK(MonotonicNow() - silent_since < PeerSync::kUnresponsiveAfter +
                                            PeerSync::kQueryInterval +
                                            Milliseconds(400));
  CHECK(cut_off.operator_sink.records == Records{"config=1", "config=2"});
  CHECK(cut_off.endpoint_sink.records ==
        Records{"engine=1", "engine=(removed)"});
  // When the log is back, merged records are not reported again.
  cut_off.Declare("config=2");
  cut_off.List("engine");
  cut_off.SetLogMode(FakeLogMode::kServes);
  const MonotonicTime back_since = MonotonicNow();
  REQUIRE(fixture.TickUntil(
      [&] { return cut_off.operators.last_answer() > back_since; }));
  fixture.TickFor(Milliseconds(300));
  CHECK(cut_off.operator_sink.records.size() == 2);
  CHECK(cut_off.endpoint_sink.records.size() == 2);
}

TEST_CASE("a state that takes longer than the query timeout is accepted") {
  // A configuration of megabytes arrives from a peer with a slow link.
  Fixture fixture;
  Instance& cut_off = fixture.Add(1);
  const ReplyPace pace{.pieces = 20, .pause = Milliseconds(50)};
  const std::string state = StateOf(OneRecord(std::string(2000, 'x'), 9));
  fixture.AddFake(2, [&](HttpServerConnection& connection) {
    SendSlowly(fixture.loop, connection, ReplyHead(200), state, pace);
  });
  cut_off.SetLogMode(FakeLogMode::kRefuses);
  cut_off.Start();
  fixture.Join();
  CHECK(
      fixture.TickUntil([&] { return !cut_off.operator_sink.records.empty(); },
                        PeerSync::kUnresponsiveAfterAtStart +
                            PeerSync::kQueryInterval + 2 * pace.Length()));
}

TEST_CASE("an instance whose log tells it much asks no peer meanwhile") {
  // Its link is saturated by the log's answer; the same records from a peer
  // would take twice as long.
  Fixture fixture;
  Instance& instance = fixture.Add(1);
  FakePeer& peer = fixture.AddFake(2, Whole(200, StateOf(OneRecord("2", 0))));
  instance.Declare("config=1");
  instance.Start();
  fixture.Join();
  REQUIRE(fixture.TickUntil([&] { return instance.operators.caught_up(); }));
  const int asked = peer.queries;
  const ReplyPace pace{.pieces = 40, .pause = Milliseconds(50)};
  instance.operator_log.SetPace(pace);
  instance.Declare("config=" + std::string(2000, 'x'));
  CHECK(fixture.TickUntil(
      [&] { return instance.operator_sink.records.size() == 2; },
      2 * pace.Length()));
  CHECK(peer.queries == asked);
}

TEST_CASE("a peer tells once what an instance lacks") {
  // The log refuses a third of all instances. If each of them got all records
  // with each query, their links would be saturated by records they already
  // know.
  Fixture fixture;
  Instance& cut_off = fixture.Add(1);
  Instance& peer = fixture.Add(2);
  for (Instance* instance : {&cut_off, &peer}) {
    instance->Declare("config=1");
    instance->Start();
  }
  fixture.Join();
  REQUIRE(fixture.TickUntil([&] { return peer.operators.caught_up(); }));
  cut_off.SetLogMode(FakeLogMode::kSilent);
  const std::string large(100'000, 'x');
  peer.Declare("config=" + large);
  REQUIRE(fixture.TickUntil([&] {
    return cut_off.operator_sink.records.back() == "config=" + large;
  }));
  const std::uint64_t sent_before = peer.sync.bytes_sent();
  fixture.TickFor(4 * PeerSync::kQueryInterval);
  CHECK(peer.sync.bytes_sent() > sent_before);
  CHECK(peer.sync.bytes_sent() - sent_before < large.size() / 10);
}

TEST_CASE("instances that are cut off don't all ask the same peer first") {
  // Ninety of them would saturate the peer's link and delay each other there.
  Fixture fixture;
  for (int number = 1; number <= 6; ++number)
    fixture.Add(number).SetLogMode(FakeLogMode::kSilent);
  for (int number = 7; number <= 9; ++number) {
    FakePeer& peer = fixture.AddFake(number, [](HttpServerConnection&) {});
    peer.cluster.SetConfigNumber(1);
  }
  for (const auto& instance : fixture.instances)
    REQUIRE(instance->cluster.Start().ok());
  const auto knows_all = [&](const auto& instance) {
    return instance->cluster.Serving().size() == fixture.fakes.size();
  };
  const auto cluster_tick = [&] {
    for (const auto& instance : fixture.instances)
      instance->cluster.OnTick();
    for (const auto& fake : fixture.fakes)
      fake->cluster.OnTick();
    RunFor(fixture.loop, Milliseconds(10));
  };
  const MonotonicTime end = MonotonicNow() + Milliseconds(5000);
  while (!std::all_of(fixture.instances.begin(), fixture.instances.end(),
                      knows_all) &&
         MonotonicNow() < end)
    cluster_tick();
  for (const auto& instance : fixture.instances)
    REQUIRE(knows_all(instance));
  RunFor(fixture.loop, PeerSync::kUnresponsiveAfterAtStart);
  int asked = 0;
  int most = 0;
  for (const auto& instance : fixture.instances)
    instance->sync.OnTick();
  RunFor(fixture.loop, Milliseconds(200));
  for (const auto& fake : fixture.fakes) {
    asked += fake->queries;
    most = std::max(most, fake->queries);
  }
  CHECK(asked == 6);
  CHECK(most < asked);
}

TEST_CASE("one of the two streams alone falls silent: a peer is asked") {
  // The log serves one stream and not the other. If only the one that answers
  // were checked, the instance would never learn of the other's changes.
  Fixture fixture;
  Instance& cut_off = fixture.Add(1);
  FakePeer& peer = fixture.AddFake(2, Whole(200, StateOf(OneRecord("2", 9))));
  SECTION("the endpoints'") {
    cut_off.endpoint_log.SetMode(FakeLogMode::kSilent);
  }
  SECTION("the operator's") {
    cut_off.operator_log.SetMode(FakeLogMode::kSilent);
  }
  cut_off.Start();
  REQUIRE(fixture.TickUntil([&] { return peer.queries > 0; }));
  CHECK(fixture.TickUntil(
      [&] { return cut_off.operator_sink.records == Records{"config=2"}; }));
}

TEST_CASE("while the log answers no peer is asked") {
  // A query fetches all records. If each instance sent queries all the time,
  // they would cost a deployment more than its requests do.
  Fixture fixture;
  Instance& instance = fixture.Add(1);
  FakePeer& peer = fixture.AddFake(2, Whole(200, StateOf(OneRecord("2", 9))));
  instance.Declare("config=1");
  instance.Start();
  fixture.Join();
  fixture.TickFor(PeerSync::kUnresponsiveAfter + Milliseconds(500));
  CHECK(peer.queries == 0);
  CHECK(instance.operator_sink.records == Records{"config=1"});
}

TEST_CASE("an invalid answer of a peer changes nothing") {
  // Another process listens on a peer's port, a peer has another version, or a
  // process without the secret answers. If such an answer were accepted, an
  // outsider could supply the keys that admit callers.
  Fixture fixture;
  Instance& instance = fixture.Add(1);
  instance.SetLogMode(FakeLogMode::kRefuses);
  const std::string state = StateOf(OneRecord("2", 9));
  FakePeer::Answer answer;
  SECTION("garbage") {
    answer = Whole(200, "garbage");
  }
  SECTION("nothing") {
    answer = Whole(200, "");
  }
  SECTION("a state that was cut off") {
    answer = Whole(200, state.substr(0, state.size() - 1));
  }
  SECTION("a state under another secret") {
    answer = Whole(200, EncodePeerState(OneRecord("2", 9), "other secret"));
  }
  SECTION("bytes under the secret that are no state") {
    answer = Whole(200, PrependMac("garbage", SharedSecret(SettingsOf(1))));
  }
  SECTION("an error with a body") {
    answer = Whole(500, state);
  }
  SECTION("a connection that breaks off") {
    answer = [](HttpServerConnection& connection) { connection.Abort(); };
  }
  FakePeer& peer = fixture.AddFake(2, answer);
  instance.Start();
  REQUIRE(fixture.TickUntil([&] { return peer.queries > 0; }));
  const int before = peer.queries;
  const MonotonicTime since = MonotonicNow();
  fixture.TickFor(Milliseconds(1000));
  // It continues to send queries, at no higher rate after rejections.
  const auto most = 1 + (MonotonicNow() - since) / PeerSync::kQueryInterval;
  CHECK(peer.queries > before);
  CHECK(peer.queries - before <= most);
  CHECK(instance.operator_sink.records.empty());
  CHECK(instance.endpoint_sink.records.empty());
  peer.answer = Whole(200, state);
  CHECK(fixture.TickUntil(
      [&] { return instance.operator_sink.records == Records{"config=2"}; }));
}

TEST_CASE("a peer that hangs is given up and the next one asked") {
  // The peer that is queried first has stopped without closing its connections.
  // Waiting for it would keep an instance from serving while others have the
  // state.
  Fixture fixture;
  Instance& instance = fixture.Add(1);
  instance.SetLogMode(FakeLogMode::kRefuses);
  FakePeer& hanging = fixture.AddFake(2, [](HttpServerConnection&) {});
  instance.Start();
  REQUIRE(fixture.TickUntil([&] { return hanging.queries > 0; }));
  fixture.AddFake(3, Whole(200, StateOf(OneRecord("2", 9))));
  CHECK(fixture.TickUntil(
      [&] { return instance.operator_sink.records == Records{"config=2"}; },
      Milliseconds(3500)));
}

TEST_CASE("the newest record of each key wins, whoever tells it") {
  // Two peers are behind the log by different amounts. If records were applied
  // in the order of the answers, an older configuration would return with each
  // answer of the older peer.
  Fixture fixture;
  Instance& instance = fixture.Add(1);
  instance.SetLogMode(FakeLogMode::kRefuses);
  PeerState newer = OneRecord("2", 9);
  newer.endpoint_records = {{"engine", std::nullopt, LogOffset(8)}};
  PeerState older = OneRecord("1", 3);
  older.endpoint_records = {{"engine", "1", LogOffset(7)},
                            {"desk", "1", LogOffset(6)}};
  FakePeer& first = fixture.AddFake(2, Whole(200, StateOf(newer)));
  FakePeer& second = fixture.AddFake(3, Whole(200, StateOf(older)));
  SECTION("the newer one is asked first") {}
  SECTION("the older one is asked first") {
    std::swap(first.answer, second.answer);
  }
  instance.Start();
  REQUIRE(fixture.TickUntil(
      [&] { return first.queries >= 2 && second.queries >= 2; }));
  fixture.TickFor(Milliseconds(100));
  const Records& configs = instance.operator_sink.records;
  CHECK(configs.back() == "config=2");
  CHECK(std::count(configs.begin(), configs.end(), "config=1") <= 1);
  CHECK(std::count(configs.begin(), configs.end(), "config=2") == 1);
  const Records& endpoints = instance.endpoint_sink.records;
  CHECK(std::count(endpoints.begin(), endpoints.end(), "desk=1") == 1);
  const auto removed =
      std::find(endpoints.begin(), endpoints.end(), "engine=(removed)");
  REQUIRE(removed != endpoints.end());
  CHECK(std::find(removed, endpoints.end(), "engine=1") == endpoints.end());
}

TEST_CASE("a peer that is leaving is asked like the others") {
  // All instances are restarted in turn while the log is down. The remaining
  // ones have just started, and only those that are leaving have a
  // configuration. If they were not queried, every caller would be rejected
  // until the log is back.
  Fixture fixture;
  Instance& leaving = fixture.Add(2);
  leaving.Declare("config=1");
  leaving.Start();
  REQUIRE(fixture.TickUntil(
      [&] { return !leaving.operator_sink.records.empty(); }));
  leaving.cluster.SetConfigNumber(1);
  leaving.cluster.Leave();
  Instance& starting = fixture.Add(1);
  starting.SetLogMode(FakeLogMode::kSilent);
  starting.Start();
  CHECK(fixture.TickUntil(
      [&] { return starting.operator_sink.records == Records{"config=1"}; },
      Milliseconds(2500)));
}

TEST_CASE("an instance without a peer waits until one comes") {
  // The first instance of a deployment starts while the log is down.
  Fixture fixture;
  Instance& alone = fixture.Add(1);
  alone.SetLogMode(FakeLogMode::kRefuses);
  alone.Start();
  fixture.TickFor(PeerSync::kUnresponsiveAfterAtStart +
                  2 * PeerSync::kQueryInterval);
  CHECK(alone.operator_sink.records.empty());
  fixture.AddFake(2, Whole(200, StateOf(OneRecord("2", 9))));
  CHECK(fixture.TickUntil(
      [&] { return alone.operator_sink.records == Records{"config=2"}; }));
}

TEST_CASE("an instance asks the others and never itself") {
  // An instance cannot get new records from itself. In a deployment of two
  // instances, every other query would be wasted, and callers would lose half a
  // second each time.
  Fixture fixture;
  Instance& instance = fixture.Add(1);
  FakePeer& peer = fixture.AddFake(2, Whole(503, ""));
  int own_queries = 0;
  QueryService own_port(fixture.loop, [&own_queries](const HttpHead&) {
    ++own_queries;
    return QueryAnswer{503, {}, {}};
  });
  REQUIRE(own_port.Listen({HostOf(1), kPeerPort}).ok());
  // The test answers queries to its own port.
  REQUIRE(instance.cluster.Start().ok());
  REQUIRE(fixture.TickUntil([&] { return peer.queries >= 3; }));
  CHECK(own_queries == 0);
}

// The reply of `instance` to a query, as status and body.
struct Reply {
  std::optional<int> status;
  std::string body;
};
Reply AskFor(Fixture& fixture,
             const Instance& instance,
             const std::string& target) {
  const NetAddress address{instance.settings.host, instance.settings.peer_port};
  HttpClient client(fixture.loop, {});
  HttpFetch fetch;
  Reply reply;
  HttpHead head;
  head.method = "GET";
  head.target = target;
  fetch.Start(client, fixture.loop, address,
              SerializeRequest(head, address, ""), {},
              [&reply](const FetchOutcome& outcome) {
                reply = {outcome.status, outcome.body};
              });
  RunUntil(fixture.loop, [&] { return !fetch.active(); });
  return reply;
}

std::string PathUnder(const std::string& secret) {
  return "/state/" + HexEncode(HmacSha256(secret, "peer state"));
}

// The target of a query for all records.
std::string TargetUnder(const std::string& secret) {
  return PathUnder(secret) + ToPathSuffix({});
}

TEST_CASE("who doesn't know the secret is told nothing") {
  // The state contains the keys of all client accounts. Neither an instance of
  // another deployment nor any other process that reaches the port may read
  // them.
  Fixture fixture;
  Instance& instance = fixture.Add(1);
  const std::string target = TargetUnder(SharedSecret(instance.settings));
  instance.Declare("config=1");
  instance.Start();
  RunUntil(fixture.loop, [&] { return instance.endpoints.caught_up(); });
  RunUntil(fixture.loop, [&] { return instance.operators.caught_up(); });
  const Reply whole = AskFor(fixture, instance, target);
  CHECK(whole.status == 200);
  const auto state =
      DecodePeerState(whole.body, SharedSecret(instance.settings));
  REQUIRE(state.ok());
  REQUIRE(state.value().operator_records.size() == 1);
  CHECK(state.value().operator_records[0].value == "1");
  const std::string path = PathUnder(SharedSecret(instance.settings));
  const std::string end = ToPathSuffix({});
  for (const std::string& other :
       {TargetUnder("other secret"), std::string("/state/"), std::string("/"),
        "/state" + end, path, path + '/', path + "/0", target + '/',
        target + "x", path.substr(0, path.size() - 1) + end, path + '0' + end,
        path.substr(0, path.size() - 1), path + '0'}) {
    const Reply reply = AskFor(fixture, instance, other);
    CHECK(reply.status == 403);
    CHECK(reply.body.empty());
  }
}

TEST_CASE("an instance that knows no configuration says so") {
  // If it sent an empty state, the querying instance would accept that as an
  // answer.
  Fixture fixture;
  Instance& instance = fixture.Add(1);
  instance.SetLogMode(FakeLogMode::kRefuses);
  instance.Start();
  const Reply reply =
      AskFor(fixture, instance, TargetUnder(SharedSecret(instance.settings)));
  CHECK(reply.status == 503);
  CHECK(reply.body.empty());
}

TEST_CASE("an instance with another secret learns nothing") {
  // Two deployments share hosts, and one has been given the other's seed hosts
  // by mistake. It must not serve by the other's configuration.
  Fixture fixture;
  Instance& peer = fixture.Add(2);
  peer.Declare("config=1");
  peer.Start();
  REQUIRE(fixture.TickUntil([&] { return peer.operators.caught_up(); }));
  GatewaySettings other_secret = SettingsOf(1);
  other_secret.log = {"127.0.0.1", 2};
  Instance& stranger = *fixture.instances.emplace_back(
      std::make_unique<Instance>(fixture.loop, SettingsOf(1), other_secret));
  stranger.SetLogMode(FakeLogMode::kRefuses);
  stranger.Start();
  REQUIRE(
      fixture.TickUntil([&] { return stranger.cluster.Live().size() == 2; }));
  fixture.TickFor(PeerSync::kUnresponsiveAfterAtStart +
                  3 * PeerSync::kQueryInterval);
  CHECK(stranger.operator_sink.records.empty());
}

}  // namespace
}  // namespace carobshift
