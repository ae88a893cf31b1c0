// Several membership state machines over a network that delays, drops,
// duplicates, reorders and parts; processes that pause while their clock goes
// on, that die and come back with a new incarnation; an attacker who sends
// recorded datagrams again. The oracle knows who lives.

#include <rapidcheck/catch.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "carobshift/base/digest.h"
#include "carobshift/membership/membership.h"
#include "fuzz/simulation.h"

namespace carobshift {
namespace {

constexpr char kSecret[] = "shared";
constexpr int kFirstPort = 7000;
constexpr Milliseconds kFactLife{8000};

struct NetworkFaults {
  double drop = 0;
  double duplicate = 0;
  Milliseconds max_delay{5};
};

class World {
 public:
  World(std::uint64_t seed, MemberMutation mutation)
      : simulation_(seed), mutation_(mutation) {
    size_ = 3 + static_cast<int>(simulation_.random().Below(4));
    nodes_.resize(static_cast<std::size_t>(size_));
    for (int i = 0; i < size_; ++i) {
      Start(i);
      Tick(i);
    }
  }

  std::vector<std::string> Run() {
    Settle("start");
    Chaos();
    Settle("chaos");
    PartAndHeal();
    Settle("partition");
    for (int i = 0; i < kPauses; ++i)
      PauseAfterPing();
    SpreadFact();
    KillForGood();
    return violations_;
  }

 private:
  // A pause hits a ping on its way in one world of thirty only.
  static constexpr int kPauses = 5;

  struct Node {
    std::optional<Membership> member;
    std::uint64_t life = 0;
    std::int64_t clock = 1'000'000;
    bool paused = false;
    std::vector<std::string> inbox;
    int side = 0;
  };

  Node& node(int index) { return nodes_[static_cast<std::size_t>(index)]; }
  SeededRandom& random() { return simulation_.random(); }

  static NetAddress Address(int index) {
    return {"127.0.0.1", static_cast<std::uint16_t>(kFirstPort + index)};
  }

  void Violation(const std::string& what) {
    violations_.push_back(
        what + " at " +
        std::to_string(simulation_.now().time_since_epoch().count()));
  }

  void Start(int index) {
    Node& n = node(index);
    ++n.life;
    // The calendar clock may have been set back between two lives.
    n.clock += random().Chance(0.3) ? -50 : 5000;
    MembershipOptions options;
    options.mutation = mutation_;
    const MemberInfo info{
        .id = EntryId("entry-" + std::to_string(index)),
        .incarnation = Incarnation(random().Next()),
        .version = MemberVersion(static_cast<std::uint64_t>(n.clock)),
        .zone = ZoneName("zone"),
        .host = "127.0.0.1",
        .gossip_port = Address(index).port};
    n.member.emplace(options, info, kSecret, random().Next(),
                     simulation_.now());
    std::vector<NetAddress> seeds;
    for (int i = 0; i < size_; ++i)
      seeds.push_back(Address(i));
    n.member->SetSeeds(seeds);
    n.paused = false;
    n.inbox.clear();
  }

  void Tick(int index) {
    Node& n = node(index);
    if (n.member && !n.paused)
      SendAll(index, n.member->OnTick(simulation_.now()));
    simulation_.After(Membership::kTick, [this, index] { Tick(index); });
  }

  void SendAll(int from, const std::vector<SendDatagram>& sends) {
    for (const SendDatagram& send : sends) {
      if (send.bytes.size() > 1400)
        Violation("datagram too large");
      const int to = send.to.port - kFirstPort;
      if (recorded_.size() < 3000)
        recorded_.emplace_back(to, send.bytes);
      if (node(from).side != node(to).side || random().Chance(faults_.drop))
        continue;
      Deliver(to, send.bytes);
      if (random().Chance(faults_.duplicate))
        Deliver(to, send.bytes);
    }
  }

  void Deliver(int to, const std::string& bytes) {
    const Milliseconds delay =
        random().Between(Milliseconds(1), faults_.max_delay);
    simulation_.After(delay, [this, to, bytes] {
      Node& n = node(to);
      if (!n.member)
        return;
      if (n.paused)
        n.inbox.push_back(bytes);
      else
        Receive(to, bytes);
    });
  }

  // Taking one datagram twice in one life is what the replay guard is
  // against.
  void Receive(int to, const std::string& bytes) {
    Node& n = node(to);
    const std::uint64_t before = n.member->counters().accepted;
    SendAll(to, n.member->OnDatagram(bytes, simulation_.now()));
    if (n.member->counters().accepted == before)
      return;
    if (!accepted_.insert({to, n.life, FastHash(bytes)}).second)
      Violation("datagram accepted twice");
  }

  void Pause(int index) { node(index).paused = true; }

  void Resume(int index) {
    Node& n = node(index);
    if (!n.member || !n.paused)
      return;
    n.paused = false;
    // A thawed process may run its timers before it reads its sockets.
    SendAll(index, n.member->OnTick(simulation_.now()));
    for (const std::string& bytes : std::exchange(n.inbox, {}))
      Receive(index, bytes);
  }

  int RandomNode() {
    return static_cast<int>(random().Below(static_cast<std::uint64_t>(size_)));
  }

