// Instances follow the endpoints' records, by the log or by a reader, while
// logs fail, readers hang and start again, records are dropped and versions
// come and go, all of it drawn by a seed. What an instance says of a service's
// only version has to hold, and in the end each knows all endpoints.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "carobshift/gateway/gateway_state.h"
#include "carobshift/gateway/records/listening_instance.h"
#include "carobshift/gateway/records/record_readers.h"

namespace carobshift {
namespace {

const ServiceName kService("engines");
constexpr Milliseconds kStep{50};
constexpr int kSteps = 100;
constexpr int kStepsBetweenHeartbeats = 20;
// For how long a version is asked about.
constexpr Milliseconds kSpan{1500};
// By then an instance knows all records after the last failure.
constexpr Milliseconds kHealingTime = kSpan + Milliseconds(4000);
// Longer than EndpointRecords::kEntryExpiryOutage.
constexpr int kStepsOfOutage = 34;
// Shorter than EndpointRegistry::kOutageGracePeriod.
constexpr int kStepsUntilEntriesReturn = 16;
constexpr int kMembers = 13;
constexpr int kListeners = 2;

// The value of an endpoint's record is its software version.
class VersionDialect : public FakeLogDialect {
 public:
  [[nodiscard]] Result<EndpointRecord> DecodeEndpointRecord(
      const std::string& key,
      std::string_view value) const override {
    EndpointRecord record;
    record.id = EndpointId(key);
    record.service = kService;
    record.software = SoftwareVersion(std::string(value));
    return record;
  }
};

struct FollowingInstance {
  FollowingInstance(EventLoop& loop,
                    const MemberInfo& self,
                    std::function<std::vector<MemberInfo>()> live)
      : info(self), instance(loop, "127.0.0.1", self, std::move(live)) {
    instance.endpoint_sink.forward = &records;
  }

  MemberInfo info;
  VersionDialect dialect;
  GatewayStateListener listener{
      .on_config = [](auto) {},
      .on_weights = [](const auto&, NamingAge) {},
      .on_endpoints = [] {},
      .on_evacuation = [](const auto&, bool) {},
      .on_cold_endpoint = [](const auto&) {},
  };
  EndpointRegistry registry;
  EndpointRecords records{dialect, registry, listener};
  ListeningInstance instance;
};

class World {
 public:
  World(EventLoop& loop, std::uint64_t seed) : loop_(loop), random_(seed) {
    for (int i = 0; i < kMembers; ++i)
      members_.push_back(MemberNumber(i));
    const std::vector<MemberInfo> readers = LogReaders(members_);
    for (const MemberInfo& reader : readers)
      Start(reader);
    readers_ = readers.size();
    for (const MemberInfo& member : std::vector(members_)) {
      const bool is_reader = std::any_of(
          readers.begin(), readers.end(),
          [&member](const auto& reader) { return reader.id == member.id; });
      if (!is_reader && instances_.size() < readers_ + kListeners)
        Start(member);
    }
    Declare("config=1");
    List("v1");
  }

  void Step() {
    if (step_ < kSteps)
      Disturb();
    else if (step_ == kSteps)
      Heal();
    ReturnLapsed();
    if (++step_ % kStepsBetweenHeartbeats == 0)
      WriteHeartbeats();
    for (const auto& one : instances_) {
      one->instance.listener.OnTick();
      one->records.Expire(loop_.now());
      CheckSoleVersion(*one);
    }
  }

  void CheckEnd() const {
    for (const auto& one : instances_) {
      std::map<std::string, std::string> known;
      for (const auto& [id, record] : one->registry.all())
        known[id.value()] = record.software.value();
      CHECK(known == live_);
      CHECK(SoleVersionOf(*one) == SoftwareVersion(live_.begin()->second));
    }
  }

 private:
  struct Listing {
    std::string id;
    std::string version;
    MonotonicTime from;
    std::optional<MonotonicTime> until;
  };

