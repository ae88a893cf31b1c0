// Parses and validates a caller's HTTP request: credentials, deadline,
// priority, idempotency key and body.
//
//   Result<CallerHeaders> headers = ParseCallerHeaders(request, defaults, now);
//   Result<std::string> body = ReadBody(exchange, settings.max_body_bytes);

#ifndef CAROBSHIFT_SERVER_HTTP_CALLER_REQUEST_H_
#define CAROBSHIFT_SERVER_HTTP_CALLER_REQUEST_H_

#include <Poco/Net/HTTPServerRequest.h>

#include <optional>
#include <string>

#include "carobshift/admission/priority.h"
#include "carobshift/base/ids.h"
#include "carobshift/base/result.h"
#include "carobshift/base/units.h"
#include "carobshift/server/http/route_handler.h"

namespace carobshift {

struct CallerHeaders {
  std::string bearer_key;
  std::optional<IdempotencyKey> idempotency_key;
  // When the caller generated its own idempotency key; the epoch if the header
  // is missing.
  WallTime key_created;
  std::optional<ConversationId> conversation;
  PriorityClass priority = PriorityClass::kNormal;
  MonotonicTime deadline;
  bool not_repeatable = false;
};

inline constexpr char kConversationHeader[] = "Carobshift-Conversation";
inline constexpr char kPriorityHeader[] = "Carobshift-Priority";
inline constexpr char kDeadlineHeader[] = "Carobshift-Deadline-Ms";
inline constexpr char kNotRepeatableHeader[] = "Carobshift-Not-Repeatable";
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";
inline constexpr char kKeyCreatedHeader[] = "Carobshift-Key-Created";

// Maximum length of an id or a key that a caller chooses, in bytes.
inline constexpr std::size_t kMaxCallerIdBytes = 512;

// The message of kMalformedRequest names the invalid header. Returns
// kUnauthenticated if there is no bearer key.
[[nodiscard]] Result<CallerHeaders> ParseCallerHeaders(
    const Poco::Net::HTTPServerRequest& request,
    Milliseconds default_deadline,
    MonotonicTime now);

// Reads the whole body. Returns kRequestTooLarge if it is longer than `limit`,
// and kOverloaded if the entry has no room for it.
[[nodiscard]] Result<std::string> ReadBody(RequestExchange& exchange,
                                           Bytes limit);

// Reads and discards the rest of the body, for at most one second, after an
// answer that was sent before the body's end. Closing a connection with unread
// bytes resets it, and a caller that is still sending would lose the answer.
void DiscardUnreadBody(Poco::Net::HTTPServerRequest& request);

// True if the caller has closed its connection. Does not block.
[[nodiscard]] bool CallerDisconnected(Poco::Net::HTTPServerRequest& request);

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_HTTP_CALLER_REQUEST_H_
