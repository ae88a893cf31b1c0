#include "carobshift/server/http/caller_request.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <istream>

namespace carobshift {
namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
// Long enough to read a body of the largest size that the settings allow from a
// slow link's buffer. A caller that sends for longer loses its connection.
constexpr Milliseconds kMaxDiscardTime{1000};
constexpr long long kMaxDeadlineMs = 3600000;

struct PriorityName {
  std::string_view name;
  PriorityClass priority;
};
constexpr std::array kPriorityNames = {
    PriorityName{"high", PriorityClass::kHigh},
    PriorityName{"normal", PriorityClass::kNormal},
    PriorityName{"low", PriorityClass::kLow},
};

Error Malformed(const std::string& header, const std::string& allowed) {
  return {ResultCode::kMalformedRequest,
          "header " + header + ": expected " + allowed};
}

Status ParsePriority(const std::string& text, CallerHeaders& headers) {
  for (const PriorityName& row : kPriorityNames) {
    if (row.name == text) {
      headers.priority = row.priority;
      return {};
    }
  }
  return Malformed(kPriorityHeader, "high, normal or low");
}

Status ParseDeadline(const std::string& text,
                     MonotonicTime now,
                     CallerHeaders& headers) {
  long long number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  const bool is_number = error == std::errc() && stop == end;
  if (!is_number || number < 1 || number > kMaxDeadlineMs)
    return Malformed(kDeadlineHeader, "1 to 3600000 milliseconds");
  headers.deadline = now + Milliseconds(number);
  return {};
}

Status ParseNotRepeatable(const std::string& text, CallerHeaders& headers) {
  if (text != "true" && text != "false")
    return Malformed(kNotRepeatableHeader, "true or false");
  headers.not_repeatable = text == "true";
  return {};
}

Status ParseKeyCreated(const std::string& text, CallerHeaders& headers) {
  long long number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end || number < 1)
    return Malformed(kKeyCreatedHeader, "milliseconds since 1970");
  headers.key_created = WallTime(Milliseconds(number));
  return {};
}

// Makes room for a body of `size` bytes, and for as much again if that isn't
// its stated length, so that a body in small chunks isn't copied for each.
bool GrowBody(RequestRoom& room, std::string& body, std::size_t size) {
  if (size <= body.capacity())
    return true;
  const std::size_t capacity =
      body.empty() ? size : std::max(size, 2 * body.capacity());
  if (!room.Reserve(capacity))
    return false;
  body.reserve(capacity);
  return true;
}

// Returns whether `size` bytes are the whole body. POCO's stream takes the end
// of a connection for the end of a body in chunks.
bool IsWhole(Poco::Net::HTTPServerRequest& request, std::size_t size) {
  if (request.hasContentLength())
    return static_cast<Poco::Int64>(size) == request.getContentLength64();
  return !CallerDisconnected(request);
}

bool IsAllowedId(const std::string& text) {
  return !text.empty() && text.size() <= kMaxCallerIdBytes;
}

}  // namespace

Result<CallerHeaders> ParseCallerHeaders(
    const Poco::Net::HTTPServerRequest& request,
    Milliseconds default_deadline,
    MonotonicTime now) {
  CallerHeaders headers;
  headers.deadline = now + default_deadline;
  const std::string credentials = request.get("Authorization", "");
  if (!credentials.starts_with(kBearerPrefix)) {
    return Error{ResultCode::kUnauthenticated,
                 "header Authorization: expected Bearer and a key"};
  }
  headers.bearer_key = credentials.substr(kBearerPrefix.size());

  Status status;
  if (request.has(kPriorityHeader))
    status = ParsePriority(request.get(kPriorityHeader), headers);
  if (status.ok() && request.has(kDeadlineHeader))
    status = ParseDeadline(request.get(kDeadlineHeader), now, headers);
  if (status.ok() && request.has(kNotRepeatableHeader))
    status = ParseNotRepeatable(request.get(kNotRepeatableHeader), headers);
  if (status.ok() && request.has(kKeyCreatedHeader))
    status = ParseKeyCreated(request.get(kKeyCreatedHeader), headers);
  if (!status.ok())
    return status.error();

  if (request.has(kIdempotencyKeyHeader)) {
    const std::string key = request.get(kIdempotencyKeyHeader);
    if (!IsAllowedId(key))
      return Malformed(kIdempotencyKeyHeader, "1 to 512 bytes");
    headers.idempotency_key = IdempotencyKey(key);
  }
  if (request.has(kConversationHeader)) {
    const std::string conversation = request.get(kConversationHeader);
    if (!IsAllowedId(conversation))
      return Malformed(kConversationHeader, "1 to 512 bytes");
    headers.conversation = ConversationId(conversation);
  }
  return headers;
}

Result<std::string> ReadBody(RequestExchange& exchange, Bytes limit) {
  Poco::Net::HTTPServerRequest& request = exchange.request;
  const Error too_large{
      ResultCode::kRequestTooLarge,
      "the body is larger than " + std::to_string(limit) + " bytes"};
  if (request.hasContentLength() && request.getContentLength64() > limit)
    return too_large;
  // A request with neither a length nor chunked encoding has no body. Reading
  // would block until the connection closes.
  if (!request.hasContentLength() && !request.getChunkedTransferEncoding())
    return std::string();
  const Error no_room{ResultCode::kOverloaded, "no room for the body"};
  exchange.room.OnBodyBegins();
  std::string body;
  if (request.hasContentLength() &&
      !GrowBody(exchange.room, body,
                static_cast<std::size_t>(request.getContentLength64())))
    return no_room;
  std::array<char, 8192> buffer;
  std::istream& in = request.stream();
  while (in.read(buffer.data(), buffer.size()) || in.gcount() > 0) {
    const auto size = static_cast<std::size_t>(in.gcount());
    if (static_cast<Bytes>(body.size() + size) > limit)
      return too_large;
    if (!GrowBody(exchange.room, body, body.size() + size))
      return no_room;
    body.append(buffer.data(), size);
    exchange.room.OnBody(body.size());
  }
  if (exchange.room.reclaimed())
    return no_room;
  if (!IsWhole(request, body.size())) {
    return Error{ResultCode::kMalformedRequest,
                 "the body ended before its stated length"};
  }
  exchange.room.OnBodyRead();
  return body;
}

void DiscardUnreadBody(Poco::Net::HTTPServerRequest& request) {
  if (!request.hasContentLength() && !request.getChunkedTransferEncoding())
    return;
  auto& socket =
      static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
  const MonotonicTime give_up = MonotonicNow() + kMaxDiscardTime;
  std::array<char, 8192> buffer;
  std::istream& in = request.stream();
  try {
    socket.setReceiveTimeout(Microseconds(kMaxDiscardTime).count());
    while (in.read(buffer.data(), buffer.size()) || in.gcount() > 0) {
      if (MonotonicNow() >= give_up)
        return;
    }
  } catch (const Poco::Exception&) {
    // The caller has disconnected or stopped sending, so no one reads the
    // answer.
  }
}

bool CallerDisconnected(Poco::Net::HTTPServerRequest& request) {
  auto& socket =
      static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
  try {
    // A socket that is readable with no bytes available was closed by the peer.
    return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) &&
           socket.available() == 0;
  } catch (const Poco::Exception&) {
    return true;
  }
}

}  // namespace carobshift