  void Chaos() {
    faults_ = {.drop = 0.2, .duplicate = 0.1, .max_delay = Milliseconds(400)};
    for (int step = 0; step < 12; ++step) {
      const int index = RandomNode();
      switch (random().Below(5)) {
        case 0:
          node(index).member.reset();
          break;
        case 1:
          Start(index);
          break;
        case 2:
          Pause(index);
          break;
        case 3:
          Resume(index);
          break;
        default:
          Replay();
          PublishLeaving(index);
      }
      simulation_.RunFor(random().Between(Milliseconds(50), Seconds(3)));
    }
    for (int i = 0; i < size_; ++i) {
      Resume(i);
      if (!node(i).member)
        Start(i);
    }
    faults_ = {};
  }

  void Replay() {
    for (int i = 0; i < 5 && !recorded_.empty(); ++i) {
      const auto& [to, bytes] = recorded_[random().Below(recorded_.size())];
      Deliver(to, bytes);
    }
  }

  void PublishLeaving(int index) {
    if (!node(index).member)
      return;
    node(index).member->PublishFact({.kind = FactKind::kEndpointLeaving,
                                     .subject = "engine-1",
                                     .remaining = kFactLife},
                                    simulation_.now());
  }

  // All live entries must agree on who lives, in which life, within the bound
  // for finding a dead one and some tries to rejoin; and facts are over.
  void Settle(const std::string& after) {
    simulation_.RunFor(Seconds(35));
    for (int i = 0; i < size_; ++i) {
      const Membership& member = *node(i).member;
      if (member.Live().size() != static_cast<std::size_t>(size_))
        Violation("not all seen alive after " + after);
      for (int j = 0; j < size_; ++j) {
        const MemberInfo& truth = node(j).member->self();
        const MemberRecord* record = member.Find(truth.id);
        if (record == nullptr || record->info.incarnation != truth.incarnation)
          Violation("former life still known after " + after);
      }
      if (member.facts().Holds(FactKind::kEndpointLeaving, "engine-1",
                               simulation_.now()))
        Violation("a fact outlived its time");
    }
  }

  // Long enough that both sides declare the other one dead.
  void PartAndHeal() {
    for (int i = 0; i < size_; ++i)
      node(i).side = i % 2;
    simulation_.RunFor(Seconds(30));
    for (Node& n : nodes_)
      n.side = 0;
  }

  // The worst moment for a pause is between a ping and its answer.
  void PauseAfterPing() {
    const int index = RandomNode();
    simulation_.RunFor(random().Between(Milliseconds(50), Milliseconds(500)));
    const std::uint64_t sent = node(index).member->counters().sent;
    while (node(index).member->counters().sent == sent)
      simulation_.RunFor(Milliseconds(1));
    Pause(index);
    simulation_.RunFor(Seconds(20));
    Resume(index);
    for (int i = 0; i < 200; ++i) {
      simulation_.RunFor(Milliseconds(20));
      for (const MemberRecord& record : node(index).member->Members()) {
        if (record.state != MemberState::kAlive)
          return Violation("a thawed entry suspects a live one");
      }
    }
    Settle("pause");
  }

  void SpreadFact() {
    PublishLeaving(RandomNode());
    simulation_.RunFor(Seconds(2));
    for (const Node& n : nodes_) {
      if (!n.member->facts().Holds(FactKind::kEndpointLeaving, "engine-1",
                                   simulation_.now()))
        Violation("a fact took longer than two seconds");
    }
  }

  void KillForGood() {
    const int index = RandomNode();
    const EntryId id = node(index).member->self().id;
    const Milliseconds bound = node(index).member->DetectionBound();
    node(index).member.reset();
    simulation_.RunFor(bound);
    for (const Node& n : nodes_) {
      if (n.member && n.member->Find(id)->state != MemberState::kDead)
        Violation("a dead entry was not found in time");
    }
  }

  Simulation simulation_;
  MemberMutation mutation_;
  int size_ = 0;
  std::vector<Node> nodes_;
  NetworkFaults faults_;
  std::vector<std::pair<int, std::string>> recorded_;
  std::set<std::tuple<int, std::uint64_t, std::uint64_t>> accepted_;
  std::vector<std::string> violations_;
};

std::vector<std::string> RunWorld(std::uint64_t seed, MemberMutation mutation) {
  return World(seed, mutation).Run();
}

bool Caught(MemberMutation mutation) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    if (!RunWorld(seed, mutation).empty())
      return true;
  }
  return false;
}

// Entries die, pause, restart and are parted while datagrams are lost and
// recorded ones come again. Callers would notice addresses of dead entries,
// or live ones that get no callers.
TEST_CASE("membership converges, and refuses what was recorded") {
  rc::prop("under faults", [](std::uint64_t seed) {
    const auto violations = RunWorld(seed, MemberMutation::kNone);
    if (!violations.empty())
      RC_FAIL("seed " + std::to_string(seed) + ": " + violations.front());
  });
}

TEST_CASE("without refutation the oracle objects") {
  CHECK(Caught(MemberMutation::kNoRefutation));
}

TEST_CASE("without pause detection the oracle objects") {
  CHECK(Caught(MemberMutation::kIgnoreOwnPause));
}

TEST_CASE("without rejoin probes the oracle objects") {
  CHECK(Caught(MemberMutation::kNoRejoinProbe));
}

TEST_CASE("without the replay guard the oracle objects") {
  CHECK(Caught(MemberMutation::kNoReplayGuard));
}

TEST_CASE("without a suspicion timeout the oracle objects") {
  CHECK(Caught(MemberMutation::kNoSuspicionTimeout));
}

}  // namespace
}  // namespace carobshift
