// A child process of a test: one of the binaries in build/bin, with its output
// in a file of a temporary directory.
//
//   TemporaryDirectory dir;
//   Process log("standin_log", {"--listen", "127.0.0.1:0"}, dir.path());
//   log.Signal(SIGKILL);

#ifndef TESTING_PROCESS_H_
#define TESTING_PROCESS_H_

#include <sys/types.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/base/net_address.h"
#include "carobshift/base/units.h"

namespace carobshift {

// Polls `condition` until it holds; false if it doesn't within `limit`.
[[nodiscard]] bool WaitUntil(const std::function<bool()>& condition,
                             Milliseconds limit = Milliseconds(10000));

// Where a binary of this build lies.
[[nodiscard]] std::string BinaryPath(const std::string& name);

// Removed with all files at the end, unless CAROBSHIFT_KEEP_LOGS is set.
class TemporaryDirectory {
 public:
  TemporaryDirectory();
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Started by the thread that lives longest: a child is killed with the thread
// that started it, so that none outlives a crashed test.
class Process {
 public:
  // Throws std::runtime_error with the child's output if it doesn't print
  // "listening HOST:PORT" within ten seconds.
  Process(const std::string& binary,
          const std::vector<std::string>& arguments,
          const std::string& directory);
  // Kills it if it still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  [[nodiscard]] const NetAddress& address() const { return address_; }
  [[nodiscard]] const std::string& log_path() const { return log_path_; }
  [[nodiscard]] std::string Output() const;

  void Signal(int signal);
  // SIGKILL, and waits until it is gone.
  void Kill();
  // The exit status, or -signal; nothing if it still runs after `limit`.
  [[nodiscard]] std::optional<int> WaitForExit(Milliseconds limit);
  [[nodiscard]] bool running();

  [[nodiscard]] Bytes ResidentBytes() const;
  [[nodiscard]] Microseconds CpuTime() const;

 private:
  [[nodiscard]] std::optional<NetAddress> ListeningAddress() const;

  std::string log_path_;
  pid_t pid_ = -1;
  std::optional<int> exit_;
  NetAddress address_;
};

}  // namespace carobshift

#endif  // TESTING_PROCESS_H_
