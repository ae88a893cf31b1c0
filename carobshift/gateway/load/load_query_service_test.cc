#include "carobshift/gateway/load/load_query_service.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "carobshift/base/digest.h"
#include "carobshift/gateway/instances/cluster.h"
#include "carobshift/gateway/load/load_query_codec.h"
#include "carobshift/net/loopback_server.h"

namespace carobshift {
namespace {

constexpr std::uint16_t kPort = 21002;

// Loopback addresses that no other process uses: test processes run
// concurrently.
std::string HostOf(int number) {
  const int pid = getpid();
  return "127." + std::to_string(number + 100) + "." +
         std::to_string(pid >> 8 & 255) + "." + std::to_string(pid & 255);
}

struct Instance {
  Instance(EventLoop& loop, int number, const std::vector<MemberInfo>& members)
      : settings(SettingsOf(number)),
        cluster(loop, settings),
        datagrams(loop, settings, cluster),
        load_query_service(loop,
                           {Incarnation(static_cast<std::uint64_t>(number) + 1),
                            [&members] { return members; }},
                           datagrams,
                           load_tracker) {
    REQUIRE(datagrams.Start().ok());
  }

  static GatewaySettings SettingsOf(int number) {
    GatewaySettings settings;
    settings.entry = EntryId("entry-" + std::to_string(number));
    settings.host = HostOf(number);
    settings.peer_port = kPort;
    return settings;
  }

  GatewaySettings settings;
  Cluster cluster;
  PeerDatagrams datagrams;
  LoadTracker load_tracker;
  LoadQueryService load_query_service;
};

// Three of 20 instances run. With 20 members queries are active.
struct Fixture {
  Fixture() {
    for (int i = 0; i < 20; ++i) {
      MemberInfo& member = members.emplace_back();
      member.id = EntryId("entry-" + std::to_string(i));
      member.incarnation = Incarnation(static_cast<std::uint64_t>(i) + 1);
      member.host = HostOf(i);
      member.peer_port = kPort;
    }
    for (int i = 0; i < 3; ++i) {
      instances.push_back(std::make_unique<Instance>(loop, i, members));
      instances.back()->load_query_service.OnTick();
    }
  }

  // Returns an endpoint whose aggregator is the instance with this number.
  [[nodiscard]] EndpointId AggregatedBy(std::size_t number) const {
    for (int i = 0;; ++i) {
      const EndpointId id("engine-" + std::to_string(i));
      if (FindLoadAggregator(FastHash(id.value()), members)->id ==
          members[number].id)
        return id;
    }
  }
  Instance& at(std::size_t number) { return *instances[number]; }

