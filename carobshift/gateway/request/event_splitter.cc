#include "carobshift/gateway/request/event_splitter.h"

#include <charconv>
#include <utility>

namespace carobshift {
namespace {

constexpr std::string_view kIdField = "id:";

// Returns the end of the first event in `text`, after its empty line, or npos.
// `line` is where the search begins, and is set to the beginning of the last
// line if there is no end.
std::size_t EventEnd(std::string_view text, std::size_t& line) {
  while (line < text.size()) {
    const std::size_t end = text.find('\n', line);
    if (end == std::string_view::npos)
      return std::string_view::npos;
    const bool empty = end == line || (end == line + 1 && text[line] == '\r');
    if (empty)
      return end + 1;
    line = end + 1;
  }
  return std::string_view::npos;
}

std::optional<EventNumber> ParseEventNumber(std::string_view event) {
  std::size_t line = 0;
  while (line < event.size()) {
    std::string_view rest = event.substr(line);
    if (rest.starts_with(kIdField)) {
      rest.remove_prefix(kIdField.size());
      while (!rest.empty() && rest.front() == ' ')
        rest.remove_prefix(1);
      std::uint64_t number = 0;
      const auto parsed =
          std::from_chars(rest.data(), rest.data() + rest.size(), number);
      if (parsed.ec == std::errc())
        return EventNumber(number);
      return std::nullopt;
    }
    line = event.find('\n', line);
    if (line == std::string_view::npos)
      return std::nullopt;
    ++line;
  }
  return std::nullopt;
}

}  // namespace

bool EventSplitter::Feed(std::string_view bytes, const OnEvent& on_event) {
  // Most reads contain only complete events and need no copy.
  std::string joined;
  if (!partial_.empty()) {
    joined = std::exchange(partial_, {});
    joined += bytes;
    bytes = joined;
  }
  std::size_t line = std::exchange(partial_line_, 0);
  for (;;) {
    const std::size_t end = EventEnd(bytes, line);
    if (end == std::string_view::npos)
      break;
    if (end > kMaxEventBytes)
      return false;
    const std::string_view event = bytes.substr(0, end);
    on_event({event, ParseEventNumber(event)});
    bytes.remove_prefix(end);
    line = 0;
  }
  partial_line_ = line;
  if (bytes.size() == joined.size())
    partial_ = std::move(joined);
  else
    partial_ = bytes;
  held_.Release();
  return partial_.size() <= kMaxEventBytes && held_.GrowTo(partial_.capacity());
}

}  // namespace carobshift
