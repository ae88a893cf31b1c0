#include "carobshift/gateway/gateway_state.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "carobshift/gateway/stub_dialects.h"

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};

constexpr char kLeaving[] = "leaving";

class ListDialect : public StubLogDialect {
 public:
  [[nodiscard]] Result<EndpointRecord> DecodeEndpointRecord(
      const std::string& key,
      std::string_view value) const override {
    EndpointRecord record;
    record.id = EndpointId(key);
    record.leaving = value == kLeaving;
    record.software = SoftwareVersion(std::string(value));
    return record;
  }
};

struct EndpointRecordsFixture {
  void Write(const std::string& id,
             MonotonicTime now,
             const std::string& value = "") {
    records.OnRecord({.key = id, .value = value, .offset = LogOffset(++offset)},
                     now);
  }
  [[nodiscard]] bool Serves(const std::string& id) const {
    const EndpointRecord* const record = registry.Find(EndpointId(id));
    return record != nullptr && !record->leaving;
  }
  void Remove(const std::string& id, MonotonicTime now) {
    records.OnRecord(
        {.key = id, .value = std::nullopt, .offset = LogOffset(++offset)}, now);
  }
  [[nodiscard]] bool Knows(const std::string& id, MonotonicTime now) {
    records.Expire(now);
    return registry.Find(EndpointId(id)) != nullptr;
  }

  ListDialect dialect;
  GatewayStateListener listener{
      .on_config = [](auto) {},
      .on_weights = [](const auto&, NamingAge) {},
      .on_endpoints = [] {},
      .on_evacuation = [](const auto&, bool) {},
      .on_cold_endpoint = [](const auto&) {},
  };
  EndpointRegistry registry;
  EndpointRecords records{dialect, registry, listener};
  std::uint64_t offset = 0;
};

// Guards against "the service has had one version only" said by an instance
// that may have missed an endpoint of another one.
TEST_CASE("it is known since when the endpoints' records were followed") {
  EndpointRecordsFixture fixture;
  constexpr Milliseconds kSpan{1000};
  const auto sole = [&](MonotonicTime now) {
    return fixture.registry.software_history()
        .SoleVersion(ServiceName(), kSpan, now)
        .has_value();
  };
  fixture.Write("e1", kStart);
  CHECK_FALSE(sole(kStart + kSpan));
  fixture.records.OnSnapshot({"e1"}, kStart);
  CHECK_FALSE(sole(kStart));
  CHECK(sole(kStart + kSpan));
  const MonotonicTime later = kStart + 2 * kSpan;
  SECTION("a removal of an endpoint that was never listed") {
    fixture.Remove("e2", later);
    CHECK_FALSE(sole(later));
  }
  SECTION("a snapshot after records were lost") {
    fixture.records.OnSnapshot({"e1"}, later);
    CHECK_FALSE(sole(later));
  }
  SECTION("two removals of an endpoint that was listed") {
    fixture.Write("e2", kStart + kSpan);
    fixture.Remove("e2", kStart + kSpan);
    fixture.Remove("e2", later);
    CHECK(sole(later));
  }
}

// Guards against a version that is taken for long gone, as its endpoint was
// listed again and removed while an instance was out of step and saw the second
// removal only.
TEST_CASE("an endpoint that came back unseen counts with its version") {
  EndpointRecordsFixture fixture;
  constexpr Milliseconds kSpan{1000};
  const auto sole = [&](MonotonicTime now) {
    return fixture.registry.software_history().SoleVersion(ServiceName(), kSpan,
                                                           now);
  };
  fixture.Write("e1", kStart, "v1");
  fixture.Write("e2", kStart, "v2");
  fixture.records.OnSnapshot({"e1", "e2"}, kStart);
  fixture.Remove("e2", kStart);
  const MonotonicTime later = kStart + 2 * kSpan;
  CHECK(sole(later) == SoftwareVersion("v1"));
  fixture.Remove("e2", later);
  CHECK_FALSE(sole(later).has_value());
  CHECK(sole(later + kSpan) == SoftwareVersion("v1"));
  CHECK_FALSE(fixture.Knows("e2", later));
}

TEST_CASE("the first records of a deployment show all that there ever was") {
  EndpointRecordsFixture fixture;
  EndpointRecords records(fixture.dialect, fixture.registry, fixture.listener,
                          /*shows_all_until=*/kStart + Seconds(5));
  const MonotonicTime read = kStart + GENERATE(Seconds(4), Seconds(6));
  records.OnRecord({.key = "e1", .value = "", .offset = LogOffset(1)}, read);
  records.OnSnapshot({"e1"}, read);
  CHECK(fixture.registry.software_history()
            .SoleVersion(ServiceName(), Seconds(30), read)
            .has_value() == (read <= kStart + Seconds(5)));
}

