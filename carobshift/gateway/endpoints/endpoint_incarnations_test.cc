#include "carobshift/gateway/endpoints/endpoint_incarnations.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <limits>
#include <string>

namespace carobshift {
namespace {

const MonotonicTime kNow{Seconds(100)};
const EndpointId kEndpoint("e1");

EndpointRecord Heartbeat(std::uint64_t number, std::int64_t start_time = 1) {
  EndpointRecord record;
  record.id = kEndpoint;
  record.start_time = EndpointStartTime(start_time);
  record.heartbeat = HeartbeatNumber(number);
  return record;
}

EndpointRecord Leaving(std::uint64_t number, std::int64_t start_time = 1) {
  EndpointRecord record = Heartbeat(number, start_time);
  record.leaving = true;
  return record;
}

// Guards against requests to an endpoint that leaves, after a heartbeat that it
// sent before and that the log wrote late.
TEST_CASE("a heartbeat from before its endpoint left is out of date") {
  EndpointIncarnations incarnations;
  incarnations.OnRecord(Heartbeat(7), kNow);
  incarnations.OnRecord(Leaving(9), kNow);
  CHECK(incarnations.OnRecord(Heartbeat(8), kNow) ==
        RecordStanding::kBeforeLeaving);
  SECTION("also after its entry is gone") {
    incarnations.OnRemoved(kEndpoint);
    CHECK(incarnations.OnRecord(Heartbeat(8), kNow) ==
          RecordStanding::kBeforeLeaving);
  }
  SECTION("but not for the next incarnation") {
    CHECK(incarnations.OnRecord(Heartbeat(1, 2), kNow) ==
          RecordStanding::kCurrent);
    CHECK(incarnations.OnRecord(Leaving(11), kNow) ==
          RecordStanding::kOlderIncarnation);
  }
  SECTION("for a record without a heartbeat's number too") {
    EndpointRecord record = Heartbeat(0);
    record.heartbeat.reset();
    CHECK(incarnations.OnRecord(record, kNow) ==
          RecordStanding::kBeforeLeaving);
  }
}

// Guards against requests to an endpoint that has withdrawn its entry, after a
// late copy of its last heartbeat.
TEST_CASE("a heartbeat from before the entry's removal is out of date") {
  EndpointIncarnations incarnations;
  incarnations.OnRecord(Heartbeat(7), kNow);
  CHECK(incarnations.OnRecord(Heartbeat(7), kNow) == RecordStanding::kCurrent);
  incarnations.OnRemoved(kEndpoint);
  CHECK(incarnations.OnRecord(Heartbeat(7), kNow) ==
        RecordStanding::kBeforeRemoval);
}

// Guards against a live endpoint that is lost, as its entry expired while the
// log was away.
TEST_CASE("an entry that comes back with a later heartbeat is current") {
  EndpointIncarnations incarnations;
  incarnations.OnRecord(Heartbeat(7), kNow);
  incarnations.OnRemoved(kEndpoint);
  CHECK(incarnations.OnRecord(Heartbeat(8), kNow) == RecordStanding::kCurrent);
}

// Guards against a sound endpoint that is kept out for good, as another writer
// has left an entry under its id: the log appends the endpoint's next
// heartbeat, which corrects the entry, and no further one.
TEST_CASE("an endpoint's next heartbeat corrects another writer's entry") {
  constexpr std::uint64_t kHuge = std::numeric_limits<std::int64_t>::max();
  EndpointIncarnations incarnations;
  incarnations.OnRecord(Heartbeat(7), kNow);
  SECTION("with a huge number") {
    incarnations.OnRecord(Heartbeat(kHuge), kNow);
  }
  SECTION("that says that the endpoint leaves") {
    incarnations.OnRecord(Leaving(0), kNow);
  }
  CHECK(incarnations.OnRecord(Heartbeat(8), kNow) == RecordStanding::kCurrent);
  CHECK(incarnations.LastHeartbeat(kEndpoint) == HeartbeatNumber(8));
}

TEST_CASE("endpoints are forgotten only when many are known") {
  EndpointIncarnations incarnations;
  incarnations.OnRecord(Leaving(1), kNow);
  const MonotonicTime later = kNow + EndpointIncarnations::kKeepTime;
  for (std::size_t i = 0; i + 1 < EndpointIncarnations::kMaxKnown; ++i) {
    EndpointRecord record = Heartbeat(1);
    record.id = EndpointId("other" + std::to_string(i));
    incarnations.OnRecord(record, later);
  }
  CHECK(incarnations.LastRecord(kEndpoint) != nullptr);
  EndpointRecord one_more = Heartbeat(1);
  one_more.id = EndpointId("one more");
  incarnations.OnRecord(one_more, later);
  CHECK(incarnations.LastRecord(kEndpoint) == nullptr);
  CHECK(incarnations.LastRecord(one_more.id) != nullptr);
}

}  // namespace
}  // namespace carobshift
