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

bool BackgroundLoad::WaitForComplete(int more, Milliseconds limit) {
  const int wanted = complete_ + more;
  return WaitUntil([&] { return complete_ >= wanted; }, limit);
}

LoadCounts BackgroundLoad::Stop() {
  for (std::jthread& caller : callers_)
    caller.request_stop();
  callers_.clear();
  const std::lock_guard lock(mutex_);
  return counts_;
}

void BackgroundLoad::Run(const std::stop_token& stop, std::size_t number) {
  const Caller caller(entries_, kAccountKey, versions_);
  std::size_t at = number;
  for (int i = 0; !stop.stop_requested(); ++i) {
    CompletionCall call;
    call.prompt =
        "caller " + std::to_string(number) + " asks " + std::to_string(i);
    const MonotonicTime begin = MonotonicNow();
    bool complete = false;
    while (!complete && !stop.stop_requested()) {
      const CompletionOutcome outcome =
          caller.CompleteAt(entries_[at % entries_.size()], call);
      complete = outcome.complete;
      if (!complete)
        ++at;
      Count(outcome,
            std::chrono::duration_cast<Milliseconds>(MonotonicNow() - begin));
    }
  }
}

void BackgroundLoad::Count(const CompletionOutcome& outcome,
                           Milliseconds latency) {
  constexpr std::size_t kMaxErrors = 10;
  const std::lock_guard lock(mutex_);
  counts_.wrong += outcome.wrong ? 1 : 0;
  if (outcome.complete) {
    ++counts_.complete;
    ++complete_;
    counts_.latencies.push_back(latency);
  } else if (outcome.error.is_object()) {
    ++counts_.typed_errors;
    if (counts_.errors.size() < kMaxErrors)
      counts_.errors.push_back(outcome.error.dump());
  } else if (outcome.connection_failed) {
    ++counts_.connection_errors;
  } else {
    ++counts_.truncated;
  }
}

}  // namespace carobshift