TEST_CASE("an entry still missing two seconds after a log outage is removed") {
  // Guards against routing to an endpoint that has stopped. The log was
  // unreachable from this instance. An endpoint stops without announcing it, as
  // some do, and its entry is removed just before the end of the two seconds in
  // which entries may reappear. Two further seconds of grace would send it
  // requests until half a second after the last time at which it must accept
  // any.
  EndpointRecordsFixture fixture;
  fixture.Write("e1", kStart);
  fixture.Write("e2", kStart);
  fixture.records.OnLogLost("away");
  fixture.records.OnLogRecovered(Seconds(5), kStart + Seconds(5));
  const MonotonicTime end =
      kStart + Seconds(5) + EndpointRegistry::kOutageGracePeriod;
  fixture.Remove("e1", end - Milliseconds(100));
  CHECK(fixture.Knows("e1", end - Milliseconds(1)));
  CHECK_FALSE(fixture.Knows("e1", end));
  CHECK(fixture.Knows("e2", end));
}

TEST_CASE("an entry missing from the snapshot after a log outage is removed") {
  EndpointRecordsFixture fixture;
  fixture.Write("e1", kStart);
  fixture.Write("e2", kStart);
  fixture.records.OnLogLost("away");
  fixture.records.OnLogRecovered(Seconds(5), kStart + Seconds(5));
  const MonotonicTime end =
      kStart + Seconds(5) + EndpointRegistry::kOutageGracePeriod;
  fixture.records.OnSnapshot({"e2"}, end - Milliseconds(100));
  CHECK(fixture.Knows("e1", end - Milliseconds(1)));
  CHECK_FALSE(fixture.Knows("e1", end));
  CHECK(fixture.Knows("e2", end));
}

// Guards against requests to an endpoint that leaves: the log writes one of its
// heartbeats late, after the record in which it said so.
TEST_CASE(
    "a heartbeat that is written late doesn't undo that its endpoint leaves") {
  EndpointRecordsFixture fixture;
  fixture.Write("e1", kStart);
  CHECK(fixture.Serves("e1"));
  fixture.Write("e1", kStart, kLeaving);
  fixture.Write("e1", kStart);
  CHECK_FALSE(fixture.Serves("e1"));
  SECTION("or that it is gone") {
    fixture.Remove("e1", kStart);
    fixture.Write("e1", kStart);
    CHECK_FALSE(fixture.Serves("e1"));
  }
}

class EvacuationDialect : public StubLogDialect {
 public:
  [[nodiscard]] std::optional<ZoneName> EvacuatedZone(
      std::string_view key) const override {
    if (!key.starts_with("evacuate/"))
      return std::nullopt;
    return ZoneName(std::string(key.substr(9)));
  }
};

struct EvacuationFixture {
  void Write(const std::string& key) {
    records.OnRecord({.key = key, .value = "{}", .offset = LogOffset(1)},
                     kStart);
  }
  void Remove(const std::string& key) {
    records.OnRecord(
        {.key = key, .value = std::nullopt, .offset = LogOffset(2)}, kStart);
  }

  EvacuationDialect dialect;
  std::vector<std::pair<ZoneName, bool>> changes;
  GatewayStateListener listener{
      .on_config = [](auto) {},
      .on_weights = [](const auto&, NamingAge) {},
      .on_endpoints = [] {},
      .on_evacuation =
          [this](const auto& zone, bool evacuated) {
            changes.emplace_back(zone, evacuated);
          },
      .on_cold_endpoint = [](const auto&) {},
  };
  ZoneEvacuations evacuations;
  OperatorRecords records{dialect, evacuations, listener};
};

TEST_CASE("an evacuation lasts from its record to the record's removal") {
  EvacuationFixture fixture;
  fixture.Write("evacuate/a");
  fixture.Write("evacuate/a");
  fixture.Write("evacuate/b");
  CHECK(fixture.evacuations.all().size() == 2);
  fixture.Remove("evacuate/a");
  fixture.Remove("evacuate/c");
  CHECK_FALSE(fixture.evacuations.Contains(ZoneName("a")));
  CHECK(fixture.changes ==
        std::vector<std::pair<ZoneName, bool>>{{ZoneName("a"), true},
                                               {ZoneName("b"), true},
                                               {ZoneName("a"), false}});
}

// Guards against a zone that stays evacuated since the log dropped the record
// of the end before this instance read it.
TEST_CASE("an evacuation whose record is not in the snapshot has ended") {
  EvacuationFixture fixture;
  fixture.Write("evacuate/a");
  fixture.Write("evacuate/b");
  fixture.records.OnSnapshot({"config", "evacuate/b"}, kStart);
  CHECK_FALSE(fixture.evacuations.Contains(ZoneName("a")));
  CHECK(fixture.evacuations.Contains(ZoneName("b")));
}

}  // namespace
}  // namespace carobshift
