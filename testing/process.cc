#include "testing/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace carobshift {
namespace {

namespace fs = std::filesystem;

constexpr Milliseconds kPollInterval{5};
constexpr std::string_view kListening = "listening ";

// Standard output goes to a separate file. In a shared file a concurrent write
// to standard error could split the "listening" line, and the address would not
// be found.
std::string OutputPath(const std::string& log_path) {
  return log_path + ".out";
}

int OpenToAppend(const std::string& path) {
  return open(path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
}

std::string ReadAll(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

pid_t Spawn(const std::string& binary,
            const std::vector<std::string>& arguments,
            const std::string& log_path) {
  const std::string path = BinaryPath(binary);
  std::vector<char*> argv = {const_cast<char*>(path.c_str())};
  for (const std::string& argument : arguments)
    argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  const int log = OpenToAppend(log_path);
  const int output = OpenToAppend(OutputPath(log_path));
  const pid_t pid = fork();
  if (pid != 0) {
    close(log);
    close(output);
    return pid;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(output, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execv(path.c_str(), argv.data());
  _exit(127);
}

}  // namespace

std::string BinaryPath(const std::string& name) {
  const fs::path self = fs::read_symlink("/proc/self/exe");
  return (self.parent_path().parent_path() / "bin" / name).string();
}

bool WaitUntil(const std::function<bool()>& condition, Milliseconds limit) {
  const MonotonicTime end = MonotonicNow() + limit;
  while (!condition()) {
    if (MonotonicNow() > end)
      return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

TemporaryDirectory::TemporaryDirectory() {
  std::string pattern =
      (fs::temp_directory_path() / "carobshift-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr)
    throw std::runtime_error("cannot create a temporary directory");
  path_ = pattern;
}

TemporaryDirectory::~TemporaryDirectory() {
  std::error_code ignored;
  if (std::getenv("CAROBSHIFT_KEEP_LOGS") == nullptr)
    fs::remove_all(path_, ignored);
}

Process::Process(const std::string& binary,
                 const std::vector<std::string>& arguments,
                 const std::string& directory) {
  static std::atomic<int> started{0};
  log_path_ =
      directory + "/" + binary + "-" + std::to_string(++started) + ".log";
  pid_ = Spawn(binary, arguments, log_path_);
  const bool exited_or_listening = WaitUntil(
      [this] { return ListeningAddress().has_value() || !running(); });
  const std::optional<NetAddress> address = ListeningAddress();
  if (!exited_or_listening || !address) {
    Kill();
    throw std::runtime_error(binary + " did not start: " + Output());
  }
  address_ = *address;
}

Process::~Process() {
  Kill();
}

std::string Process::Output() const {
  return ReadAll(OutputPath(log_path_)) + ReadAll(log_path_);
}

std::optional<NetAddress> Process::ListeningAddress() const {
  std::istringstream lines(ReadAll(OutputPath(log_path_)));
  std::string line;
  while (std::getline(lines, line)) {
    // A line without a newline may be incomplete.
    if (line.starts_with(kListening) && !lines.eof())
      return ParseNetAddress(line.substr(kListening.size()));
  }
  return std::nullopt;
}

void Process::Signal(int signal) {
  if (!running())
    return;
  kill(pid_, signal);
  if (signal != SIGSTOP)
    return;
  siginfo_t change{};
  waitid(P_PID, static_cast<id_t>(pid_), &change, WSTOPPED | WEXITED | WNOWAIT);
}

void Process::Kill() {
  Signal(SIGKILL);
  (void)WaitForExit(Seconds(10));
}

std::optional<int> Process::WaitForExit(Milliseconds limit) {
  (void)WaitUntil([this] { return !running(); }, limit);
  return exit_status_;
}

bool Process::running() {
  if (exit_status_)
    return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_)
    return true;
  exit_status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return false;
}

Bytes Process::ResidentBytes() const {
  std::ifstream in("/proc/" + std::to_string(pid_) + "/statm");
  Bytes total = 0;
  Bytes resident = 0;
  in >> total >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

Microseconds Process::CpuTime() const {
  std::ifstream in("/proc/" + std::to_string(pid_) + "/stat");
  std::string text(std::istreambuf_iterator<char>(in), {});
  // User and system time are the 12th and 13th fields after the name.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  constexpr int kFieldsBefore = 11;
  std::string skipped;
  for (int i = 0; i < kFieldsBefore; ++i)
    fields >> skipped;
  std::int64_t user = 0;
  std::int64_t system = 0;
  fields >> user >> system;
  constexpr std::int64_t kMicrosecondsPerSecond = 1000000;
  return Microseconds((user + system) * kMicrosecondsPerSecond /
                      sysconf(_SC_CLK_TCK));
}

}  // namespace carobshift
