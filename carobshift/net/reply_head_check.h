// Checks the lines of a reply's head for what HTTP/1.1 (RFC 9112, sections 4
// and 5) requires and libhttp-parser accepts otherwise.
//
//   ReplyHeadCheck check;
//   if (!check.Feed(bytes))
//     Reject();
//
// An endpoint in trouble sends bytes that resemble a reply: a status of 000 or
// of four digits, another version, control bytes in the reason, a field name
// that begins with a blank. Read leniently, such a head becomes an answer that
// the endpoint never gave, or its body is delimited in another way than the
// endpoint meant.
//
// The field names and values themselves are checked by HttpParser.
//
// Thread-compatible. State: the status line.

#ifndef CAROBSHIFT_NET_REPLY_HEAD_CHECK_H_
#define CAROBSHIFT_NET_REPLY_HEAD_CHECK_H_

#include <string>
#include <string_view>

namespace carobshift {

class ReplyHeadCheck {
 public:
  // Adds the next bytes of the message and returns whether the head is valid so
  // far. Ignores what follows the head.
  [[nodiscard]] bool Feed(std::string_view bytes);
  // Begins the next head.
  void Reset();

 private:
  // Takes a byte of a line behind the status line.
  [[nodiscard]] bool TakeFieldByte(char c);

  std::string status_line_;
  bool in_status_line_ = true;
  bool ended_ = false;
  // Bytes of the present field line, without its end.
  std::size_t line_bytes_ = 0;
};

// Returns whether `line`, without its end, is a status line of HTTP/1.x with a
// status from 100 to 599. The reason may be missing, with the blank before it.
[[nodiscard]] bool IsStatusLine(std::string_view line);

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_REPLY_HEAD_CHECK_H_
