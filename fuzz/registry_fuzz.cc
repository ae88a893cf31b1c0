// Fuzzes the instance list as one process reads it, while endpoints start,
// leave, crash, restart under the same id and write malformed entries, and
// while the log is unavailable or has dropped its history. The oracle knows the
// endpoints.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/gateway/endpoints/endpoint_registry.h"
#include "carobshift/gateway/gateway_state.h"
#include "carobshift/gateway/stub_dialects.h"
#include "fuzz/simulation.h"

namespace carobshift {
namespace {

constexpr Milliseconds kHeartbeat{500};
constexpr Milliseconds kEntryTtl{1500};
const Milliseconds kMaxRewriteDelay{1900};

// A record's value is the endpoint's birth, or malformed text.
class ListDialect : public StubLogDialect {
 public:
  [[nodiscard]] Result<EndpointRecord> DecodeEndpointRecord(
      const std::string& key,
      std::string_view value) const override {
    if (value == "broken")
      return Unsupported();
    EndpointRecord record;
    record.id = EndpointId(key);
    record.start_time = EndpointStartTime(std::stoll(std::string(value)));
    return record;
  }
};

class World {
 public:
  explicit World(std::uint64_t seed) : simulation_(seed) {
    for (int i = 0; i < 6; ++i)
      Start("e" + std::to_string(i));
    CheckPeriodically();
  }

  std::vector<std::string> Run() {
    constexpr int kSteps = 60;
    for (int step = 0; step < kSteps; ++step) {
      InjectFault();
      simulation_.RunFor(
          simulation_.random().Between(Milliseconds(20), Milliseconds(900)));
    }
    if (log_lost_since_)
      RestoreLog();
    simulation_.RunFor(Seconds(5));
    CheckConverged();
    return violations_;
  }

 private:
  struct Endpoint {
    std::int64_t start_time = 0;
    bool alive = true;
    // Its entry expired while the log was unavailable.
    bool entry_expired = false;
  };

  SeededRandom& random() { return simulation_.random(); }

  void InjectFault() {
    const std::string id = "e" + std::to_string(random().Below(8));
    switch (random().Below(8)) {
      case 0:
        return Kill(id);
      case 1:
        return Start(id);
      case 2:
        return log_lost_since_ ? RestoreLog() : LoseLog();
      case 3:
        // An entry of another writer; none of the endpoints has this id.
        return DeliverRecord("foreign", "broken");
      case 4:
        return Compact();
      default:
        return;
    }
  }

  void Start(const std::string& id) {
    Endpoint& endpoint = endpoints_[id];
    endpoint = {
        .start_time = ++last_birth_, .alive = true, .entry_expired = false};
    Write(id, std::to_string(endpoint.start_time));
  }

  void Kill(const std::string& id) {
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || !found->second.alive)
      return;
    found->second.alive = false;
    const std::int64_t start_time = found->second.start_time;
    simulation_.After(kEntryTtl, [this, id, start_time] {
      const Endpoint& endpoint = endpoints_[id];
      if (!endpoint.alive && endpoint.start_time == start_time &&
          !endpoint.entry_expired)
        Write(id, std::nullopt);
    });
  }

  // Nothing is read while the log is unavailable, but entries still expire.
  void LoseLog() {
    log_lost_since_ = simulation_.now();
    records_.OnLogLost("away");
  }

  void ExpireEntries() {
    for (auto& [id, endpoint] : endpoints_) {
      if (random().Chance(0.5)) {
        endpoint.entry_expired = true;
        Write(id, std::nullopt);
      }
    }
  }

