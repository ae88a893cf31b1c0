#include "carobshift/gateway/gateway_state.h"

#include <catch2/catch.hpp>
#include <string>

#include "carobshift/gateway/silent_dialects.h"

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};

class ListDialect : public SilentLogDialect {
 public:
  [[nodiscard]] Result<EndpointRecord> DecodeEndpointRecord(
      const std::string& key,
      std::string_view) const override {
    EndpointRecord record;
    record.id = EndpointId(key);
    return record;
  }
};

struct Scene {
  void Write(const std::string& id, MonotonicTime now) {
    records.OnRecord({.key = id, .value = "", .offset = LogOffset(++offset)},
                     now);
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
      .on_weights = [](const auto&, NamingTime) {},
      .on_endpoints = [] {},
  };
  EndpointRegistry registry;
  EndpointRecords records{dialect, registry, listener};
  std::uint64_t offset = 0;
};

TEST_CASE("what is missing two seconds after the log's return is gone") {
  // The log was away from this instance. An endpoint stops, as some do, without
  // a word before, and its entry goes just before the two seconds are over in
  // which entries may come back. Kept for two more, it would be sent requests
  // up to half a second after the last moment at which it must take any.
  Scene scene;
  scene.Write("e1", kStart);
  scene.Write("e2", kStart);
  scene.records.OnLogLost("away");
  scene.records.OnLogBack(Seconds(5), kStart + Seconds(5));
  const MonotonicTime end =
      kStart + Seconds(5) + EndpointRegistry::kReturnGrace;
  scene.Remove("e1", end - Milliseconds(100));
  CHECK(scene.Knows("e1", end - Milliseconds(1)));
  CHECK_FALSE(scene.Knows("e1", end));
  CHECK(scene.Knows("e2", end));
}

TEST_CASE("the same where the log has dropped its history meanwhile") {
  Scene scene;
  scene.Write("e1", kStart);
  scene.Write("e2", kStart);
  scene.records.OnLogLost("away");
  scene.records.OnLogBack(Seconds(5), kStart + Seconds(5));
  const MonotonicTime end =
      kStart + Seconds(5) + EndpointRegistry::kReturnGrace;
  scene.records.OnSnapshot({"e2"}, end - Milliseconds(100));
  CHECK(scene.Knows("e1", end - Milliseconds(1)));
  CHECK_FALSE(scene.Knows("e1", end));
  CHECK(scene.Knows("e2", end));
}

}  // namespace
}  // namespace carobshift
