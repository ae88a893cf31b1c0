// The instance list as one process reads it, while endpoints start, leave, die,
// start again under their old id, write broken entries, and while the log is
// away or has dropped its history. The oracle knows the endpoints.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/gateway/endpoint_registry.h"
#include "carobshift/gateway/gateway_state.h"
#include "carobshift/gateway/silent_dialects.h"
#include "fuzz/simulation.h"

namespace carobshift {
namespace {

constexpr Milliseconds kHeartbeat{500};
constexpr Milliseconds kRunOut{1500};
const Milliseconds kBackWithin{1900};

// A record's value is the endpoint's birth, or text that can't be read.
class ListDialect : public SilentLogDialect {
 public:
  [[nodiscard]] Result<EndpointRecord> DecodeEndpointRecord(
      const std::string& key,
      std::string_view value) const override {
    if (value == "broken")
      return NotSpoken();
    EndpointRecord record;
    record.id = EndpointId(key);
    record.born = EndpointBirth(std::stoll(std::string(value)));
    return record;
  }
};

class World {
 public:
  explicit World(std::uint64_t seed) : simulation_(seed) {
    for (int i = 0; i < 6; ++i)
      Start("e" + std::to_string(i));
    Watch();
  }

  std::vector<std::string> Run() {
    constexpr int kSteps = 60;
    for (int step = 0; step < kSteps; ++step) {
      Fault();
      simulation_.RunFor(
          simulation_.random().Between(Milliseconds(20), Milliseconds(900)));
    }
    if (away_since_)
      Return();
    simulation_.RunFor(Seconds(5));
    CheckAll();
    return violations_;
  }

 private:
  struct Endpoint {
    std::int64_t born = 0;
    bool alive = true;
    // Its entry ran out while the log was away.
    bool entry_lost = false;
  };

  SeededRandom& random() { return simulation_.random(); }

  void Fault() {
    const std::string id = "e" + std::to_string(random().Below(8));
    switch (random().Below(8)) {
      case 0:
        return Kill(id);
      case 1:
        return Start(id);
      case 2:
        return away_since_ ? Return() : Leave();
      case 3:
        // Another writer's entry; no endpoint of ours bears the id.
        return Tell("foreign", "broken");
      case 4:
        return Compact();
      default:
        return;
    }
  }

  void Start(const std::string& id) {
    Endpoint& endpoint = endpoints_[id];
    endpoint = {.born = ++births_, .alive = true, .entry_lost = false};
    Write(id, std::to_string(endpoint.born));
  }

  void Kill(const std::string& id) {
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || !found->second.alive)
      return;
    found->second.alive = false;
    const std::int64_t born = found->second.born;
    simulation_.After(kRunOut, [this, id, born] {
      const Endpoint& endpoint = endpoints_[id];
      if (!endpoint.alive && endpoint.born == born && !endpoint.entry_lost)
        Write(id, std::nullopt);
    });
  }

  // While the log is away nothing is read; entries run out all the same.
  void Leave() {
    away_since_ = simulation_.now();
    records_.OnLogLost("away");
  }

  void LoseEntries() {
    for (auto& [id, endpoint] : endpoints_) {
      if (random().Chance(0.5)) {
        endpoint.entry_lost = true;
        Write(id, std::nullopt);
      }
    }
  }

  void Return() {
    const auto away = std::chrono::duration_cast<Milliseconds>(
        simulation_.now() - *away_since_);
    if (away >= kRunOut)
      LoseEntries();
    away_since_.reset();
    records_.OnLogBack(away, simulation_.now());
    for (const auto& [id, value] : std::exchange(unread_, {}))
      Tell(id, value);
    for (auto& [id, endpoint] : endpoints_) {
      if (!endpoint.entry_lost)
        continue;
      endpoint.entry_lost = false;
      if (!endpoint.alive)
        continue;
      const std::int64_t born = endpoint.born;
      simulation_.After(random().Between(Milliseconds(0), kBackWithin),
                        [this, id = id, born] {
                          const Endpoint& now = endpoints_[id];
                          if (now.alive && now.born == born)
                            Write(id, std::to_string(born));
                        });
    }
  }

  // The reader starts again from the newest records.
  void Compact() {
    if (away_since_)
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
    if (away_since_)
      unread_.emplace_back(id, value);
    else
      Tell(id, value);
  }

  void Tell(const std::string& id, const std::optional<std::string>& value) {
    if (away_since_ && value == "broken")
      return;
    records_.OnRecord({id, value, LogOffset(++offset_)}, simulation_.now());
  }

  void Watch() {
    records_.Expire(simulation_.now());
    CheckLiving();
    simulation_.After(kHeartbeat, [this] { Watch(); });
  }

  // An endpoint that lives is never missing for an outage's sake.
  void CheckLiving() {
    for (const auto& [id, endpoint] : endpoints_) {
      const EndpointRecord* const known = registry_.Find(EndpointId(id));
      const bool heard_of = std::none_of(
          unread_.begin(), unread_.end(),
          [&id = id](const auto& record) { return record.first == id; });
      if (endpoint.alive && heard_of && known == nullptr)
        violations_.push_back("a living endpoint is not known: " + id);
    }
    if (registry_.Find(EndpointId("foreign")) != nullptr)
      violations_.emplace_back("a broken entry names an endpoint");
  }

  void CheckAll() {
    for (const auto& [id, endpoint] : endpoints_) {
      const EndpointRecord* const known = registry_.Find(EndpointId(id));
      if (!endpoint.alive && known != nullptr)
        violations_.push_back("a dead endpoint is still known: " + id);
      if (endpoint.alive &&
          (known == nullptr || known->born.value() != endpoint.born))
        violations_.push_back("a living endpoint is not known as it is: " + id);
    }
  }

  Simulation simulation_;
  ListDialect dialect_;
  GatewayStateListener listener_{.on_config = [](auto) {},
                                 .on_weights = [](const auto&, NamingTime) {},
                                 .on_endpoints = [] {}};
  EndpointRegistry registry_;
  EndpointRecords records_{dialect_, registry_, listener_};
  std::map<std::string, Endpoint> endpoints_;
  // The newest record of each id on the log.
  std::map<std::string, std::string> written_;
  std::vector<std::pair<std::string, std::optional<std::string>>> unread_;
  std::optional<MonotonicTime> away_since_;
  std::int64_t births_ = 0;
  std::uint64_t offset_ = 0;
  std::vector<std::string> violations_;
};

// The log goes away and returns while entries run out, come back, and endpoints
// start again. Callers would notice a service without endpoints just as the log
// returns, or requests to endpoints that are gone.
TEST_CASE("the registry follows the endpoints through the log's outages") {
  rc::prop("whatever is written when", [](std::uint64_t seed) {
    const auto violations = World(seed).Run();
    if (!violations.empty())
      RC_FAIL("seed " + std::to_string(seed) + ": " + violations.front());
  });
}

}  // namespace
}  // namespace carobshift
