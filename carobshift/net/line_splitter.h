// LineSplitter splits a body that arrives in pieces into lines.
//
//   LineSplitter lines([](std::string_view line) { return Use(line); });
//   while (call.ReadBody(piece)) {
//     if (lines.Feed(std::exchange(piece, {})) != LineSplitter::State::kOpen)
//       break;
//   }
//
// Thread-compatible.

#ifndef CAROBSHIFT_NET_LINE_SPLITTER_H_
#define CAROBSHIFT_NET_LINE_SPLITTER_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace carobshift {

class LineSplitter {
 public:
  // Receives a line without its ending. Returns whether to continue.
  using Consumer = std::function<bool(std::string_view line)>;

  enum class State {
    // More lines may come.
    kOpen,
    // The consumer has stopped.
    kStopped,
    // A line exceeds kMaxLineBytes.
    kTooLong,
  };

  static constexpr std::size_t kMaxLineBytes = std::size_t{1} << 20;

  explicit LineSplitter(Consumer consumer) : consumer_(std::move(consumer)) {}

  State Feed(std::string_view bytes) {
    for (;;) {
      const std::size_t end = bytes.find('\n');
      partial_ += bytes.substr(0, end);
      if (partial_.size() > kMaxLineBytes)
        return State::kTooLong;
      if (end == std::string_view::npos)
        return State::kOpen;
      bytes.remove_prefix(end + 1);
      if (!Consume())
        return State::kStopped;
    }
  }

  // Passes on what follows the last line ending, if anything does.
  void FeedEnd() {
    if (!partial_.empty())
      Consume();
  }

 private:
  bool Consume() {
    std::string line = std::exchange(partial_, {});
    if (line.ends_with('\r'))
      line.pop_back();
    return consumer_(line);
  }

  const Consumer consumer_;
  std::string partial_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_LINE_SPLITTER_H_
