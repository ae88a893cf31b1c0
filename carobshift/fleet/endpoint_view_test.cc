#include "carobshift/fleet/endpoint_view.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

constexpr MonotonicTime kStart{Seconds(1000)};

ListedInstance Engine(const std::string& id,
                      InstanceState state = InstanceState::kLive) {
  return {.id = id,
          .kind = InstanceKind::kEngine,
          .state = state,
          .pool = PoolName("gpu"),
          .zone = ZoneName("zone-a"),
          .address = {"127.0.0.1", 9000}};
}

EngineStatus Ready(std::uint64_t incarnation = 1) {
  EngineStatus status;
  status.incarnation = incarnation;
  status.state = EngineState::kReady;
  status.model = ModelName("m");
  status.role = ServiceName("assistant");
  return status;
}

ServiceSpec Assistant() {
  ServiceSpec service;
  service.name = ServiceName("assistant");
  service.pool = PoolName("gpu");
  service.model = ModelName("m");
  return service;
}

const EndpointId kEngine("engine-1");

struct Fixture {
  EndpointView view;
  MonotonicTime now = kStart;

  Fixture() {
    view.OnList({Engine("engine-1")}, now);
    view.OnStatus(kEngine, Ready(), now);
  }
  bool TakesWork() const {
    return !view.EligibleEndpoints(Assistant(), now).empty();
  }
};

TEST_CASE_METHOD(Fixture, "a ready engine of the service takes work") {
  CHECK(TakesWork());
  ServiceSpec other = Assistant();
  other.name = ServiceName("reviews");
  CHECK(view.EligibleEndpoints(other, now).empty());
}

// The platform replaces an instance. Requests sent to it would be cut off when
// it stops.
TEST_CASE_METHOD(Fixture, "each source of leaving suffices") {
  SECTION("the list") {
    view.OnList({Engine("engine-1", InstanceState::kLeaving)}, now);
  }
  SECTION("its own answer") {
    EngineStatus status = Ready();
    status.state = EngineState::kLeaving;
    view.OnStatus(kEngine, status, now);
  }
  SECTION("a peer's gossip") {
    view.OnFacts({"engine-1"}, {}, now);
  }
  SECTION("a drain for an order") {
    view.OnFacts({}, {"engine-1"}, now);
  }
  CHECK_FALSE(TakesWork());
}

// An older copy of the list reports a leaving instance as live.
TEST_CASE_METHOD(Fixture, "an older list does not undo leaving") {
  view.OnList({Engine("engine-1", InstanceState::kLeaving)}, now);
  now += Seconds(1);
  view.OnList({Engine("engine-1")}, now);
  CHECK_FALSE(TakesWork());
  view.OnStatus(kEngine, Ready(2), now);
  CHECK(TakesWork());
}

// The engine's machine dies while the list still reports it for some time.
TEST_CASE_METHOD(Fixture, "a silent engine takes no work until it answers") {
  view.OnFailure(kEngine, now);
  CHECK(TakesWork());
  view.OnFailure(kEngine, now);
  CHECK_FALSE(TakesWork());
  view.OnStatus(kEngine, Ready(), now + Seconds(1));
  CHECK(TakesWork());
}

TEST_CASE_METHOD(Fixture,
                 "an answering engine outlives its place in the list") {
  for (int second = 1; second <= 20; ++second) {
    now = kStart + Seconds(second);
    view.OnStatus(kEngine, Ready(), now);
    view.OnList({}, now);
    CHECK(TakesWork());
  }
  view.OnList({}, now + EndpointView::kUnlistedLife);
  CHECK(view.size() == 0);
}

TEST_CASE_METHOD(Fixture,
                 "answers that arrive in the other order are dropped") {
  EngineStatus loading = Ready();
  loading.state = EngineState::kLoading;
  view.OnStatus(kEngine, loading, now + Seconds(1));
  view.OnStatus(kEngine, Ready(), now);
  CHECK_FALSE(TakesWork());
}

}  // namespace
}  // namespace carobshift
