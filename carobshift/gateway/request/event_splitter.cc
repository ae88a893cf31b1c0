#include "carobshift/gateway/request/event_splitter.h"

#include <charconv>

namespace carobshift {
namespace {

constexpr std::string_view kIdField = "id:";

// Returns the end of the first event in `text`, after its empty line, or npos.
std::size_t EventEnd(std::string_view text) {
  std::size_t line = 0;
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

void EventSplitter::Feed(std::string_view bytes, const OnEvent& on_event) {
  // Most reads contain only complete events and need no copy.
  std::string joined;
  if (!partial_.empty()) {
    joined = std::move(partial_);
    joined += bytes;
    bytes = joined;
    partial_.clear();
  }
  for (;;) {
    const std::size_t end = EventEnd(bytes);
    if (end == std::string_view::npos)
      break;
    const std::string_view event = bytes.substr(0, end);
    on_event({event, ParseEventNumber(event)});
    bytes.remove_prefix(end);
  }
  partial_ = bytes;
}

}  // namespace carobshift
