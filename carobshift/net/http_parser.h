// Reads HTTP/1.1 messages piece by piece, as bytes arrive: heads, bodies with
// a length, in chunks, or up to the end of the connection.
//
//   HttpParser parser(HttpParser::Kind::kRequest, limits, sink);
//   HttpParser::Progress progress = parser.Feed(bytes);
//   bytes.remove_prefix(progress.consumed);
//
// After each whole message Feed returns and leaves what follows it unread, so
// that the caller decides when the next message may begin. The parsing is
// libhttp-parser's, which reads across calls; POCO's reads from a blocking
// stream only.
//
// Refused beyond what that library refuses: header names with spaces and
// values with control characters, several lengths, a length beside chunks. Two
// parsers could read such a message differently, and one request could hide
// inside another.
//
// Thread-compatible.

#ifndef CAROBSHIFT_NET_HTTP_PARSER_H_
#define CAROBSHIFT_NET_HTTP_PARSER_H_

#include <http_parser.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "carobshift/net/http_message.h"

namespace carobshift {

enum class HttpBodyFraming { kNone, kLength, kChunked, kUntilClose };

struct HttpMessageInfo {
  HttpBodyFraming framing = HttpBodyFraming::kNone;
  // For kLength.
  std::uint64_t length = 0;
  // Whether the peer keeps the connection after this message.
  bool keep_alive = true;
  // A request line or status line of HTTP/1.0.
  bool http_1_0 = false;
};

// What the parser tells, in order.
class HttpSink {
 public:
  virtual ~HttpSink() = default;
  virtual void OnHead(HttpHead head, const HttpMessageInfo& info) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
};

struct HttpParserLimits {
  // Start line and fields together.
  std::size_t head_bytes = 16384;
};

class HttpParser {
 public:
  enum class Kind { kRequest, kReply };
  enum class State {
    // More bytes are needed.
    kPartial,
    // A message ended; Reset() before the next is fed.
    kComplete,
    // These bytes are no message; nothing more can be read.
    kMalformed,
    // The head is over its limit.
    kHeadTooLarge,
  };
  struct Progress {
    std::size_t consumed = 0;
    State state = State::kPartial;
  };

  HttpParser(Kind kind, const HttpParserLimits& limits, HttpSink& sink);
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  Progress Feed(std::string_view bytes);

  // The peer has closed its side in order. Completes a body that lasts until
  // the close; kMalformed if a message was broken off.
  State FeedEnd();

  // Begins the next message. `reply_to_head` if it answers a HEAD request.
  void Reset(bool reply_to_head = false);

  // Whether some byte of the present message was read.
  [[nodiscard]] bool begun() const { return begun_; }
  [[nodiscard]] bool head_done() const { return head_done_; }

 private:
  struct Callbacks;

  int OnHeadersComplete();
  [[nodiscard]] bool IsHeadSound() const;
  [[nodiscard]] State CurrentState() const;

  Kind kind_;
  HttpParserLimits limits_;
  HttpSink& sink_;
  http_parser parser_;
  HttpHead head_;
  bool reply_to_head_ = false;
  bool begun_ = false;
  bool head_done_ = false;
  bool complete_ = false;
  bool unsound_ = false;
  bool last_was_value_ = false;
  std::size_t head_size_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_HTTP_PARSER_H_