  void RestoreLog() {
    const auto outage = std::chrono::duration_cast<Milliseconds>(
        simulation_.now() - *log_lost_since_);
    if (outage >= kEntryTtl)
      ExpireEntries();
    log_lost_since_.reset();
    records_.OnLogRecovered(outage, simulation_.now());
    for (const auto& [id, value] : std::exchange(unread_, {}))
      DeliverRecord(id, value);
    for (auto& [id, endpoint] : endpoints_) {
      if (!endpoint.entry_expired)
        continue;
      endpoint.entry_expired = false;
      if (!endpoint.alive)
        continue;
      const std::int64_t start_time = endpoint.start_time;
      simulation_.After(random().Between(Milliseconds(0), kMaxRewriteDelay),
                        [this, id = id, start_time] {
                          const Endpoint& now = endpoints_[id];
                          if (now.alive && now.start_time == start_time)
                            Write(id, std::to_string(start_time));
                        });
    }
  }

  // The reader restarts from the newest records.
  void Compact() {
    if (log_lost_since_)
      return;
    std::vector<std::string> present;
    for (const auto& [id, value] : written_)
      present.push_back(id);
    records_.OnSnapshot(present, simulation_.now());
  }

  void Write(const std::string& id, const std::optional<std::string>& value) {
    if (value)
      written_[id] = *value;
    else
      written_.erase(id);
    if (log_lost_since_)
      unread_.emplace_back(id, value);
    else
      DeliverRecord(id, value);
  }

  void DeliverRecord(const std::string& id,
                     const std::optional<std::string>& value) {
    if (log_lost_since_ && value == "broken")
      return;
    records_.OnRecord({id, value, LogOffset(++offset_)}, simulation_.now());
  }

  void CheckPeriodically() {
    records_.Expire(simulation_.now());
    CheckLiveKnown();
    simulation_.After(kHeartbeat, [this] { CheckPeriodically(); });
  }

  // Checks that an outage never makes a live endpoint disappear.
  void CheckLiveKnown() {
    for (const auto& [id, endpoint] : endpoints_) {
      const EndpointRecord* const known = registry_.Find(EndpointId(id));
      const bool no_unread_record = std::none_of(
          unread_.begin(), unread_.end(),
          [&id = id](const auto& record) { return record.first == id; });
      if (endpoint.alive && no_unread_record && known == nullptr)
        violations_.push_back("a live endpoint is not known: " + id);
    }
    if (registry_.Find(EndpointId("foreign")) != nullptr)
      violations_.emplace_back("a malformed entry created an endpoint");
  }

  void CheckConverged() {
    for (const auto& [id, endpoint] : endpoints_) {
      const EndpointRecord* const known = registry_.Find(EndpointId(id));
      if (!endpoint.alive && known != nullptr)
        violations_.push_back("a dead endpoint is still known: " + id);
      if (endpoint.alive && (known == nullptr ||
                             known->start_time.value() != endpoint.start_time))
        violations_.push_back(
            "a live endpoint is not known in its current state: " + id);
    }
  }

  Simulation simulation_;
  ListDialect dialect_;
  GatewayStateListener listener_{.on_config = [](auto) {},
                                 .on_weights = [](const auto&, NamingAge) {},
                                 .on_endpoints = [] {},
                                 .on_evacuation = [](const auto&, bool) {},
                                 .on_cold_endpoint = [](const auto&) {}};
  EndpointRegistry registry_;
  EndpointRecords records_{dialect_, registry_, listener_};
  std::map<std::string, Endpoint> endpoints_;
  // The newest record of each id in the log.
  std::map<std::string, std::string> written_;
  std::vector<std::pair<std::string, std::optional<std::string>>> unread_;
  std::optional<MonotonicTime> log_lost_since_;
  std::int64_t last_birth_ = 0;
  std::uint64_t offset_ = 0;
  std::vector<std::string> violations_;
};

// The log becomes unavailable and returns while entries expire and are
// rewritten and endpoints restart. Guards against a service without endpoints
// when the log returns, and against requests to dead endpoints.
TEST_CASE("the registry follows the endpoints through the log's outages") {
  rc::prop("whatever is written when", [](std::uint64_t seed) {
    const auto violations = World(seed).Run();
    if (!violations.empty())
      RC_FAIL("seed " + std::to_string(seed) + ": " + violations.front());
  });
}

}  // namespace
}  // namespace carobshift