  void Start(const MemberInfo& info) {
    instances_.push_back(std::make_unique<FollowingInstance>(
        loop_, info, [this] { return members_; }));
    FollowingInstance& started = *instances_.back();
    const auto self = std::find_if(
        members_.begin(), members_.end(),
        [&info](const MemberInfo& member) { return member.id == info.id; });
    self->host = started.instance.server.address().host;
    self->peer_port = started.instance.server.address().port;
    for (const std::string& record : operator_records_)
      started.instance.Declare(record);
    for (const std::string& record : endpoint_records_)
      started.instance.List(record);
    started.instance.Start();
  }
  void Restart(std::size_t number) {
    FollowingInstance& old = *instances_[number];
    old.instance.operators.Stop();
    old.instance.endpoints.Stop();
    old.instance.hangs = true;
    const MemberInfo info = old.info;
    Start(info);
    std::swap(instances_[number], instances_.back());
    killed_.push_back(std::move(instances_.back()));
    instances_.pop_back();
  }

  void Declare(const std::string& record) {
    operator_records_.push_back(record);
    for (const auto& one : instances_)
      one->instance.Declare(record);
  }
  void Write(const std::string& record) {
    endpoint_records_.push_back(record);
    for (const auto& one : instances_)
      one->instance.List(record);
  }
  std::string List(const std::string& version) {
    const std::string id = "e" + std::to_string(++last_endpoint_);
    Relist(id, version);
    return id;
  }
  void Relist(const std::string& id, const std::string& version) {
    live_[id] = version;
    listings_.push_back({id, version, MonotonicNow(), std::nullopt});
    Write(id + "=" + version);
  }
  void Unlist(const std::string& id) {
    const auto last =
        std::find_if(listings_.rbegin(), listings_.rend(),
                     [&id](const auto& listing) { return listing.id == id; });
    last->until = MonotonicNow();
    live_.erase(id);
    Write(id);
  }
  void WriteHeartbeats() {
    for (const auto& [id, version] : live_)
      Write(id + "=" + version);
  }

  int Draw(int end) {
    return std::uniform_int_distribution<int>(0, end - 1)(random_);
  }
  FollowingInstance& AnyInstance() {
    return *instances_[static_cast<std::size_t>(
        Draw(static_cast<int>(instances_.size())))];
  }
  std::string AnyVersion() { return Draw(3) == 0 ? "v2" : "v1"; }
  std::string AnyEndpoint() {
    return std::next(live_.begin(), Draw(static_cast<int>(live_.size())))
        ->first;
  }

  void Disturb() {
    switch (Draw(30)) {
      case 0:
        List(AnyVersion());
        break;
      case 1:
      case 2:
        if (live_.size() > 1)
          Unlist(AnyEndpoint());
        break;
      case 3:
        // Nobody who is behind sees it.
        Unlist(List(AnyVersion()));
        break;
      case 4:
        AnyInstance().instance.SetLogMode(FakeLogMode::kRefuses);
        break;
      case 5:
        AnyInstance().instance.SetLogMode(FakeLogMode::kSilent);
        break;
      case 6:
      case 7:
        AnyInstance().instance.SetLogMode(FakeLogMode::kServes);
        break;
      case 8:
        AnyInstance().instance.hangs = true;
        break;
      case 9:
      case 10:
        AnyInstance().instance.hangs = false;
        break;
      case 11:
        AnyInstance().instance.pace =
            ReplyPace{.pieces = 5, .pause = Milliseconds(80)};
        break;
      case 12:
        AnyInstance().instance.pace.reset();
        break;
      case 13:
        AnyInstance().instance.endpoint_log.SetDelay(
            Milliseconds(100 * Draw(3)));
        break;
      case 14:
        Restart(static_cast<std::size_t>(Draw(static_cast<int>(readers_))));
        break;
      case 15:
        for (const auto& one : instances_)
          one->instance.endpoint_log.Compact(one->dialect.EndpointStream());
        break;
      case 16:
        if (lapsed_.empty())
          LapseAll();
        break;
      default:
        break;
    }
  }
  // The log is away for everybody, and the entries lapse with it.
  void LapseAll() {
    for (const auto& one : instances_)
      one->instance.SetLogMode(FakeLogMode::kRefuses);
    lapsed_ = live_;
    log_returns_ = step_ + kStepsOfOutage;
    entries_return_ = log_returns_ + 2 + Draw(kStepsUntilEntriesReturn);
  }
  void ReturnLapsed() {
    if (lapsed_.empty())
      return;
    if (step_ == log_returns_) {
      for (const auto& one : instances_)
        one->instance.SetLogMode(FakeLogMode::kServes);
      for (const auto& [id, version] : lapsed_) {
        if (live_.contains(id))
          Unlist(id);
      }
    }
    if (step_ == entries_return_) {
      for (const auto& [id, version] : lapsed_)
        Relist(id, version);
      lapsed_.clear();
    }
  }

