#include "carobshift/telemetry/fatal_signal.h"

#include <execinfo.h>
#include <poll.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstdint>

// Load address of the program, defined by the linker.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" const char __executable_start;

namespace carobshift {
namespace {

constexpr std::size_t kMaxFrames = 48;
constexpr std::size_t kMaxProcessNameBytes = 64;
// Writes to a pipe of up to this size are atomic (PIPE_BUF).
constexpr std::size_t kLineBytes = 4096;
constexpr std::size_t kHandlerStackBytes = std::size_t{64} << 10;
constexpr std::array kFatalSignals = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};

std::array<char, kMaxProcessNameBytes> process_name;
std::size_t process_name_size = 0;
// Separate stack for the handler, which can't run on one that has overflowed.
alignas(16) std::array<char, kHandlerStackBytes> handler_stack;

// Builds a text of bounded length without allocating memory.
class LineBuilder {
 public:
  void Add(std::string_view text) {
    const std::size_t size = std::min(text.size(), bytes_.size() - size_);
    std::copy_n(text.data(), size, bytes_.data() + size_);
    size_ += size;
  }
  void Add(std::uintptr_t value, int base) {
    std::array<char, 20> digits;
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), value, base)
            .ptr;
    Add({digits.data(), static_cast<std::size_t>(end - digits.data())});
  }
  void AddAddress(const void* address) {
    constexpr int kHex = 16;
    Add("\"0x");
    Add(reinterpret_cast<std::uintptr_t>(address), kHex);
    Add("\"");
  }
  [[nodiscard]] std::string_view text() const { return {bytes_.data(), size_}; }

 private:
  std::array<char, kLineBytes> bytes_;
  std::size_t size_ = 0;
};

void WriteWithoutWaiting(std::string_view text) {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  if (::poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0)
    return;
  // A failed write can't be reported.
  [[maybe_unused]] const ssize_t written =
      ::write(STDOUT_FILENO, text.data(), text.size());
}

void OnFatalSignal(int signal) {
  constexpr int kDecimal = 10;
  std::array<void*, kMaxFrames> frames;
  const int count = ::backtrace(frames.data(), static_cast<int>(frames.size()));
  LineBuilder line;
  line.Add(R"({"event":"fatal_signal","level":"error","process":")");
  line.Add({process_name.data(), process_name_size});
  line.Add(R"(","signal":)");
  line.Add(static_cast<std::uintptr_t>(signal), kDecimal);
  line.Add(R"(,"base":)");
  line.AddAddress(&__executable_start);
  line.Add(R"(,"stack":[)");
  for (int i = 0; i < count; ++i) {
    if (i > 0)
      line.Add(",");
    line.AddAddress(frames[static_cast<std::size_t>(i)]);
  }
  line.Add("]}\n");
  WriteWithoutWaiting(line.text());
  // SA_RESETHAND has restored the default action, so this ends the process.
  ::raise(signal);
}

}  // namespace

void InstallFatalSignalHandler(std::string_view process) {
  process_name_size = std::min(process.size(), process_name.size());
  std::copy_n(process.data(), process_name_size, process_name.data());
  // The first call of backtrace() loads a library, which isn't
  // async-signal-safe.
  std::array<void*, 1> frame;
  ::backtrace(frame.data(), static_cast<int>(frame.size()));
  const rlimit no_core{0, 0};
  ::setrlimit(RLIMIT_CORE, &no_core);
  stack_t stack{};
  stack.ss_sp = handler_stack.data();
  stack.ss_size = handler_stack.size();
  ::sigaltstack(&stack, nullptr);
  struct sigaction action {};
  action.sa_handler = &OnFatalSignal;
  action.sa_flags = SA_ONSTACK | static_cast<int>(SA_RESETHAND);
  for (const int signal : kFatalSignals)
    ::sigaction(signal, &action, nullptr);
}

}  // namespace carobshift
