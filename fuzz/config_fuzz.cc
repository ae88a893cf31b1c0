// Fuzzes several entries that follow one configuration log. Operators publish
// concurrently, without a base, and twice; the log is down, slow, loses replies
// and drops old records; entries pause, crash and restart; peers answer late.
// The oracle applies the acceptance rule to all records ever written.

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/config/acceptance.h"
#include "carobshift/config/checkpoint_planner.h"
#include "fuzz/fake_log.h"
#include "fuzz/simulation.h"

namespace carobshift {
namespace {

constexpr Milliseconds kRetention{15'000};
constexpr Milliseconds kTick{100};

struct Mutations {
  AcceptanceMutation acceptance = AcceptanceMutation::kNone;
  bool no_checkpoints = false;
};

// A minimal implementation of the acceptance rule over the whole log.
class Reference {
 public:
  explicit Reference(const std::vector<std::string>& records) {
    for (std::uint64_t offset = 0; offset < records.size(); ++offset)
      Apply(offset, records[offset]);
  }
  // Maps each accepted version to its edit id.
  std::map<std::uint64_t, std::string> accepted;

 private:
  void Apply(std::uint64_t offset, const std::string& payload) {
    const auto record = DecodeConfigRecord(payload);
    if (!record.ok())
      return;
    if (const auto* edit = std::get_if<EditRecord>(&record.value()))
      ApplyEdit(offset, *edit);
    if (const auto* checkpoint = std::get_if<CheckpointRecord>(&record.value()))
      covered_until_ = std::max(covered_until_, checkpoint->state.next.value());
    if (const auto* reset = std::get_if<ResetRecord>(&record.value()))
      ApplyReset(offset, *reset);
  }

  void ApplyEdit(std::uint64_t offset, const EditRecord& edit) {
    const auto parsed = ParseDeclaration(edit.text);
    const bool base_fits = edit.base
                               ? current_ && edit.base->value() == *current_
                               : !current_ || blind_allowed_;
    if (!base_fits || !parsed.declaration || done_.contains(edit.edit.value()))
      return;
    Accept(offset, edit.edit.value(), *parsed.declaration);
  }

  void ApplyReset(std::uint64_t offset, const ResetRecord& reset) {
    if (covered_until_ >= reset.first_retained.value())
      return;
    covered_until_ = offset;
    current_.reset();
    done_.clear();
    for (const EditId& edit : reset.state.recent_edits)
      done_[edit.value()] = true;
    if (reset.state.accepted)
      Accept(offset, reset.state.accepted->edit.value(),
             *ParseDeclaration(reset.state.accepted->text).declaration);
  }

  void Accept(std::uint64_t offset,
              const std::string& edit,
              const Declaration& declaration) {
    current_ = offset;
    accepted[offset] = edit;
    done_[edit] = true;
    blind_allowed_ = declaration.allow_blind_writes;
  }

  std::optional<std::uint64_t> current_;
  std::uint64_t covered_until_ = 0;
  bool blind_allowed_ = false;
  std::map<std::string, bool> done_;
};

class World {
 public:
  World(std::uint64_t seed, Mutations mutations)
      : simulation_(seed),
        mutations_(mutations),
        log_(simulation_, kRetention) {
    entries_.resize(3 + random().Below(3));
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      StartEntry(i);
      Tick(i);
    }
    Publish();
    InjectFault();
  }

  std::vector<std::string> Run() {
    simulation_.RunFor(Seconds(60));
    faults_off_ = true;
    log_.faults() = LogFaults{};
    for (Entry& entry : entries_)
      entry.paused = false;
    simulation_.RunFor(Seconds(25));
    // A new entry that reaches no peer must find everything it needs on the
    // log.
    StartEntry(0);
    first_has_peers_ = false;
    simulation_.RunFor(Seconds(8));
    CheckEnd();
    return violations_;
  }

 private:
  struct Entry {
    std::optional<ConfigStateMachine> fold;
    std::optional<CheckpointPlanner> planner;
    std::uint64_t generation = 0;
    bool paused = false;
    bool reading = false;
    int failed_reads = 0;
    std::uint64_t highest_version = 0;
  };

  SeededRandom& random() { return simulation_.random(); }

  void StartEntry(std::size_t i) {
    Entry& entry = entries_[i];
    entry = Entry{.fold = ConfigStateMachine(mutations_.acceptance),
                  .planner = CheckpointPlanner(
                      {.retention = kRetention,
                       .renewals_per_retention = 3,
                       .max_jitter = Milliseconds(500),
                       .min_gap_duration = Milliseconds(3000),
                       .mutation_no_checkpoints = mutations_.no_checkpoints}),
                  .generation = entry.generation + 1,
                  .paused = false,
                  .reading = false,
                  .failed_reads = 0,
                  .highest_version = 0};
  }

  // Runs `event` for one generation of an entry; while the entry is paused, the
  // event waits.
  void RunOnEntry(std::size_t i,
                  std::uint64_t generation,
                  std::function<void()> event) {
    if (entries_[i].generation != generation)
      return;
    if (!entries_[i].paused) {
      event();
      return;
    }
    simulation_.After(kTick, [this, i, generation, event] {
      RunOnEntry(i, generation, event);
    });
  }

  void Tick(std::size_t i) {
    simulation_.After(kTick, [this, i] { Tick(i); });
    Entry& entry = entries_[i];
    if (entry.paused)
      return;
    if (!entry.reading)
      ReadLog(i);
    const bool needs_peer = entry.fold->has_gap() || entry.failed_reads > 2 ||
                            !entry.fold->in_force();
    if (needs_peer || random().Chance(0.05))
      AskPeer(i);
  }

  void ReadLog(std::size_t i) {
    Entry& entry = entries_[i];
    entry.reading = true;
    log_.Read(entry.fold->next(), 5,
              [this, i,
               generation = entry.generation](const Result<LogBatch>& batch) {
                RunOnEntry(i, generation,
                           [this, i, batch] { OnRead(i, batch); });
              });
  }

  void OnRead(std::size_t i, const Result<LogBatch>& batch) {
    Entry& entry = entries_[i];
    entry.reading = false;
    if (!batch.ok()) {
      ++entry.failed_reads;
      return;
    }
    entry.failed_reads = 0;
    (void)entry.fold->OnBatch(batch.value());
    CheckEntry(i);
    const double draw = static_cast<double>(random().Below(1000)) / 1000;
    const auto record = entry.planner->Plan(
        *entry.fold, batch.value().first_retained, simulation_.now(), draw);
    if (record)
      log_.Append(EncodeConfigRecord(*record).value(), [](const auto&) {});
  }

  // The peer's state is read now and arrives after a random delay.
  void AskPeer(std::size_t i) {
    const std::size_t peer = random().Below(entries_.size());
    if (peer == i || entries_[peer].paused || (i == 0 && !first_has_peers_))
      return;
    const ConfigState state = entries_[peer].fold->state();
    const Milliseconds delay = random().Between(
        Milliseconds(1), Milliseconds(faults_off_ ? 20 : 4000));
    simulation_.After(delay,
                      [this, i, generation = entries_[i].generation, state] {
                        RunOnEntry(i, generation, [this, i, state] {
                          (void)entries_[i].fold->OnPeerState(state);
                          CheckEntry(i);
                        });
                      });
  }

  void Publish() {
    simulation_.After(random().Between(Milliseconds(50), Milliseconds(1500)),
                      [this] { Publish(); });
    const auto in_force =
        entries_[random().Below(entries_.size())].fold->in_force();
    EditRecord edit;
    edit.edit = EditId("edit-" + std::to_string(++edits_));
    edit.text = "format: 1\npools: [{name: " + edit.edit.value() + "}]\n";
    if (random().Chance(0.1))
      edit.text += "allow_blind_writes: true\n";
    if (random().Chance(0.05))
      edit.text += "unknown: 1\n";
    if (in_force && !random().Chance(0.1))
      edit.base = in_force->version;
    std::string payload = EncodeConfigRecord(edit).value();
    if (random().Chance(0.03))
      payload.resize(payload.size() / 2);
    const int copies = random().Chance(0.1) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
      log_.Append(payload, [](const auto&) {});
  }

  void InjectFault() {
    simulation_.After(random().Between(Milliseconds(300), Milliseconds(4000)),
                      [this] { InjectFault(); });
    if (faults_off_)
      return;
    const std::size_t i = random().Below(entries_.size());
    // Some outages last longer than the log's retention.
    const auto outage = [this](double long_share) -> Milliseconds {
      return random().Chance(long_share) ? kRetention + Seconds(2) : Seconds(2);
    };
    switch (random().Below(7)) {
      case 0:
        log_.GoDown(outage(0.2));
        break;
      case 1:
        log_.SlowDown(Seconds(2));
        break;
      case 2:
        log_.LoseReplies(0.2);
        break;
      case 3:
        entries_[i].paused = true;
        simulation_.After(random().Between(Milliseconds(200), Seconds(20)),
                          [this, i] { entries_[i].paused = false; });
        break;
      case 4:
        StartEntry(i);
        break;
      case 5:
        // Makes the log drop records that no entry has read.
        log_.StopReads(outage(0.5));
        break;
      default:
        log_.faults().max_delay = Milliseconds(10);
    }
  }

  void CheckEntry(std::size_t i) {
    Entry& entry = entries_[i];
    const auto in_force = entry.fold->in_force();
    if (!in_force)
      return;
    const std::uint64_t version = in_force->version.value();
    if (version < entry.highest_version)
      AddViolation("entry reverted from " +
                   std::to_string(entry.highest_version) + " to " +
                   std::to_string(version));
    entry.highest_version = std::max(entry.highest_version, version);
    const auto [it, is_new] =
        observed_.emplace(version, in_force->edit.value());
    if (!is_new && it->second != in_force->edit.value())
      AddViolation("two edits under version " + std::to_string(version));
  }

  void CheckEnd() {
    const Reference reference(log_.all());
    for (const auto& [version, edit] : observed_) {
      const auto it = reference.accepted.find(version);
      if (it == reference.accepted.end() || it->second != edit)
        AddViolation("version " + std::to_string(version) +
                     " was in force but not accepted");
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      const auto in_force = entries_[i].fold->in_force();
      if (entries_[i].fold->has_gap() || !in_force) {
        AddViolation("entry " + std::to_string(i) +
                     " never closed its log gap");
        continue;
      }
      // The last edits may still be in flight.
      const auto newest = reference.accepted.rbegin();
      std::uint64_t behind = 0;
      for (auto it = newest; it != reference.accepted.rend() &&
                             it->first > in_force->version.value();
           ++it)
        ++behind;
      if (behind > 2)
        AddViolation("entry " + std::to_string(i) + " is behind");
    }
  }

  void AddViolation(std::string what) {
    violations_.push_back(std::move(what));
  }

  Simulation simulation_;
  Mutations mutations_;
  FakeLog log_;
  std::vector<Entry> entries_;
  bool faults_off_ = false;
  bool first_has_peers_ = true;
  int edits_ = 0;
  std::map<std::uint64_t, std::string> observed_;
  std::vector<std::string> violations_;
};

bool OracleDetects(Mutations mutations) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    if (!World(seed, mutations).Run().empty())
      return true;
  }
  return false;
}

