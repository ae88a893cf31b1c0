// Fuzzes instances that share endpoints which bear few rejections, while
// requests come in bursts, callers leave, updates are lost or late, and
// instances restart or are cut off from each other.

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "carobshift/gateway/endpoints/rejection_limits.h"
#include "fuzz/simulation.h"

namespace carobshift {
namespace {

const ServiceName kService("desks");
constexpr Milliseconds kTick{100};
constexpr Microseconds kOneWay{500};
constexpr Milliseconds kStartTime{500};
constexpr Milliseconds kWindow{1000};
// The endpoints let fewer requests wait from this time after their statement
// on. By then each instance must keep to the limit.
constexpr Milliseconds kNoticePeriod{3000};
// Requests that an endpoint lets wait without the limit.
constexpr int kQueue = 4;

struct WorldOptions {
  int instances = 7;
  int endpoints = 3;
  int slots = 6;
  double limit = 2;
  // Requests a second, summed over all instances, and those of a burst.
  double per_second = 60;
  int burst = 40;
  Milliseconds burst_interval{500};
  double leave_probability = 0;
  double update_loss_probability = 0;
  Milliseconds update_delay{5};
  // Without it, instances send wherever they have fewest requests.
  bool keeps_shares = true;
};

// An endpoint with slots and a queue that shrinks under the limit.
struct Endpoint {
  EndpointRecord record;
  int occupied = 0;
  std::vector<MonotonicTime> rejections;
};

struct Instance {
  RejectionLimits limits;
  std::vector<int> in_progress;
  MonotonicTime ready_at{};
};

class World {
 public:
  World(const WorldOptions& options, std::uint64_t seed)
      : options_(options), simulation_(seed) {
    for (int i = 0; i < options.endpoints; ++i) {
      Endpoint& endpoint = endpoints_.emplace_back();
      endpoint.record.id = EndpointId("endpoint-" + std::to_string(i));
      endpoint.record.service = kService;
      endpoint.record.slots = options.slots;
    }
    for (int i = 0; i < options.instances; ++i) {
      members_.emplace_back().id = EntryId("entry-" + std::to_string(i));
      instances_.push_back(NewInstance());
    }
    Tick();
    OfferRequest();
    OfferBurst();
  }

  // Starts or ends the time in which the endpoints state the limit.
  void SetLimited(bool limited) {
    limited_ = limited;
    limited_since_ = simulation_.now();
  }
  // Replaces the instance by a new incarnation, which gets its first requests
  // once it has read the configuration.
  void Restart(std::size_t instance) {
    instances_[instance] = NewInstance();
    instances_[instance]->ready_at = simulation_.now() + kStartTime;
    Incarnation& incarnation = members_[instance].incarnation;
    incarnation = Incarnation(incarnation.value() + 1);
  }
  // Lets instances see each other only if both are, or neither is, in `part`.
  void Cut(std::set<std::size_t> part) { part_ = std::move(part); }
  void RunFor(Milliseconds time) { simulation_.RunFor(time); }

  // Returns the largest number of rejections of an endpoint in any second that
  // begins after the notice period.
  [[nodiscard]] int MostRejections() const {
    std::ptrdiff_t most = 0;
    for (const Endpoint& endpoint : endpoints_) {
      const auto& times = endpoint.rejections;
      for (auto first = times.begin(); first != times.end(); ++first) {
        const auto last =
            std::lower_bound(first, times.end(), *first + kWindow);
        most = std::max(most, last - first);
      }
    }
    return static_cast<int>(most);
  }
  [[nodiscard]] int served() const { return served_; }
  [[nodiscard]] int offered() const { return offered_; }
  void ResetCounts() { served_ = offered_ = 0; }

  SeededRandom& random() { return simulation_.random(); }

 private:
  [[nodiscard]] std::shared_ptr<Instance> NewInstance() const {
    auto instance = std::make_shared<Instance>();
    instance->in_progress.resize(endpoints_.size());
    return instance;
  }

