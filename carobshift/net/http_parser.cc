#include "carobshift/net/http_parser.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace carobshift {
namespace {

// RFC 9110, section 5.6.2.
bool IsTokenChar(char c) {
  const auto u = static_cast<unsigned char>(c);
  if ((u >= '0' && u <= '9') || (u >= 'a' && u <= 'z') ||
      (u >= 'A' && u <= 'Z'))
    return true;
  return std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool IsFieldValue(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char c) {
    const auto u = static_cast<unsigned char>(c);
    return (u < 0x20 && u != '\t') || u == 0x7f;
  });
}

bool IsChunked(std::string_view coding) {
  constexpr std::string_view kChunked = "chunked";
  return std::equal(coding.begin(), coding.end(), kChunked.begin(),
                    kChunked.end(), [](char a, char b) {
                      return std::tolower(static_cast<unsigned char>(a)) == b;
                    });
}

// The library's limit applies to the whole process and serves as a backstop for
// the limits of each parser.
constexpr std::size_t kLibraryHeadLimit = std::size_t{1} << 20;

}  // namespace

struct HttpParser::Callbacks {
  static HttpParser& Self(http_parser* parser) {
    return *static_cast<HttpParser*>(parser->data);
  }
  static int OnUrl(http_parser* parser, const char* at, std::size_t size) {
    Self(parser).head_.target.append(at, size);
    return 0;
  }
  static int OnStatus(http_parser* parser, const char* at, std::size_t size) {
    Self(parser).head_.reason.append(at, size);
    return 0;
  }
  static int OnField(http_parser* parser, const char* at, std::size_t size) {
    return Self(parser).OnFieldName({at, size});
  }
  static int OnValue(http_parser* parser, const char* at, std::size_t size) {
    return Self(parser).OnFieldValue({at, size});
  }
  static int OnHeadersComplete(http_parser* parser) {
    return Self(parser).OnHeadersComplete();
  }
  static int OnBody(http_parser* parser, const char* at, std::size_t size) {
    Self(parser).sink_.OnBody({at, size});
    return 0;
  }
  static int OnMessageComplete(http_parser* parser) {
    Self(parser).complete_ = true;
    http_parser_pause(parser, 1);
    return 0;
  }

  static const http_parser_settings& Settings() {
    static const http_parser_settings kSettings = [] {
      http_parser_settings settings;
      http_parser_settings_init(&settings);
      settings.on_url = &OnUrl;
      settings.on_status = &OnStatus;
      settings.on_header_field = &OnField;
      settings.on_header_value = &OnValue;
      settings.on_headers_complete = &OnHeadersComplete;
      settings.on_body = &OnBody;
      settings.on_message_complete = &OnMessageComplete;
      http_parser_set_max_header_size(kLibraryHeadLimit);
      return settings;
    }();
    return kSettings;
  }
};

HttpParser::HttpParser(Kind kind,
                       const HttpParserLimits& limits,
                       HttpSink& sink)
    : kind_(kind), limits_(limits), sink_(sink) {
  Reset();
}