  void Heal() {
    for (const auto& one : instances_) {
      ListeningInstance& instance = one->instance;
      instance.SetLogMode(FakeLogMode::kServes);
      instance.endpoint_log.SetDelay(Milliseconds(0));
      instance.hangs = false;
      instance.pace.reset();
    }
    for (const auto& [id, version] : lapsed_) {
      if (!live_.contains(id))
        Relist(id, version);
    }
    lapsed_.clear();
    List("v1");
    const auto live = live_;
    for (const auto& [id, version] : live) {
      if (version != "v1")
        Unlist(id);
    }
  }

  std::optional<SoftwareVersion> SoleVersionOf(
      const FollowingInstance& one) const {
    return one.registry.software_history().SoleVersion(kService, kSpan,
                                                       loop_.now());
  }
  void CheckSoleVersion(const FollowingInstance& one) const {
    const auto sole = SoleVersionOf(one);
    if (!sole)
      return;
    const auto as_of = one.instance.endpoints.records_as_of();
    REQUIRE(as_of);
    for (const Listing& listing : listings_) {
      const bool counts =
          listing.from <= *as_of &&
          (!listing.until || *listing.until > loop_.now() - kSpan);
      if (counts && SoftwareVersion(listing.version) != *sole)
        FAIL_CHECK(one.info.id.value()
                   << " at step " << step_ << " says " << sole->value()
                   << ", but " << listing.id << " had " << listing.version);
    }
  }

  EventLoop& loop_;
  std::mt19937_64 random_;
  std::vector<MemberInfo> members_;
  std::size_t readers_ = 0;
  // Readers first.
  std::vector<std::unique_ptr<FollowingInstance>> instances_;
  std::vector<std::unique_ptr<FollowingInstance>> killed_;
  std::vector<std::string> operator_records_;
  std::vector<std::string> endpoint_records_;
  int last_endpoint_ = 0;
  std::map<std::string, std::string> live_;
  std::vector<Listing> listings_;
  std::map<std::string, std::string> lapsed_;
  int log_returns_ = 0;
  int entries_return_ = 0;
  int step_ = 0;
};

// Plays worlds side by side, as most of their time passes waiting.
void PlayWorlds(std::uint64_t first_seed, std::uint64_t count) {
  EventLoop loop;
  std::vector<std::unique_ptr<World>> worlds;
  for (std::uint64_t seed = first_seed; seed < first_seed + count; ++seed)
    worlds.push_back(std::make_unique<World>(loop, seed));
  const auto healing_steps = static_cast<int>(kHealingTime / kStep);
  for (int step = 0; step < kSteps + healing_steps; ++step) {
    RunFor(loop, kStep);
    for (std::size_t i = 0; i < worlds.size(); ++i) {
      INFO("seed " << first_seed + i);
      worlds[i]->Step();
    }
  }
  for (std::size_t i = 0; i < worlds.size(); ++i) {
    INFO("seed " << first_seed + i);
    worlds[i]->CheckEnd();
  }
}

// Guards against a stream that is taken up at another version, as an instance
// that was out of step takes one for the only version of its service, and
// against instances that lose endpoints.
TEST_CASE("what instances out of step say of a service's versions holds") {
  PlayWorlds(/*first_seed=*/1, /*count=*/6);
}

TEST_CASE("the same with more seeds", "[.][long]") {
  const std::uint64_t batch = GENERATE(range(0, 9));
  PlayWorlds(7 + batch * 6, /*count=*/6);
}

}  // namespace
}  // namespace carobshift