  void OfferRequest() {
    constexpr double kMicrosecondsPerSecond = 1e6;
    const auto mean =
        static_cast<std::int64_t>(kMicrosecondsPerSecond / options_.per_second);
    simulation_.After(
        Microseconds(random().Below(static_cast<std::uint64_t>(2 * mean)) + 1),
        [this] { OfferRequest(); });
    Request();
  }

  void OfferBurst() {
    simulation_.After(options_.burst_interval, [this] { OfferBurst(); });
    for (int i = 0; i < options_.burst; ++i)
      Request();
  }

  // A caller's request to any instance, which refuses it if no endpoint is
  // left.
  void Request() {
    ++offered_;
    const auto instance = instances_[random().Below(instances_.size())];
    if (simulation_.now() < instance->ready_at)
      return;
    const std::optional<std::size_t> endpoint = Choose(*instance);
    if (endpoint)
      Send(instance, *endpoint);
  }

  [[nodiscard]] std::optional<std::size_t> Choose(const Instance& instance) {
    std::optional<std::size_t> best;
    const std::size_t first = random().Below(endpoints_.size());
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      const std::size_t index = (first + i) % endpoints_.size();
      const bool may_send =
          !options_.keeps_shares ||
          instance.limits.MaySend(endpoints_[index].record, simulation_.now());
      if (may_send &&
          (!best || instance.in_progress[index] < instance.in_progress[*best]))
        best = index;
    }
    return best;
  }

  void Send(const std::shared_ptr<Instance>& instance, std::size_t index) {
    const EndpointIncarnation id =
        EndpointIncarnation::Of(endpoints_[index].record);
    instance->limits.OnSend(id);
    ++instance->in_progress[index];
    const MonotonicTime sent = simulation_.now();
    simulation_.After(kOneWay, [this, instance, index, sent] {
      Arrive(instance, index, sent);
    });
  }

  void Arrive(const std::shared_ptr<Instance>& instance,
              std::size_t index,
              MonotonicTime sent) {
    Endpoint& endpoint = endpoints_[index];
    const bool no_queue =
        limited_ && simulation_.now() - limited_since_ >= kNoticePeriod;
    const int room = options_.slots + (no_queue ? 0 : kQueue);
    if (endpoint.occupied >= room) {
      if (no_queue)
        endpoint.rejections.push_back(simulation_.now());
      Answer(instance, index, sent, /*ran=*/false);
      return;
    }
    ++endpoint.occupied;
    // Some callers leave, and the endpoint goes on with their requests.
    const bool left = random().Chance(options_.leave_probability);
    if (left)
      Abandon(instance, index);
    simulation_.After(RunTime(), [this, instance, index, sent, left] {
      --endpoints_[index].occupied;
      ++served_;
      if (!left)
        Answer(instance, index, sent, /*ran=*/true);
    });
  }

  // Most runs are short and a few are long.
  [[nodiscard]] Milliseconds RunTime() {
    return random().Chance(0.05)
               ? random().Between(Milliseconds(50), Milliseconds(300))
               : random().Between(Milliseconds(10), Milliseconds(20));
  }

  void Answer(const std::shared_ptr<Instance>& instance,
              std::size_t index,
              MonotonicTime sent,
              bool ran) {
    RejectionStatement statement{
        .limit = std::nullopt, .ran = ran, .sent = sent};
    if (limited_)
      statement.limit = RequestRate(options_.limit);
    simulation_.After(kOneWay, [this, instance, index, statement] {
      const EndpointRecord& record = endpoints_[index].record;
      instance->limits.OnEnd(EndpointIncarnation::Of(record));
      --instance->in_progress[index];
      instance->limits.OnAnswer(kService, statement, simulation_.now());
      if (!statement.ran)
        instance->limits.OnRejection(record, simulation_.now());
      Publish(*instance);
    });
  }

  void Abandon(const std::shared_ptr<Instance>& instance, std::size_t index) {
    const EndpointRecord& record = endpoints_[index].record;
    instance->limits.OnAbandoned(EndpointIncarnation::Of(record),
                                 simulation_.now());
    --instance->in_progress[index];
  }

