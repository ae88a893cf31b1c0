// Fuzzes the instance list as one process reads it, while endpoints start,
// leave, crash, restart under the same id and write malformed entries, and
// while the log writes heartbeats late, is unavailable or has dropped its
// history. The oracle knows the endpoints.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <sstream>
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
const Milliseconds kMaxWriteDelay{2500};
const Milliseconds kMaxDrainTime{2500};

// A record's value is "START HEARTBEAT LEAVING", or malformed text.
std::string RecordValue(std::int64_t start_time,
                        std::uint64_t heartbeat,
                        bool leaving) {
  return std::to_string(start_time) + " " + std::to_string(heartbeat) + " " +
         std::to_string(static_cast<int>(leaving));
}

class ListDialect : public StubLogDialect {
 public:
  [[nodiscard]] Result<EndpointRecord> DecodeEndpointRecord(
      const std::string& key,
      std::string_view value) const override {
    if (value == "broken")
      return Unsupported();
    EndpointRecord record;
    record.id = EndpointId(key);
    std::istringstream text{std::string(value)};
    std::int64_t start_time = 0;
    std::uint64_t heartbeat = 0;
    text >> start_time >> heartbeat >> record.leaving;
    record.start_time = EndpointStartTime(start_time);
    record.heartbeat = HeartbeatNumber(heartbeat);
    return record;
  }
};

class World {
 public:
  explicit World(std::uint64_t seed) : simulation_(seed) {
    for (int i = 0; i < 6; ++i)
      Start("e" + std::to_string(i));
    CheckPeriodically();
    SendHeartbeats();
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
    std::uint64_t heartbeat = 0;
    bool leaving = false;
  };

  // The newest incarnation of an id whose record has been read.
  struct Read {
    std::int64_t start_time = 0;
    bool leaving = false;
  };

  SeededRandom& random() { return simulation_.random(); }

  void InjectFault() {
    const std::string id = "e" + std::to_string(random().Below(8));
    switch (random().Below(9)) {
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
      case 5:
        return Leave(id);
      default:
        return;
    }
  }

  void Start(const std::string& id) {
    Endpoint& endpoint = endpoints_[id];
    endpoint = {
        .start_time = ++last_birth_, .alive = true, .entry_expired = false};
    Write(id, NextRecord(endpoint));
  }

  static std::string NextRecord(Endpoint& endpoint) {
    return RecordValue(endpoint.start_time, ++endpoint.heartbeat,
                       endpoint.leaving);
  }

  // The endpoint says that it leaves, and withdraws its entry later.
  void Leave(const std::string& id) {
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || !found->second.alive ||
        found->second.entry_expired)
      return;
    Endpoint& endpoint = found->second;
    endpoint.leaving = true;
    Write(id, NextRecord(endpoint));
    simulation_.After(random().Between(Milliseconds(0), kMaxDrainTime),
                      [this, id, start_time = endpoint.start_time] {
                        Endpoint& left = endpoints_[id];
                        if (!left.alive || left.start_time != start_time)
                          return;
                        left.alive = false;
                        Write(id, std::nullopt);
                      });
  }

  // Some are written late, after others that were sent after them.
  void SendHeartbeats() {
    constexpr double kLateShare = 0.3;
    for (auto& [id, endpoint] : endpoints_) {
      if (!endpoint.alive || endpoint.entry_expired || log_lost_since_)
        continue;
      const std::string record = NextRecord(endpoint);
      if (random().Chance(kLateShare))
        simulation_.After(random().Between(Milliseconds(1), kMaxWriteDelay),
                          [this, id = id, record] { WriteLate(id, record); });
      else
        Write(id, record);
    }
    simulation_.After(kHeartbeat, [this] { SendHeartbeats(); });
  }

  // The entry expires, unless another one follows or its id has a live
  // endpoint, whose next heartbeat replaces it.
  void WriteLate(const std::string& id, const std::string& record) {
    Write(id, record);
    simulation_.After(kEntryTtl, [this, id, record] {
      const auto written = written_.find(id);
      if (written == written_.end() || written->second != record)
        return;
      if (!endpoints_[id].alive)
        Write(id, std::nullopt);
    });
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
                          Endpoint& now = endpoints_[id];
                          if (now.alive && now.start_time == start_time)
                            Write(id, NextRecord(now));
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
    if (value && value != "broken")
      CheckNotUndone(id, *value);
  }

  // Checks that a record which is written late doesn't bring back an
  // incarnation that has ended, or one that has said that it leaves.
  void CheckNotUndone(const std::string& id, const std::string& value) {
    const EndpointRecord record =
        dialect_.DecodeEndpointRecord(id, value).value();
    Read& newest = read_[id];
    if (record.start_time.value() > newest.start_time)
      newest = {.start_time = record.start_time.value(), .leaving = false};
    if (record.start_time.value() == newest.start_time)
      newest.leaving = newest.leaving || record.leaving;
    const EndpointRecord* const known = registry_.Find(record.id);
    if (known == nullptr)
      return;
    if (known->start_time.value() < newest.start_time)
      violations_.push_back("an incarnation that has ended is back: " + id);
    else if (newest.leaving && !known->leaving)
      violations_.push_back("an endpoint that leaves is used again: " + id);
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
  std::map<std::string, Read> read_;
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
