#include "carobshift/fleet/fleet_planner.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "carobshift/fleet/fleet_facts.h"

namespace carobshift {
namespace {

constexpr MonotonicTime kStart{Seconds(1000)};
const FencingNumber kNumber{7};

ServiceSpec Service(const std::string& name, int replicas, int floor) {
  ServiceSpec service;
  service.name = ServiceName(name);
  service.pool = PoolName("gpu");
  service.replicas = replicas;
  service.floor = floor;
  service.model = ModelName("m-" + name);
  service.weights = WeightVersion("v1");
  return service;
}

struct Fixture {
  Declaration declaration;
  std::vector<ObservedEndpoint> engines;
  FleetPlanner planner{FleetOptions{}};
  MonotonicTime now = kStart;

  Fixture() {
    declaration.pools.push_back({.name = PoolName("gpu"),
                                 .kind = ServiceKind::kModel,
                                 .checks_fencing = false});
    declaration.services.push_back(Service("assistant", 3, 2));
    planner.BeginLeaseTerm(now);
    now += FleetPlanner::kDrainSettle;
  }

  ObservedEndpoint& Add(const std::string& id, const ServiceSpec* service) {
    ObservedEndpoint engine{.id = EndpointId(id), .pool = PoolName("gpu")};
    engine.status.emplace();
    engine.status_asked = now;
    if (service != nullptr) {
      engine.status->state = EngineState::kReady;
      engine.status->role = service->name;
      engine.status->model = service->model;
      engine.status->version = service->weights;
    }
    engines.push_back(engine);
    return engines.back();
  }
  void AddAll(int serving, int idle) {
    for (int i = 0; i < serving; ++i)
      Add("engine-" + std::to_string(i), &declaration.services[0]);
    for (int i = 0; i < idle; ++i)
      Add("idle-" + std::to_string(i), nullptr);
  }
  FleetPlan Plan() {
    for (ObservedEndpoint& engine : engines)
      engine.status_asked = now;
    return planner.Plan(declaration, engines, {}, kNumber, now);
  }
};

TEST_CASE_METHOD(Fixture, "a settled fleet gets no orders") {
  AddAll(3, 2);
  const FleetPlan plan = Plan();
  CHECK(plan.orders.empty());
  CHECK(plan.drains.empty());
  CHECK(plan.waits.empty());
}

// An engine is lost. Without an order the service stays short of replicas until
// an operator intervenes.
TEST_CASE_METHOD(Fixture, "a missing replica is loaded on an idle engine") {
  AddAll(2, 2);
  const FleetPlan plan = Plan();
  REQUIRE(plan.orders.size() == 1);
  CHECK(plan.orders[0].order.kind == OrderKind::kLoad);
  CHECK(plan.orders[0].order.fencing == kNumber);
  CHECK_FALSE(plan.orders[0].reason.empty());
  planner.OnOrderSent(plan.orders[0], now);
  CHECK(Plan().orders.empty());
}

TEST_CASE_METHOD(Fixture, "no more than two engines load at once") {
  AddAll(0, 3);
  CHECK(Plan().orders.size() == 2);
}

TEST_CASE_METHOD(Fixture, "dependencies are restored first") {
  declaration.services[0].depends_on = {ServiceName("base")};
  declaration.services.push_back(Service("base", 1, 1));
  AddAll(0, 4);
  const FleetPlan plan = Plan();
  REQUIRE(plan.orders.size() == 1);
  CHECK(plan.orders[0].order.role == ServiceName("base"));
}

// A swap that does not wait cuts off the streams running on the engine.
TEST_CASE_METHOD(Fixture, "a swap drains, waits, orders and admits again") {
  AddAll(3, 0);
  declaration.services[0].weights = WeightVersion("v2");
  FleetPlan plan = Plan();
  REQUIRE(plan.drains.size() == 1);
  CHECK(plan.orders.empty());
  ObservedEndpoint& swapped = engines[0];
  CHECK(plan.drains[0].endpoint == swapped.id);

  swapped.draining_since = now;
  swapped.status->running = 1;
  now += Seconds(10);
  plan = Plan();
  CHECK(plan.drains.size() == 1);
  CHECK(plan.orders.empty());

  swapped.status->running = 0;
  plan = Plan();
  REQUIRE(plan.orders.size() == 1);
  CHECK(plan.orders[0].order.version == WeightVersion("v2"));
  planner.OnOrderSent(plan.orders[0], now);

  now += Seconds(1);
  swapped.status->state = EngineState::kLoading;
  CHECK(Plan().drains.size() == 1);
  now += Seconds(1);
  swapped.status->state = EngineState::kReady;
  swapped.status->version = WeightVersion("v2");
  plan = Plan();
  const bool still_drained = std::any_of(
      plan.drains.begin(), plan.drains.end(),
      [&](const FleetDrain& drain) { return drain.endpoint == swapped.id; });
  CHECK_FALSE(still_drained);
}

TEST_CASE_METHOD(Fixture, "a swap at the floor uses an extra replica") {
  declaration.services[0].floor = 3;
  AddAll(3, 1);
  declaration.services[0].weights = WeightVersion("v2");
  FleetPlan plan = Plan();
  CHECK(plan.drains.empty());
  REQUIRE(plan.orders.size() == 1);
  CHECK(plan.orders[0].endpoint == EndpointId("idle-0"));

  engines.pop_back();
  planner = FleetPlanner(FleetOptions{});
  plan = Plan();
  CHECK(plan.orders.empty());
  CHECK(plan.drains.empty());
  CHECK(plan.waits.size() == 1);
}

// Two more replicas die while one drains for a swap.
TEST_CASE_METHOD(Fixture, "a drain is given up when replicas are lost") {
  AddAll(3, 0);
  declaration.services[0].weights = WeightVersion("v2");
  engines[0].draining_since = now;
  engines[1].status.reset();
  now += Seconds(5);
  CHECK(Plan().drains.empty());
}

TEST_CASE_METHOD(Fixture, "surplus replicas are drained and freed") {
  AddAll(4, 0);
  FleetPlan plan = Plan();
  REQUIRE(plan.drains.size() == 1);
  engines[0].draining_since = now;
  now += Seconds(10);
  plan = Plan();
  REQUIRE(plan.orders.size() == 1);
  CHECK(plan.orders[0].order.kind == OrderKind::kUnload);
}

// A previous holder's order may still be in flight when a new lease term
// begins.
TEST_CASE_METHOD(Fixture, "a new holder raises the fencing number first") {
  declaration.pools[0].checks_fencing = true;
  AddAll(2, 1);
  FleetPlan plan = Plan();
  REQUIRE(plan.orders.size() == 3);
  CHECK(plan.orders[0].order.kind == OrderKind::kSetRole);
  for (ObservedEndpoint& engine : engines)
    engine.status->fencing = kNumber;
  plan = Plan();
  REQUIRE(plan.orders.size() == 1);
  CHECK(plan.orders[0].order.kind == OrderKind::kLoad);
}

TEST_CASE("drains are refreshed under one version and then withdrawn") {
  DrainFacts drains;
  const std::vector<FleetDrain> wanted = {
      {.endpoint = EndpointId("engine-1"), .reason = "swap"}};
  const auto first = drains.Update(wanted, {}, kNumber);
  const auto again = drains.Update(wanted, {"engine-1"}, kNumber);
  REQUIRE(first.size() == 1);
  CHECK(first == again);
  const auto withdrawn = drains.Update({}, {"engine-1"}, kNumber);
  REQUIRE(withdrawn.size() == 1);
  CHECK_FALSE(withdrawn[0].active);
  CHECK(withdrawn[0].version > first[0].version);
}

}  // namespace
}  // namespace carobshift
