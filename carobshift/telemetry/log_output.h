// The destination of log lines: standard error without buffering, or standard
// output through a bounded buffer that never blocks the process.
//
//   BufferLogOutput();        // once, at the start
//   FlushLogOutput();         // a few times a second, from the event loop
//
// Without the buffer, a log reader that stops reading would let the pipe fill
// up, and the next log line would block all requests of the process. With the
// buffer, lines that don't fit are dropped and counted, and the next line that
// fits reports their number.
//
// Thread-safe.

#ifndef CAROBSHIFT_TELEMETRY_LOG_OUTPUT_H_
#define CAROBSHIFT_TELEMETRY_LOG_OUTPUT_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>

namespace carobshift {

// About a thousand lines. The maximum of one instance in one second, during a
// burst in which every fifth request was rejected, was 411 lines of 103 KB.
inline constexpr std::size_t kMaxBufferedLogBytes = std::size_t{256} << 10;

// Buffers complete lines up to a number of bytes; drops and counts further
// lines. Thread-compatible.
class LineBuffer {
 public:
  explicit LineBuffer(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Appends text, which may hold several lines or part of a line.
  void Append(std::string_view text);
  // Returns the oldest bytes to be written, at most `bytes`.
  [[nodiscard]] std::string_view Front(std::size_t bytes) const;
  void Consume(std::size_t bytes);

  [[nodiscard]] std::size_t size() const { return lines_.size(); }
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  void FinishLine();

  std::size_t max_bytes_;
  std::string line_;
  std::string lines_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_since_report_ = 0;
};

// The stream that the logging library writes to.
[[nodiscard]] std::ostream& LogOutput();

// Buffers lines from now on until FlushLogOutput() writes them.
void BufferLogOutput();
// Writes as much as standard output accepts without blocking.
void FlushLogOutput();
// Writes the remaining lines when the process ends. Waits up to 200 ms for
// standard output to accept the next part.
void FinishLogOutput();
[[nodiscard]] std::uint64_t DroppedLogLines();

}  // namespace carobshift

#endif  // CAROBSHIFT_TELEMETRY_LOG_OUTPUT_H_