  EventLoop loop;
  std::vector<MemberInfo> members;
  std::vector<std::unique_ptr<Instance>> instances;
};

CallerRequest Prompt() {
  CallerRequest request;
  request.prompt = PromptTraits{};
  request.prompt->prompt_tokens = 700;
  request.prompt->parts = {{"own", 700}};
  return request;
}

TEST_CASE(
    "what another instance has just sent is known before work is placed") {
  // Two instances get a long prompt within a few milliseconds. Without a query
  // both send it to the engine that was idle a second ago.
  Fixture fixture;
  const EndpointId engine = fixture.AggregatedBy(2);
  const auto footprint = RequestFootprint::Of(Prompt());
  fixture.at(0).load_tracker.OnStart(engine, footprint, 700);
  RunFor(fixture.loop, Milliseconds(5));
  bool done = false;
  fixture.at(1).load_query_service.Query({engine},
                                         [&](const auto&) { done = true; });
  RunUntil(fixture.loop, [&] { return done; });
  CHECK(fixture.at(1).load_tracker.Total(engine).prefill_tokens == Approx(700));
  // The answer leaves out the requester's own load.
  done = false;
  fixture.at(0).load_query_service.Query({engine},
                                         [&](const auto&) { done = true; });
  RunUntil(fixture.loop, [&] { return done; });
  CHECK(fixture.at(0).load_tracker.Total(engine).prefill_tokens == Approx(700));
}

TEST_CASE(
    "an endpoint that the requester aggregates itself needs no datagram") {
  Fixture fixture;
  const EndpointId engine = fixture.AggregatedBy(1);
  fixture.at(0).load_tracker.OnStart(engine, RequestFootprint::Of(Prompt()),
                                     700);
  RunFor(fixture.loop, Milliseconds(5));
  bool done = false;
  fixture.at(1).load_query_service.Query({engine},
                                         [&](const auto&) { done = true; });
  CHECK(done);
  CHECK(fixture.at(1).load_tracker.Total(engine).prefill_tokens == Approx(700));
}

TEST_CASE(
    "an aggregator that doesn't answer delays placement by the query timeout "
    "only") {
  // The aggregator is suspended, or has died and gossip hasn't reported it yet.
  // Without a timeout each prompt that could go to its engines would be late.
  Fixture fixture;
  const EndpointId unresponsive = fixture.AggregatedBy(7);
  const EndpointId engine = fixture.AggregatedBy(2);
  fixture.at(0).load_tracker.OnStart(engine, RequestFootprint::Of(Prompt()),
                                     700);
  RunFor(fixture.loop, Milliseconds(5));
  bool done = false;
  const MonotonicTime sent_at = MonotonicNow();
  std::vector<EndpointId> answered;
  fixture.at(1).load_query_service.Query({unresponsive, engine},
                                         [&](const auto& endpoints) {
                                           done = true;
                                           answered = endpoints;
                                         });
  CHECK_FALSE(done);
  RunUntil(fixture.loop, [&] { return done; });
  CHECK(MonotonicNow() - sent_at >= LoadQueryService::kQueryTimeout);
  // The endpoint without an answer would seem to be idle.
  CHECK(answered == std::vector<EndpointId>{engine});
  // The answer of the other aggregator is used.
  CHECK(fixture.at(1).load_tracker.Total(engine).prefill_tokens == Approx(700));
}

TEST_CASE("with nobody to ask work is placed at once") {
  Fixture fixture;
  bool done = false;
  fixture.at(0).load_query_service.Query({}, [&](const auto&) { done = true; });
  CHECK(done);
  fixture.members.resize(3);
  fixture.at(0).load_query_service.OnTick();
  CHECK_FALSE(fixture.at(0).load_query_service.active());
}

TEST_CASE("load messages round-trip, and malformed ones are refused") {
  const LoadUpdate update{Incarnation(5), 9, 77, {1500, 2, 900}};
  const auto decoded_update = DecodeLoadUpdate(EncodeLoadUpdate(update));
  REQUIRE(decoded_update.ok());
  CHECK(decoded_update.value().sender == update.sender);
  CHECK(decoded_update.value().sequence == 9);
  CHECK(decoded_update.value().load.prefill_tokens == Approx(900));
  const auto decoded_query =
      DecodeLoadQuery(EncodeLoadQuery({Incarnation(5), 3, {77, 78}}));
  REQUIRE(decoded_query.ok());
  CHECK(decoded_query.value().endpoints == std::vector<std::uint64_t>{77, 78});
  const auto decoded_answer =
      DecodeLoadAnswer(EncodeLoadAnswer({3, {{77, {1500, 2, 900}}}}));
  REQUIRE(decoded_answer.ok());
  CHECK(decoded_answer.value().number == 3);
  CHECK(decoded_answer.value().loads.at(77).tokens == Approx(1500));
  // The datagram has other contents or was truncated.
  const std::string cut = EncodeLoadUpdate(update).substr(0, 20);
  CHECK_FALSE(DecodeLoadUpdate(cut).ok());
  CHECK_FALSE(DecodeLoadQuery("x").ok());
  CHECK_FALSE(DecodeLoadAnswer("").ok());
}

}  // namespace
}  // namespace carobshift
