#include "carobshift/routing/router.h"

#include <catch2/catch.hpp>
#include <string>

#include "carobshift/routing/endpoint_health.h"

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(1000)};

std::vector<EndpointLoad> Idle(int count) {
  std::vector<EndpointLoad> loads(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    loads[static_cast<std::size_t>(i)].id =
        EndpointId("engine-" + std::to_string(i));
  return loads;
}

RoutingInput Dossier(const std::vector<EndpointLoad>& loads) {
  RoutingInput input;
  input.request.prompt_tokens = 8000;
  input.request.request_hash = 7;
  input.endpoints = loads;
  return input;
}

TEST_CASE("the holder of the blocks is chosen unless its queue costs more") {
  std::vector<EndpointLoad> loads = Idle(12);
  const std::vector<CacheHit> hits = {{.endpoint = 5, .cached = 7936}};
  RoutingInput input = Dossier(loads);
  input.hits = hits;
  RoutingChoice choice = ChooseLeastExpectedTime(input);
  CHECK(choice.endpoint == 5);
  CHECK(choice.prefill == 64);

  loads[5].own_pending_prefill = 16000;
  choice = ChooseLeastExpectedTime(input);
  CHECK(choice.endpoint != 5);
  CHECK(choice.prefill == 8000);
}

TEST_CASE("an import is used only if the link beats the recompute") {
  const std::vector<EndpointLoad> loads = Idle(3);
  std::vector<ImportOption> imports = {
      {.tokens = 7936, .bytes = 1 << 30, .link_time = Milliseconds(400)}};
  RoutingInput input = Dossier(loads);
  input.imports = imports;
  CHECK(ChooseLeastExpectedTime(input).import == 0);
  imports[0].link_time = Milliseconds(4000);
  CHECK_FALSE(ChooseLeastExpectedTime(input).import);
}

// All callers ask about the same route rules, so one endpoint holds the
// prompt's blocks. Routing by prefix alone would queue all requests there while
// other endpoints idle.
TEST_CASE("a hot prefix spreads when its holder is fuller than the others") {
  std::vector<EndpointLoad> loads = Idle(12);
  const std::vector<CacheHit> hits = {{.endpoint = 0, .cached = 7936}};
  loads[0].reported_running = 14;
  RoutingInput input = Dossier(loads);
  input.hits = hits;
  CHECK(ChooseLeastExpectedTime(input).endpoint != 0);
}

TEST_CASE("own work since the report counts on top of it") {
  EndpointLoad load;
  load.reported_running = 10;
  load.own_at_report = 4;
  load.own_in_progress = 9;
  CHECK(EstimatedInProgress(load) == 15);
}

TEST_CASE("excluded endpoints are chosen by no strategy") {
  const std::vector<EndpointLoad> loads = Idle(2);
  RoutingInput input = Dossier(loads);
  input.request.excluded = {0};
  for (const RoutingStrategy& strategy : RoutingStrategies())
    CHECK(strategy.choose(input).endpoint == 1);
  input.request.excluded = {0, 1};
  for (const RoutingStrategy& strategy : RoutingStrategies())
    CHECK_FALSE(strategy.choose(input).found());
}

TEST_CASE("an ejected endpoint gets work only if there is no other") {
  std::vector<EndpointLoad> loads = Idle(2);
  loads[0].health = EndpointHealth::kEjected;
  CHECK(ChooseLeastExpectedTime(Dossier(loads)).endpoint == 1);
  loads[1].health = EndpointHealth::kEjected;
  CHECK(ChooseLeastExpectedTime(Dossier(loads)).found());
}

class Fleet {
 public:
  Fleet() {
    for (int i = 0; i < 8; ++i)
      ids.emplace_back("engine-" + std::to_string(i));
    tracker.Retain(ids);
  }

  void AnswerAll(double slow_factor) {
    for (std::size_t i = 0; i < ids.size(); ++i) {
      const double factor = i == 0 ? slow_factor : 1;
      tracker.OnFirstToken(
          ids[i], Microseconds(static_cast<std::int64_t>(1e5 * factor)),
          Microseconds(100000), SampleKind::kOrdinary, kStart);
    }
  }

  std::vector<EndpointId> ids;
  EndpointHealthTracker tracker{EndpointHealthOptions{}};
};

// One endpoint answers ten times slower than its peers. Callers sent to it wait
// for seconds instead of tenths of a second.
TEST_CASE("a slow endpoint is ejected, probed and brought back") {
  Fleet fleet;
  for (int i = 0; i < 3; ++i)
    fleet.AnswerAll(10);
  const EndpointId& slow = fleet.ids[0];
  CHECK(fleet.tracker.HealthOf(slow, kStart) == EndpointHealth::kEjected);
  CHECK(fleet.tracker.HealthOf(fleet.ids[1], kStart) ==
        EndpointHealth::kHealthy);

  const MonotonicTime later = kStart + Milliseconds(1000);
  CHECK(fleet.tracker.HealthOf(slow, later) == EndpointHealth::kProbeDue);
  fleet.tracker.OnProbeSent(slow, later);
  CHECK(fleet.tracker.HealthOf(slow, later) == EndpointHealth::kEjected);
  for (int i = 0; i < 2; ++i)
    fleet.tracker.OnFirstToken(slow, Milliseconds(100), Milliseconds(100),
                               SampleKind::kProbe, later);
  CHECK(fleet.tracker.HealthOf(slow, later) == EndpointHealth::kHealthy);
}

TEST_CASE("when all are slow none is ejected") {
  Fleet fleet;
  for (int i = 0; i < 20; ++i) {
    for (const EndpointId& id : fleet.ids)
      fleet.tracker.OnFirstToken(id, Milliseconds(900), Milliseconds(100),
                                 SampleKind::kOrdinary, kStart);
  }
  for (const EndpointId& id : fleet.ids)
    CHECK(fleet.tracker.HealthOf(id, kStart) == EndpointHealth::kHealthy);
}

TEST_CASE("at most half of the endpoints are ejected by stalls") {
  Fleet fleet;
  int ejected = 0;
  for (const EndpointId& id : fleet.ids) {
    fleet.tracker.OnStall(id, SampleKind::kOrdinary, kStart);
    ejected +=
        fleet.tracker.HealthOf(id, kStart) == EndpointHealth::kEjected ? 1 : 0;
  }
  CHECK(ejected == 4);
}

}  // namespace
}  // namespace carobshift
