#include "carobshift/telemetry/log_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <iostream>

namespace carobshift {
namespace {

// A pipe that is ready for writing accepts this much without blocking
// (PIPE_BUF).
constexpr std::size_t kWriteBytes = 4096;
// How long the end of the process waits for standard output to accept more.
constexpr int kFinishWaitMs = 200;

class LogBuffer : public std::streambuf {
 public:
  LogBuffer() : buffer_(kMaxBufferedLogBytes) {}

  void StartBuffering() {
    const std::lock_guard lock(mutex_);
    buffered_ = true;
  }

  // Writes one part. Returns false if nothing is left or if standard output
  // accepts no more within `wait_ms`.
  bool FlushPart(int wait_ms) {
    const std::lock_guard lock(mutex_);
    const std::string_view part = buffer_.Front(kWriteBytes);
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (part.empty() || ::poll(&output, 1, wait_ms) <= 0 ||
        (output.revents & POLLOUT) == 0)
      return false;
    const ssize_t written = ::write(STDOUT_FILENO, part.data(), part.size());
    if (written <= 0)
      return false;
    buffer_.Consume(static_cast<std::size_t>(written));
    return true;
  }

  [[nodiscard]] std::uint64_t dropped() {
    const std::lock_guard lock(mutex_);
    return buffer_.dropped();
  }

 protected:
  int_type overflow(int_type character) override {
    if (character != traits_type::eof()) {
      const char c = traits_type::to_char_type(character);
      Write({&c, 1});
    }
    return character;
  }
  std::streamsize xsputn(const char* text, std::streamsize size) override {
    Write({text, static_cast<std::size_t>(size)});
    return size;
  }

 private:
  void Write(std::string_view text) {
    const std::lock_guard lock(mutex_);
    if (buffered_)
      buffer_.Append(text);
    else
      std::cerr << text << std::flush;
  }

  std::mutex mutex_;
  LineBuffer buffer_;
  bool buffered_ = false;
};

// Never destroyed, since the destructors of other static objects may log.
LogBuffer& Buffer() {
  static LogBuffer* const kBuffer = new LogBuffer();
  return *kBuffer;
}

}  // namespace

void LineBuffer::Append(std::string_view text) {
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    line_ += text.substr(0, end);
    if (end == std::string_view::npos)
      return;
    text.remove_prefix(end + 1);
    FinishLine();
  }
}

void LineBuffer::FinishLine() {
  const std::string line = std::move(line_);
  line_.clear();
  if (lines_.size() + line.size() >= max_bytes_) {
    ++dropped_;
    ++dropped_since_report_;
    return;
  }
  if (dropped_since_report_ > 0) {
    lines_ += R"({"event":"log_lines_dropped","level":"warning","lines":)" +
              std::to_string(dropped_since_report_) + "}\n";
    dropped_since_report_ = 0;
  }
  lines_ += line;
  lines_ += '\n';
}

std::string_view LineBuffer::Front(std::size_t bytes) const {
  return std::string_view(lines_).substr(0, bytes);
}

void LineBuffer::Consume(std::size_t bytes) {
  lines_.erase(0, bytes);
}

std::ostream& LogOutput() {
  static std::ostream* const kOutput = new std::ostream(&Buffer());
  return *kOutput;
}

void BufferLogOutput() {
  Buffer().StartBuffering();
}

void FlushLogOutput() {
  while (Buffer().FlushPart(/*wait_ms=*/0)) {
  }
}

void FinishLogOutput() {
  while (Buffer().FlushPart(kFinishWaitMs)) {
  }
}

std::uint64_t DroppedLogLines() {
  return Buffer().dropped();
}

}  // namespace carobshift