  void Tick() {
    simulation_.After(kTick, [this] { Tick(); });
    const std::vector<MemberInfo> inside = MembersOf(/*in_part=*/true);
    const std::vector<MemberInfo> outside = MembersOf(/*in_part=*/false);
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      RejectionLimits& limits = instances_[i]->limits;
      limits.OnMembers(part_.contains(i) ? inside : outside, members_[i].id,
                       simulation_.now());
      limits.Expire(simulation_.now());
      Publish(*instances_[i]);
    }
  }

  [[nodiscard]] std::vector<MemberInfo> MembersOf(bool in_part) const {
    std::vector<MemberInfo> members;
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (part_.contains(i) == in_part)
        members.push_back(members_[i]);
    }
    return members;
  }

  [[nodiscard]] bool Reaches(std::size_t a, std::size_t b) const {
    return part_.contains(a) == part_.contains(b);
  }

  void Publish(Instance& from) {
    const RejectionUpdates updates = from.limits.TakeUpdates(simulation_.now());
    if (updates.limits.empty() && updates.rejections.empty())
      return;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      if (instances_[i].get() == &from || !Reaches(IndexOf(from), i) ||
          random().Chance(options_.update_loss_probability))
        continue;
      simulation_.After(
          options_.update_delay,
          [this, updates, to = instances_[i]] { Apply(*to, updates); });
    }
  }

  [[nodiscard]] std::size_t IndexOf(const Instance& instance) const {
    const auto found = std::find_if(
        instances_.begin(), instances_.end(),
        [&instance](const auto& one) { return one.get() == &instance; });
    return static_cast<std::size_t>(found - instances_.begin());
  }

  void Apply(Instance& to, const RejectionUpdates& updates) {
    for (const RejectionLimitUpdate& one : updates.limits)
      to.limits.OnPeerLimit(one, simulation_.now());
    for (const RejectionUpdate& one : updates.rejections)
      to.limits.OnPeerRejection(one, simulation_.now());
  }

  WorldOptions options_;
  Simulation simulation_;
  std::vector<Endpoint> endpoints_;
  std::vector<MemberInfo> members_;
  std::vector<std::shared_ptr<Instance>> instances_;
  std::set<std::size_t> part_;
  bool limited_ = false;
  MonotonicTime limited_since_{};
  int served_ = 0;
  int offered_ = 0;
};

// Runs a world into the time with a limit and counts from the end of the notice
// period on.
void RunToLimit(World& world) {
  world.RunFor(Seconds(12));
  world.SetLimited(true);
  world.RunFor(kNoticePeriod);
  world.ResetCounts();
}

// Guards against endpoints that fall over in a burst because instances meet at
// them.
TEST_CASE("in bursts no endpoint rejects more than it bears") {
  for (const int instances : {1, 7, 60, 300}) {
    for (const int endpoints : {3, 12}) {
      for (const int slots : {6, 128}) {
        INFO(instances << " instances, " << endpoints << " endpoints, " << slots
                       << " slots");
        World world({.instances = instances,
                     .endpoints = endpoints,
                     .slots = slots,
                     .burst = 2 * endpoints * slots},
                    /*seed=*/7);
        RunToLimit(world);
        world.RunFor(Seconds(6));
        CHECK(world.MostRejections() <= 2);
        CHECK(world.served() > 0);
      }
    }
  }
}

// Shows that the load above is one that the shares are needed for.
TEST_CASE("without shares the same bursts exceed what endpoints bear") {
  World world({.keeps_shares = false}, /*seed=*/7);
  RunToLimit(world);
  world.RunFor(Seconds(20));
  CHECK(world.MostRejections() > 2);
}

struct OverloadCase {
  int instances;
  int endpoints;
  int slots;
};

