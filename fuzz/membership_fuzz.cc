// Fuzzes several membership state machines over a network that delays, drops,
// duplicates, reorders and partitions. Processes pause while their clock
// continues, crash and restart with a new incarnation; an attacker replays
// recorded datagrams. The oracle knows which processes are alive.

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
constexpr Milliseconds kFactTtl{8000};

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
    processes_.resize(static_cast<std::size_t>(size_));
    for (int i = 0; i < size_; ++i) {
      Start(i);
      Tick(i);
    }
  }

  std::vector<std::string> Run() {
    CheckConvergence("start");
    InjectFaults();
    CheckConvergence("chaos");
    PartitionAndHeal();
    CheckConvergence("partition");
    for (int i = 0; i < kPauseRounds; ++i)
      PauseAfterPing();
    SpreadFact();
    KillPermanently();
    return violations_;
  }

 private:
  // Only one run in thirty has a pause that hits a ping in flight.
  static constexpr int kPauseRounds = 5;

  struct Process {
    std::optional<Membership> member;
    std::uint64_t generation = 0;
    std::int64_t clock = 1'000'000;
    bool paused = false;
    std::vector<std::string> inbox;
    int partition = 0;
  };

  Process& process(int index) {
    return processes_[static_cast<std::size_t>(index)];
  }
  SeededRandom& random() { return simulation_.random(); }

  static NetAddress Address(int index) {
    return {"127.0.0.1", static_cast<std::uint16_t>(kFirstPort + index)};
  }

  void AddViolation(const std::string& what) {
    violations_.push_back(
        what + " at " +
        std::to_string(simulation_.now().time_since_epoch().count()));
  }

  void Start(int index) {
    Process& n = process(index);
    ++n.generation;
    // The wall clock may have been set back between two incarnations.
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
    Process& n = process(index);
    if (n.member && !n.paused)
      SendAll(index, n.member->OnTick(simulation_.now()));
    simulation_.After(Membership::kTick, [this, index] { Tick(index); });
  }

  void SendAll(int from, const std::vector<SendDatagram>& sends) {
    for (const SendDatagram& send : sends) {
      if (send.bytes.size() > 1400)
        AddViolation("datagram too large");
      const int to = send.to.port - kFirstPort;
      if (recorded_.size() < 3000)
        recorded_.emplace_back(to, send.bytes);
      if (process(from).partition != process(to).partition ||
          random().Chance(faults_.drop))
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
      Process& n = process(to);
      if (!n.member)
        return;
      if (n.paused)
        n.inbox.push_back(bytes);
      else
        Receive(to, bytes);
    });
  }

  // Accepting a datagram twice in one incarnation is the fault that the replay
  // guard prevents.
  void Receive(int to, const std::string& bytes) {
    Process& n = process(to);
    const std::uint64_t before = n.member->counters().accepted;
    SendAll(to, n.member->OnDatagram(bytes, simulation_.now()));
    if (n.member->counters().accepted == before)
      return;
    if (!accepted_.insert({to, n.generation, FastHash(bytes)}).second)
      AddViolation("datagram accepted twice");
  }

  void Pause(int index) { process(index).paused = true; }

  void Resume(int index) {
    Process& n = process(index);
    if (!n.member || !n.paused)
      return;
    n.paused = false;
    // A resumed process may run its timers before it reads its sockets.
    SendAll(index, n.member->OnTick(simulation_.now()));
    for (const std::string& bytes : std::exchange(n.inbox, {}))
      Receive(index, bytes);
  }

  int RandomProcess() {
    return static_cast<int>(random().Below(static_cast<std::uint64_t>(size_)));
  }

  void InjectFaults() {
    faults_ = {.drop = 0.2, .duplicate = 0.1, .max_delay = Milliseconds(400)};
    for (int step = 0; step < 12; ++step) {
      const int index = RandomProcess();
      switch (random().Below(5)) {
        case 0:
          process(index).member.reset();
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
      if (!process(i).member)
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
    if (!process(index).member)
      return;
    process(index).member->PublishFact({.kind = FactKind::kEndpointLeaving,
                                        .subject = "engine-1",
                                        .remaining = kFactTtl},
                                       simulation_.now());
  }

  // Checks that all live entries agree on the live members and their
  // incarnations, within the detection bound for a dead entry and several
  // rejoin attempts, and that facts have expired.
  void CheckConvergence(const std::string& after) {
    simulation_.RunFor(Seconds(35));
    for (int i = 0; i < size_; ++i) {
      const Membership& member = *process(i).member;
      if (member.LiveMembers().size() != static_cast<std::size_t>(size_))
        AddViolation("not all seen alive after " + after);
      for (int j = 0; j < size_; ++j) {
        const MemberInfo& truth = process(j).member->self();
        const MemberRecord* record = member.Find(truth.id);
        if (record == nullptr || record->info.incarnation != truth.incarnation)
          AddViolation("former incarnation still known after " + after);
      }
      if (member.facts().HasActive(FactKind::kEndpointLeaving, "engine-1",
                                   simulation_.now()))
        AddViolation("a fact outlived its expiry");
    }
  }

  // Lasts long enough that each side declares the other one dead.
  void PartitionAndHeal() {
    for (int i = 0; i < size_; ++i)
      process(i).partition = i % 2;
    simulation_.RunFor(Seconds(30));
    for (Process& n : processes_)
      n.partition = 0;
  }

  // The worst moment for a pause is between a ping and its acknowledgement.
  void PauseAfterPing() {
    const int index = RandomProcess();
    simulation_.RunFor(random().Between(Milliseconds(50), Milliseconds(500)));
    const std::uint64_t sent = process(index).member->counters().sent;
    while (process(index).member->counters().sent == sent)
      simulation_.RunFor(Milliseconds(1));
    Pause(index);
    simulation_.RunFor(Seconds(20));
    Resume(index);
    for (int i = 0; i < 200; ++i) {
      simulation_.RunFor(Milliseconds(20));
      for (const MemberRecord& record : process(index).member->Members()) {
        if (record.state != MemberState::kAlive)
          return AddViolation("a resumed entry suspects a live one");
      }
    }
    CheckConvergence("pause");
  }

  void SpreadFact() {
    PublishLeaving(RandomProcess());
    simulation_.RunFor(Seconds(2));
    for (const Process& n : processes_) {
      if (!n.member->facts().HasActive(FactKind::kEndpointLeaving, "engine-1",
                                       simulation_.now()))
        AddViolation("a fact took longer than two seconds");
    }
  }

  void KillPermanently() {
    const int index = RandomProcess();
    const EntryId id = process(index).member->self().id;
    const Milliseconds bound = process(index).member->DetectionBound();
    process(index).member.reset();
    simulation_.RunFor(bound);
    for (const Process& n : processes_) {
      if (n.member && n.member->Find(id)->state != MemberState::kDead)
        AddViolation("a dead entry was not detected in time");
    }
  }

  Simulation simulation_;
  MemberMutation mutation_;
  int size_ = 0;
  std::vector<Process> processes_;
  NetworkFaults faults_;
  std::vector<std::pair<int, std::string>> recorded_;
  std::set<std::tuple<int, std::uint64_t, std::uint64_t>> accepted_;
  std::vector<std::string> violations_;
};

std::vector<std::string> RunWorld(std::uint64_t seed, MemberMutation mutation) {
  return World(seed, mutation).Run();
}

bool OracleDetects(MemberMutation mutation) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    if (!RunWorld(seed, mutation).empty())
      return true;
  }
  return false;
}

// Entries crash, pause, restart and are partitioned while datagrams are lost
// and replayed. Guards against addresses of dead entries that are given to
// callers, and against live entries that get no callers.
TEST_CASE("membership converges and rejects replayed datagrams") {
  rc::prop("under faults", [](std::uint64_t seed) {
    const auto violations = RunWorld(seed, MemberMutation::kNone);
    if (!violations.empty())
      RC_FAIL("seed " + std::to_string(seed) + ": " + violations.front());
  });
}

TEST_CASE("without refutation the oracle detects violations") {
  CHECK(OracleDetects(MemberMutation::kNoRefutation));
}

TEST_CASE("without pause detection the oracle detects violations") {
  CHECK(OracleDetects(MemberMutation::kIgnoreOwnPause));
}

TEST_CASE("without rejoin probes the oracle detects violations") {
  CHECK(OracleDetects(MemberMutation::kNoRejoinProbe));
}

TEST_CASE("without the replay guard the oracle detects violations") {
  CHECK(OracleDetects(MemberMutation::kNoReplayGuard));
}

TEST_CASE("without a suspicion timeout the oracle detects violations") {
  CHECK(OracleDetects(MemberMutation::kNoSuspicionTimeout));
}

}  // namespace
}  // namespace carobshift
