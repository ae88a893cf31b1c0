#include "carobshift/net/reply_head_check.h"

#include <algorithm>

namespace carobshift {
namespace {

constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool IsReasonChar(char c) {
  const auto u = static_cast<unsigned char>(c);
  return u == '\t' || (u >= 0x20 && u != 0x7f);
}

// Removes the first byte of `text` if it is `c`.
bool TakeChar(std::string_view& text, char c) {
  if (text.empty() || text.front() != c)
    return false;
  text.remove_prefix(1);
  return true;
}

}  // namespace

bool IsStatusLine(std::string_view line) {
  if (!line.starts_with(kVersionPrefix))
    return false;
  line.remove_prefix(kVersionPrefix.size());
  if (line.empty() || !IsDigit(line.front()))
    return false;
  line.remove_prefix(1);
  if (!TakeChar(line, ' '))
    return false;
  const std::string_view status = line.substr(0, kStatusDigits);
  if (status.size() < kStatusDigits ||
      !std::all_of(status.begin(), status.end(), IsDigit) ||
      status.front() < '1' || status.front() > '5')
    return false;
  line.remove_prefix(kStatusDigits);
  return line.empty() || (TakeChar(line, ' ') &&
                          std::all_of(line.begin(), line.end(), IsReasonChar));
}

void ReplyHeadCheck::Reset() {
  status_line_.clear();
  in_status_line_ = true;
  ended_ = false;
  line_bytes_ = 0;
}

bool ReplyHeadCheck::Feed(std::string_view bytes) {
  if (in_status_line_) {
    const std::size_t end = bytes.find('\n');
    status_line_.append(bytes.substr(0, end));
    if (end == std::string_view::npos)
      return true;
    bytes.remove_prefix(end + 1);
    in_status_line_ = false;
    if (status_line_.ends_with('\r'))
      status_line_.pop_back();
    if (!IsStatusLine(status_line_))
      return false;
  }
  for (const char c : bytes) {
    if (ended_)
      return true;
    if (!TakeFieldByte(c))
      return false;
  }
  return true;
}

bool ReplyHeadCheck::TakeFieldByte(char c) {
  if (c == '\n') {
    ended_ = line_bytes_ == 0;
    line_bytes_ = 0;
    return true;
  }
  if (line_bytes_ == 0 && c == '\r')
    return true;
  // A line that begins with a blank would continue the field before it.
  if (line_bytes_ == 0 && (c == ' ' || c == '\t'))
    return false;
  ++line_bytes_;
  return true;
}

}  // namespace carobshift
