// Streams completions from several client threads while a test injects faults.
// A client retries at the next entry when a request fails.
//
//   BackgroundLoad load(cluster, 4);
//   cluster.engine(0).Kill();
//   const LoadCounts counts = load.Stop();
//   CHECK(counts.wrong == 0);

#ifndef TESTING_BACKGROUND_LOAD_H_
#define TESTING_BACKGROUND_LOAD_H_

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "testing/caller.h"
#include "testing/cluster.h"

namespace carobshift {

struct LoadCounts {
  int complete = 0;
  // Responses and streams that ended with a typed error.
  int typed_errors = 0;
  // Requests whose connection to the entry failed, as when the entry died.
  int connection_errors = 0;
  // Streams that ended without a final frame and without an error, although the
  // connection was closed cleanly.
  int truncated = 0;
  int wrong = 0;
  // Times from the first attempt to the complete answer, in order of
  // completion.
  std::vector<Milliseconds> latencies;
  // The bodies of the first ten typed errors.
  std::vector<std::string> errors;
};

class BackgroundLoad {
 public:
  BackgroundLoad(const Cluster& cluster,
                 int callers,
                 std::vector<std::string> versions = {"v1"});
  ~BackgroundLoad();

  [[nodiscard]] int complete() const { return complete_; }
  // Waits until `more` further answers are complete. Returns false after
  // `limit`.
  [[nodiscard]] bool WaitForComplete(int more,
                                     Milliseconds limit = Milliseconds(20000));
  LoadCounts Stop();

 private:
  void Run(const std::stop_token& stop, std::size_t number);
  void Count(const CompletionOutcome& outcome, Milliseconds latency);

  const std::vector<NetAddress> entries_;
  const std::vector<std::string> versions_;
  std::atomic<int> complete_{0};
  std::mutex mutex_;
  LoadCounts counts_;
  std::vector<std::jthread> callers_;
};

}  // namespace carobshift

#endif  // TESTING_BACKGROUND_LOAD_H_
