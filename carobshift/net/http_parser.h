// HttpParser is an incremental parser of HTTP/1.1 messages: heads, and bodies
// with a length, in chunks, or up to the end of the connection.
//
//   HttpParser parser(HttpParser::Kind::kRequest, limits, sink);
//   HttpParser::Progress progress = parser.Feed(bytes);
//   bytes.remove_prefix(progress.consumed);
//
// Feed returns after each complete message and leaves the bytes that follow
// unread, so that the caller decides when the next message begins. Parsing is
// done by libhttp-parser, which accepts input in pieces; POCO's parser reads
// from a blocking stream only.
//
// In addition to what that library rejects, this class rejects header names
// with spaces, values with control characters, several lengths, a length
// together with chunks, and transfer codings other than chunked. Two parsers
// could interpret such a message differently, which allows request smuggling.
// Of a reply it also rejects what reply_head_check.h names: every reader of
// replies uses this class, so that none takes for an answer what isn't one.
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
#include "carobshift/net/reply_head_check.h"

namespace carobshift {

enum class HttpBodyFraming { kNone, kLength, kChunked, kUntilClose };

struct HttpMessageInfo {
  HttpBodyFraming framing = HttpBodyFraming::kNone;
  // Length of the body for kLength.
  std::uint64_t length = 0;
  // Whether the peer keeps the connection open after this message.
  bool keep_alive = true;
  // Whether the start line is of HTTP/1.0.
  bool http_1_0 = false;
};

// Receives the parsed message: its head, then the pieces of its body.
class HttpSink {
 public:
  virtual ~HttpSink() = default;
  virtual void OnHead(HttpHead head, const HttpMessageInfo& info) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
};

struct HttpParserLimits {
  // Maximum size of the start line and the fields together.
  std::size_t head_bytes = 16384;
};

class HttpParser {
 public:
  enum class Kind { kRequest, kReply };
  enum class State {
    // More bytes are needed.
    kPartial,
    // A message is complete; call Reset() before feeding the next.
    kComplete,
    // The bytes are not a valid message; parsing can't continue.
    kMalformed,
    // The head exceeds its size limit.
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

  void SetLimits(const HttpParserLimits& limits) { limits_ = limits; }

  // Reports that the peer has closed its side normally. Completes a body that
  // lasts until the close; returns kMalformed for an incomplete message.
  State FeedEnd();

  // Begins the next message. `reply_to_head` is true for the reply to a HEAD
  // request.
  void Reset(bool reply_to_head = false);

  // Whether any byte of the present message has been read.
  [[nodiscard]] bool begun() const { return begun_; }
  [[nodiscard]] bool head_done() const { return head_done_; }
  // Memory that the head takes which is being read, in bytes.
  [[nodiscard]] std::size_t head_capacity() const { return head_.capacity(); }

 private:
  struct Callbacks;

  // The part of a header field that was read last.
  enum class FieldPart { kNone, kName, kValue };

  // Returns the number of bytes that were parsed.
  std::size_t Execute(std::string_view bytes);
  // Called by the library, which stops at a result other than 0.
  int OnFieldName(std::string_view piece);
  int OnFieldValue(std::string_view piece);
  int OnHeadersComplete();
  int RejectHead();
  [[nodiscard]] bool IsHeadValid() const;
  [[nodiscard]] bool IsFramingValid() const;
  [[nodiscard]] State CurrentState() const;

  Kind kind_;
  HttpParserLimits limits_;
  HttpSink& sink_;
  http_parser parser_;
  // For replies.
  ReplyHeadCheck reply_head_;
  HttpHead head_;
  bool reply_to_head_ = false;
  bool begun_ = false;
  bool head_done_ = false;
  bool complete_ = false;
  bool invalid_head_ = false;
  FieldPart field_part_ = FieldPart::kNone;
  // Bytes read before the end of the head.
  std::size_t head_size_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_HTTP_PARSER_H_
