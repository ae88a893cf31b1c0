// Callers that keep streaming completions while a test breaks something, each
// going to the next entry when one fails it.
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
  int whole = 0;
  // Answers and streams that ended with a typed error.
  int typed_errors = 0;
  // The entry's connection failed: the entry died.
  int connection_errors = 0;
  // Neither whole nor an error, although the connection ended well.
  int cut_short = 0;
  int wrong = 0;
  // Times from first try to whole answer, in the order of their ends.
  std::vector<Milliseconds> waits;
  // The typed errors' texts, ten at most.
  std::vector<std::string> errors;
};

class BackgroundLoad {
 public:
  BackgroundLoad(const Cluster& cluster,
                 int callers,
                 std::vector<std::string> versions = {"v1"});
  ~BackgroundLoad();

  [[nodiscard]] int whole() const { return whole_; }
  // Waits until `more` further answers are whole; false after `limit`.
  [[nodiscard]] bool AwaitWhole(int more,
                                Milliseconds limit = Milliseconds(20000));
  LoadCounts Stop();

 private:
  void Run(const std::stop_token& stop, std::size_t number);
  void Count(const CompletionOutcome& outcome, Milliseconds waited);

  const std::vector<NetAddress> entries_;
  const std::vector<std::string> versions_;
  std::atomic<int> whole_{0};
  std::mutex mutex_;
  LoadCounts counts_;
  std::vector<std::jthread> callers_;
};

}  // namespace carobshift

#endif  // TESTING_BACKGROUND_LOAD_H_
