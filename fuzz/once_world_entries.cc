// The entries of OnceWorld: starts, pauses and log reads and appends.

#include <memory>
#include <utility>

#include "fuzz/once_world.h"

namespace carobshift {
namespace {

constexpr Milliseconds kTick{50};
constexpr Milliseconds kReplayWindow{6000};
constexpr Milliseconds kFreeWindow{10'000};
constexpr Milliseconds kClockDifference{1000};

}  // namespace

void OnceWorld::StartEntry(std::size_t i) {
  const std::uint64_t generation = entries_[i].generation + 1;
  Entry entry;
  entry.generation = generation;
  entry.clock_error = random().Between(Milliseconds(-400), Milliseconds(400));
  entry.guard = std::make_unique<BoundKeyGuard>(
      BoundKeyGuardOptions{.entry = EntryIdOf(i),
                           .incarnation = Incarnation(generation),
                           .replay_window = kReplayWindow,
                           .limits = {},
                           .mutation = mutation_});
  entry.free_table = std::make_unique<RunTable>(RunTableLimits{}, mutation_);
  FreeKeyOptions options;
  options.entry = EntryIdOf(i);
  options.incarnation = Incarnation(generation);
  options.window = kFreeWindow;
  options.clock_difference = kClockDifference;
  options.mutation = mutation_;
  entry.claims = std::make_unique<FreeKeyClaims>(options);
  entries_[i] = std::move(entry);
}

void OnceWorld::RunOnEntry(std::size_t i,
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

void OnceWorld::Tick(std::size_t i) {
  simulation_.After(kTick, [this, i] { Tick(i); });
  Entry& entry = entries_[i];
  if (entry.paused)
    return;
  const std::uint64_t generation = entry.generation;
  OnActions(i, entry.claims->ExpireWaiters(simulation_.now()));
  if (auto payload = entry.claims->TakeAppend(simulation_.now())) {
    log_.Append(*payload,
                [this, i, generation](const Result<LogOffset>& reply) {
                  RunOnEntry(i, generation, [this, i, reply] {
                    OnActions(i, entries_[i].claims->OnAppendReply(reply));
                  });
                });
  }
  if (entry.reading)
    return;
  entry.reading = true;
  log_.Read(entry.claims->next(), 20,
            [this, i, generation](const Result<LogBatch>& batch) {
              RunOnEntry(i, generation, [this, i, batch] {
                Entry& reader = entries_[i];
                reader.reading = false;
                if (batch.ok())
                  OnActions(i, reader.claims->OnBatch(batch.value(),
                                                      simulation_.now(),
                                                      WallTimeOf(reader)));
              });
            });
}

void OnceWorld::InjectFault() {
  simulation_.After(random().Between(Milliseconds(200), Seconds(3)),
                    [this] { InjectFault(); });
  if (faults_off_)
    return;
  const std::size_t i = random().Below(entries_.size());
  switch (random().Below(7)) {
    case 0:
      log_.GoDown(random().Between(Milliseconds(500), Seconds(6)));
      break;
    case 1:
      log_.SlowDown(Seconds(1));
      break;
    case 2:
      log_.LoseReplies(0.3);
      break;
    case 3:
    case 4:
      entries_[i].paused = true;
      simulation_.After(random().Between(Milliseconds(200), Seconds(8)),
                        [this, i] { entries_[i].paused = false; });
      break;
    case 5:
      StartEntry(i);
      break;
    default:
      log_.faults() = LogFaults{};
  }
}

}  // namespace carobshift
