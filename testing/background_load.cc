#include "testing/background_load.h"

#include <utility>

namespace carobshift {

BackgroundLoad::BackgroundLoad(const Cluster& cluster,
                               int callers,
                               std::vector<std::string> versions)
    : entries_(cluster.EntryAddresses()), versions_(std::move(versions)) {
  for (int i = 0; i < callers; ++i) {
    callers_.emplace_back([this, i](const std::stop_token& stop) {
      Run(stop, static_cast<std::size_t>(i));
    });
  }
}

BackgroundLoad::~BackgroundLoad() = default;

bool BackgroundLoad::AwaitWhole(int more, Milliseconds limit) {
  const int wanted = whole_ + more;
  return WaitUntil([&] { return whole_ >= wanted; }, limit);
}

LoadCounts BackgroundLoad::Stop() {
  for (std::jthread& caller : callers_)
    caller.request_stop();
  callers_.clear();
  const std::lock_guard lock(mutex_);
  return counts_;
}

void BackgroundLoad::Run(const std::stop_token& stop, std::size_t number) {
  const Caller caller(entries_, kClubKey, versions_);
  std::size_t at = number;
  for (int i = 0; !stop.stop_requested(); ++i) {
    CompletionCall call;
    call.prompt =
        "caller " + std::to_string(number) + " asks " + std::to_string(i);
    const MonotonicTime begin = MonotonicNow();
    bool whole = false;
    while (!whole && !stop.stop_requested()) {
      const CompletionOutcome outcome =
          caller.CompleteAt(entries_[at % entries_.size()], call);
      whole = outcome.whole;
      if (!whole)
        ++at;
      Count(outcome,
            std::chrono::duration_cast<Milliseconds>(MonotonicNow() - begin));
    }
  }
}

void BackgroundLoad::Count(const CompletionOutcome& outcome,
                           Milliseconds waited) {
  constexpr std::size_t kMaxErrors = 10;
  const std::lock_guard lock(mutex_);
  counts_.wrong += outcome.wrong ? 1 : 0;
  if (outcome.whole) {
    ++counts_.whole;
    ++whole_;
    counts_.waits.push_back(waited);
  } else if (outcome.error.is_object()) {
    ++counts_.typed_errors;
    if (counts_.errors.size() < kMaxErrors)
      counts_.errors.push_back(outcome.error.dump());
  } else if (outcome.connection_failed) {
    ++counts_.connection_errors;
  } else {
    ++counts_.cut_short;
  }
}

}  // namespace carobshift