void HttpParser::Reset(bool reply_to_head) {
  http_parser_init(&parser_,
                   kind_ == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  reply_head_.Reset();
  head_ = HttpHead();
  reply_to_head_ = reply_to_head;
  begun_ = head_done_ = complete_ = invalid_head_ = false;
  field_part_ = FieldPart::kNone;
  head_size_ = 0;
}

HttpParser::Progress HttpParser::Feed(std::string_view bytes) {
  if (bytes.empty() || complete_)
    return {0, CurrentState()};
  begun_ = true;
  std::size_t consumed = 0;
  if (!head_done_) {
    // Not a byte more than a head may have.
    const std::size_t allowed =
        limits_.head_bytes - std::min(head_size_, limits_.head_bytes);
    const std::string_view head_bytes = bytes.substr(0, allowed);
    if (kind_ == Kind::kReply && !reply_head_.Feed(head_bytes)) {
      invalid_head_ = true;
      return {0, State::kMalformed};
    }
    consumed = Execute(head_bytes);
    head_size_ += consumed;
    const State state = CurrentState();
    if (state != State::kPartial || consumed == bytes.size())
      return {consumed, state};
    if (!head_done_)
      return {consumed, State::kHeadTooLarge};
  }
  consumed += Execute(bytes.substr(consumed));
  return {consumed, CurrentState()};
}

std::size_t HttpParser::Execute(std::string_view bytes) {
  // The library takes no bytes for the end of the connection.
  if (bytes.empty())
    return 0;
  return http_parser_execute(&parser_, &Callbacks::Settings(), bytes.data(),
                             bytes.size());
}

int HttpParser::OnFieldName(std::string_view piece) {
  // Trailer fields are ignored.
  if (head_done_)
    return 0;
  if (!std::all_of(piece.begin(), piece.end(), IsTokenChar))
    return RejectHead();
  if (field_part_ == FieldPart::kName) {
    head_.fields.ContinueName(piece);
    return 0;
  }
  if (field_part_ == FieldPart::kValue)
    head_.fields.EndField();
  field_part_ = FieldPart::kName;
  head_.fields.BeginField(piece);
  return 0;
}

int HttpParser::OnFieldValue(std::string_view piece) {
  if (head_done_)
    return 0;
  if (!IsFieldValue(piece))
    return RejectHead();
  if (field_part_ == FieldPart::kName)
    head_.fields.BeginValue();
  field_part_ = FieldPart::kValue;
  head_.fields.ContinueValue(piece);
  return 0;
}

int HttpParser::RejectHead() {
  constexpr int kFail = -1;
  invalid_head_ = true;
  return kFail;
}

HttpParser::State HttpParser::FeedEnd() {
  if (complete_)
    return State::kComplete;
  if (!begun_)
    return State::kPartial;
  http_parser_execute(&parser_, &Callbacks::Settings(), nullptr, 0);
  return complete_ ? CurrentState() : State::kMalformed;
}

HttpParser::State HttpParser::CurrentState() const {
  if (invalid_head_)
    return State::kMalformed;
  if (complete_)
    return State::kComplete;
  const auto error = HTTP_PARSER_ERRNO(&parser_);
  if (error == HPE_HEADER_OVERFLOW)
    return State::kHeadTooLarge;
  return error == HPE_OK ? State::kPartial : State::kMalformed;
}

bool HttpParser::IsHeadValid() const {
  return IsFramingValid() && parser_.upgrade == 0;
}

bool HttpParser::IsFramingValid() const {
  const std::size_t lengths = head_.Count("Content-Length");
  const std::size_t encodings = head_.Count("Transfer-Encoding");
  if (lengths + encodings > 1)
    return false;
  if (encodings == 0)
    return true;
  // The library takes a body of another coding as it is, and HTTP/1.0 has no
  // codings.
  const bool http_1_0 = parser_.http_major == 1 && parser_.http_minor == 0;
  return !http_1_0 && IsChunked(*head_.Find("Transfer-Encoding"));
}

int HttpParser::OnHeadersComplete() {
  constexpr int kSkipBody = 1;
  head_done_ = true;
  if (field_part_ == FieldPart::kValue)
    head_.fields.EndField();
  if (!IsHeadValid())
    return RejectHead();
  HttpMessageInfo info;
  info.keep_alive = http_should_keep_alive(&parser_) != 0;
  info.http_1_0 = parser_.http_major == 1 && parser_.http_minor == 0;
  if (kind_ == Kind::kRequest) {
    head_.method = http_method_str(static_cast<http_method>(parser_.method));
  } else {
    head_.status = static_cast<int>(parser_.status_code);
  }
  const bool bodyless =
      kind_ == Kind::kReply && (reply_to_head_ || head_.status < 200 ||
                                head_.status == 204 || head_.status == 304);
  if (bodyless) {
    info.framing = HttpBodyFraming::kNone;
  } else if ((parser_.flags & F_CHUNKED) != 0) {
    info.framing = HttpBodyFraming::kChunked;
  } else if ((parser_.flags & F_CONTENTLENGTH) != 0) {
    info.framing = HttpBodyFraming::kLength;
    info.length = parser_.content_length;
  } else if (kind_ == Kind::kReply) {
    info.framing = HttpBodyFraming::kUntilClose;
  }
  sink_.OnHead(std::move(head_), info);
  return bodyless ? kSkipBody : 0;
}

}  // namespace carobshift