bool OracleDetects(AcceptanceMutation mutation) {
  return OracleDetects(
      Mutations{.acceptance = mutation, .no_checkpoints = false});
}

// Operators publish concurrently while the log fails in every way it can, for
// longer than its retention, and entries restart. Guards against two entries
// that run different declarations and against an entry that reverts to an older
// one.
TEST_CASE("accepted configurations never revert and all entries converge") {
  rc::prop("under faults", [](std::uint64_t seed) {
    const auto violations = World(seed, Mutations{}).Run();
    if (!violations.empty())
      RC_FAIL("seed " + std::to_string(seed) + ": " + violations.front());
  });
}

TEST_CASE("without the base check the oracle detects violations") {
  CHECK(OracleDetects(AcceptanceMutation::kIgnoreBase));
}

TEST_CASE("with blind writes for all the oracle detects violations") {
  CHECK(OracleDetects(AcceptanceMutation::kAllowBlindWrites));
}

TEST_CASE(
    "with decisions across dropped records the oracle detects violations") {
  CHECK(OracleDetects(AcceptanceMutation::kDecideAcrossGap));
}

TEST_CASE("with any peer's state the oracle detects violations") {
  CHECK(OracleDetects(AcceptanceMutation::kTakeAnyState));
}

TEST_CASE("with any reset the oracle detects violations") {
  CHECK(OracleDetects(AcceptanceMutation::kTakeAnyReset));
}

TEST_CASE(
    "with checkpoints that raise the version the oracle detects violations") {
  CHECK(OracleDetects(AcceptanceMutation::kCheckpointRaisesVersion));
}

TEST_CASE("without checkpoints the oracle detects violations") {
  CHECK(OracleDetects(Mutations{.acceptance = AcceptanceMutation::kNone,
                                .no_checkpoints = true}));
}

}  // namespace
}  // namespace carobshift
