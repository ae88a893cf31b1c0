// Requests and replies between entries over TCP.
//
//   PeerRequest request = ForwardCall{...};
//   Result<PeerReply> reply = client.Call(address, request, timeout);

#ifndef CAROBSHIFT_PEER_PEER_MESSAGES_H_
#define CAROBSHIFT_PEER_PEER_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

// The API through which a forwarded request was received.
enum class CallRoute : std::uint8_t { kPlain, kText, kChat };

// A caller's request with an idempotency key that another entry must run. Safe
// to retry: the receiver runs each key at most once.
struct ForwardCall {
  RequestId request;
  CallRoute route = CallRoute::kPlain;
  // Empty for completions, whose body names the service.
  ServiceName service;
  AccountId account;
  IdempotencyKey key;
  // Creation time of a key that isn't bound to an entry; 0 for a bound key.
  WallTime key_created;
  // The incarnation that must run the request; any other one replies
  // outcome_unknown.
  Incarnation owner;
  std::string body;
  std::string content_type;
  // Time left until the caller's deadline when this message is sent.
  Milliseconds time_left{0};
  std::uint8_t priority = 0;
  ConversationId conversation;
  bool not_repeatable = false;
  friend bool operator==(const ForwardCall&, const ForwardCall&) = default;
};

// Asks for the outcome of a key that the receiver is responsible for.
struct QueryOutcome {
  AccountId account;
  IdempotencyKey key;
  friend bool operator==(const QueryOutcome&, const QueryOutcome&) = default;
};

// Asks for the accepted declaration and the log offset up to which it was
// computed.
struct FetchConfig {
  friend bool operator==(const FetchConfig&, const FetchConfig&) = default;
};

// An HTTP reply to be passed on to the caller unchanged.
struct CallReply {
  int http_status = 500;
  std::string content_type;
  std::string body;
  // 0 if the reply has no Retry-After value.
  Milliseconds retry_after{0};
  friend bool operator==(const CallReply&, const CallReply&) = default;
};

// The state, encoded as a checkpoint record of the config stream.
struct ConfigReply {
  std::string checkpoint;
  friend bool operator==(const ConfigReply&, const ConfigReply&) = default;
};

using PeerRequest = std::variant<ForwardCall, QueryOutcome, FetchConfig>;
using PeerReply = std::variant<CallReply, ConfigReply>;

}  // namespace carobshift

#endif  // CAROBSHIFT_PEER_PEER_MESSAGES_H_
