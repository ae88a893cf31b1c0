// What entries ask each other over TCP, and the answers.
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

// Which caller interface a forwarded request came through.
enum class CallRoute : std::uint8_t { kPlain, kText, kChat };

// A caller's request under an idempotency key that another entry must run. It
// is safe to send again: the receiver runs a key at most once.
struct ForwardCall {
  RequestId request;
  CallRoute route = CallRoute::kPlain;
  // Empty for completions, whose body names it.
  ServiceName service;
  AccountId account;
  IdempotencyKey key;
  // When a free key was made; 0 for a bound one.
  WallTime key_created;
  // The incarnation that must run it; another one answers outcome_unknown.
  Incarnation owner;
  std::string body;
  std::string content_type;
  // What is left of the caller's deadline when this is sent.
  Milliseconds time_left{0};
  std::uint8_t priority = 0;
  ConversationId conversation;
  bool not_repeatable = false;
  friend bool operator==(const ForwardCall&, const ForwardCall&) = default;
};

// What became of a key that the receiver answers for.
struct QueryOutcome {
  AccountId account;
  IdempotencyKey key;
  friend bool operator==(const QueryOutcome&, const QueryOutcome&) = default;
};

// The accepted declaration and how far its fold has read.
struct FetchConfig {
  friend bool operator==(const FetchConfig&, const FetchConfig&) = default;
};

// An HTTP answer, to be passed on to the caller as it is.
struct CallReply {
  int http_status = 500;
  std::string content_type;
  std::string body;
  // 0 if the answer names no time to come back.
  Milliseconds retry_after{0};
  friend bool operator==(const CallReply&, const CallReply&) = default;
};

// The state as a checkpoint record of the config stream.
struct ConfigReply {
  std::string checkpoint;
  friend bool operator==(const ConfigReply&, const ConfigReply&) = default;
};

using PeerRequest = std::variant<ForwardCall, QueryOutcome, FetchConfig>;
using PeerReply = std::variant<CallReply, ConfigReply>;

}  // namespace carobshift

#endif  // CAROBSHIFT_PEER_PEER_MESSAGES_H_
