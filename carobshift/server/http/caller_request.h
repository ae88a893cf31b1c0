// What a caller's HTTP request says, checked: who calls, within which
// deadline, with which key.
//
//   Result<CallerHeaders> headers = ParseCallerHeaders(request, defaults, now);
//   Result<std::string> body = ReadBody(request, settings.max_body_bytes);

#ifndef CAROBSHIFT_SERVER_HTTP_CALLER_REQUEST_H_
#define CAROBSHIFT_SERVER_HTTP_CALLER_REQUEST_H_

#include <Poco/Net/HTTPServerRequest.h>

#include <optional>
#include <string>

#include "carobshift/admission/priority.h"
#include "carobshift/base/ids.h"
#include "carobshift/base/result.h"
#include "carobshift/base/units.h"

namespace carobshift {

struct CallerHeaders {
  std::string bearer_key;
  std::optional<IdempotencyKey> idempotency_key;
  // When the caller made a key of its own; the epoch if it didn't say.
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

// Longest id or key a caller may choose, in bytes.
inline constexpr std::size_t kMaxCallerIdBytes = 512;

// kMalformedRequest names the header at fault; kUnauthenticated if there is no
// bearer key.
[[nodiscard]] Result<CallerHeaders> ParseCallerHeaders(
    const Poco::Net::HTTPServerRequest& request,
    Milliseconds default_deadline,
    MonotonicTime now);

// The whole body; kRequestTooLarge above `limit`.
[[nodiscard]] Result<std::string> ReadBody(
    Poco::Net::HTTPServerRequest& request,
    Bytes limit);

// Reads on, for a second at most, past an answer that was sent before the
// body's end. Closing with unread bytes resets the connection, and a caller
// that is still sending would lose the answer that tells it why.
void DiscardUnreadBody(Poco::Net::HTTPServerRequest& request);

// Whether the caller has closed its connection. Doesn't block.
[[nodiscard]] bool CallerIsGone(Poco::Net::HTTPServerRequest& request);

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_HTTP_CALLER_REQUEST_H_
