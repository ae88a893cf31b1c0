#include "carobshift/gateway/endpoints/endpoint_registry.h"

#include <catch2/catch.hpp>
#include <string>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};

const ServiceName kEngines("engines");

EndpointRecord RecordOf(const std::string& id) {
  EndpointRecord record;
  record.id = EndpointId(id);
  record.service = kEngines;
  record.address = {"10.0.0.1", 80};
  return record;
}

TEST_CASE("an entry that ran out during an outage stays until it may be back") {
  // The log was down for longer than three heartbeats, and all entries expired
  // although their endpoints are alive. If they were removed, callers would be
  // refused for a second or two just as the log returns.
  EndpointRegistry registry;
  registry.Put(RecordOf("e1"), kStart);
  registry.Remove(EndpointId("e1"), RemovalCause::kExpiredDuringOutage, kStart);
  CHECK(registry.Find(EndpointId("e1")) != nullptr);
  SECTION("and is gone if it doesn't come back") {
    registry.Expire(kStart + EndpointRegistry::kOutageGracePeriod);
    CHECK(registry.Find(EndpointId("e1")) == nullptr);
  }
  SECTION("and stays if it does") {
    registry.Put(RecordOf("e1"), kStart + Milliseconds(500));
    registry.Expire(kStart + EndpointRegistry::kOutageGracePeriod);
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

}  // namespace
}  // namespace carobshift