// Offers three times the endpoints' capacity under a limit.
void CheckMostSlotsAreUsed(const OverloadCase& one) {
  constexpr double kMostSlots = 0.6;
  // The mean run takes 23 ms.
  constexpr double kRunsPerSlot = 1000 / 23.0;
  const double capacity = one.endpoints * one.slots * kRunsPerSlot;
  World world({.instances = one.instances,
               .endpoints = one.endpoints,
               .slots = one.slots,
               .per_second = 3 * capacity,
               .burst = 0},
              /*seed=*/7);
  RunToLimit(world);
  world.RunFor(Seconds(2));
  const double used = world.served() / 2.0 / capacity;
  INFO(one.instances << " instances, " << one.endpoints << " endpoints, "
                     << one.slots << " slots: " << used);
  CHECK(used >= kMostSlots);
  CHECK(world.MostRejections() <= 2);
}

// Guards against shares that keep endpoints idle although work is there.
TEST_CASE("under overload the endpoints work at most of their slots") {
  for (const OverloadCase& one :
       {OverloadCase{7, 3, 6}, OverloadCase{7, 12, 6}, OverloadCase{7, 12, 128},
        OverloadCase{60, 12, 128}})
    CheckMostSlotsAreUsed(one);
}

// Guards against endpoints that stay idle because most instances have no share.
TEST_CASE("with fewer slots than instances most slots are used as well") {
  for (const OverloadCase& one :
       {OverloadCase{60, 3, 6}, OverloadCase{60, 12, 6}})
    CheckMostSlotsAreUsed(one);
}

// Guards against requests that are refused although the endpoints are mostly
// idle, where each instance has a few slots.
TEST_CASE("at a tenth of the endpoints' capacity hardly a request is refused") {
  World world({.instances = 7, .endpoints = 3, .per_second = 78, .burst = 0},
              /*seed=*/7);
  RunToLimit(world);
  world.RunFor(Seconds(60));
  const double share = static_cast<double>(world.served()) /
                       static_cast<double>(world.offered());
  INFO("served " << share);
  CHECK(share >= 0.9);
}

// Guards against shares that exceed the slots only while something changes.
TEST_CASE("limits hold across lost updates, restarts, cuts and lost callers") {
  rc::prop("no endpoint rejects more than it bears", [] {
    WorldOptions options;
    options.instances = *rc::gen::element(1, 2, 6, 7, 30, 60);
    options.endpoints = *rc::gen::element(1, 3, 12);
    options.slots = *rc::gen::element(2, 6, 40);
    options.limit = *rc::gen::element(1.0, 2.0, 5.0);
    options.leave_probability = *rc::gen::element(0.0, 0.05);
    options.update_loss_probability = *rc::gen::element(0.0, 0.1, 0.4);
    options.update_delay = Milliseconds(*rc::gen::inRange(1, 200));
    World world(options, *rc::gen::arbitrary<std::uint64_t>());
    world.RunFor(Seconds(12));
    world.SetLimited(true);
    const auto steps =
        *rc::gen::container<std::vector<int>>(5, rc::gen::inRange(0, 4));
    for (const int step : steps) {
      const auto instance = static_cast<std::size_t>(
          world.random().Below(static_cast<std::uint64_t>(options.instances)));
      // An instance that starts alone, or while it is cut off, doesn't know
      // what the others know.
      if (step == 0 && options.instances > 1) {
        world.Cut({});
        world.Restart(instance);
      } else if (step == 1)
        world.Cut({instance, 0});
      else if (step == 2)
        world.Cut({});
      world.RunFor(Milliseconds(2000 + world.random().Below(3000)));
    }
    RC_ASSERT(world.MostRejections() <= static_cast<int>(options.limit));
  });
}

// Guards against a limit that stays after its end, or that ends too early.
TEST_CASE("all requests are served again when the limit ends") {
  World world({.instances = 60, .per_second = 100, .burst = 0}, /*seed=*/7);
  RunToLimit(world);
  world.RunFor(Seconds(5));
  world.SetLimited(false);
  world.RunFor(Seconds(2));
  world.ResetCounts();
  world.RunFor(Seconds(5));
  CHECK(world.served() >= world.offered() * 0.95);
}

}  // namespace
}  // namespace carobshift
