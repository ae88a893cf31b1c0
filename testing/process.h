// A child process of a test: a binary from build/bin whose output goes to files
// in a temporary directory.
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

// Polls `condition` until it holds. Returns false if it does not hold within
// `limit`.
[[nodiscard]] bool WaitUntil(const std::function<bool()>& condition,
                             Milliseconds limit = Milliseconds(10000));

// Returns the path of a binary of this build.
[[nodiscard]] std::string BinaryPath(const std::string& name);

// A temporary directory. The destructor removes it with all its files unless
// CAROBSHIFT_KEEP_LOGS is set.
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

// Create processes from a thread that outlives them: the kernel kills a child
// when the thread that started it ends, so that no child outlives a crashed
// test.
class Process {
 public:
  // Throws std::runtime_error with the child's output if it doesn't print
  // "listening HOST:PORT" within ten seconds.
  Process(const std::string& binary,
          const std::vector<std::string>& arguments,
          const std::string& directory);
  // Kills the process if it is still running.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  [[nodiscard]] const NetAddress& address() const { return address_; }
  [[nodiscard]] const std::string& log_path() const { return log_path_; }
  [[nodiscard]] std::string Output() const;

  [[nodiscard]] pid_t pid() const { return pid_; }
  // After SIGSTOP, waits until all threads of the process have stopped: until
  // then a busy machine may let it answer.
  void Signal(int signal);
  // Sends SIGKILL and waits up to 10 s for the process to exit.
  void Kill();
  // Returns the exit status, or the negated signal number. Returns nothing if
  // the process still runs after `limit`.
  [[nodiscard]] std::optional<int> WaitForExit(Milliseconds limit);
  [[nodiscard]] bool running();

  [[nodiscard]] Bytes ResidentBytes() const;
  [[nodiscard]] Microseconds CpuTime() const;

 private:
  [[nodiscard]] std::optional<NetAddress> ListeningAddress() const;

  std::string log_path_;
  pid_t pid_ = -1;
  std::optional<int> exit_status_;
  NetAddress address_;
};

}  // namespace carobshift

#endif  // TESTING_PROCESS_H_
