// TCP options by the purpose of a connection, and what replies may hold by the
// purpose of a call.
//
//   HttpClient client(loop, {.tcp = kEndpointTcp});
//   options.max_body = kMaxLogReplyBytes;
//
// TcpOptions::user_timeout ends a connection whose peer acknowledges nothing,
// whose peer doesn't read, or that answers no keep-alive probe. What may be
// silent for how long without a fault, and what a dead peer costs meanwhile,
// differs by purpose.

#ifndef CAROBSHIFT_GATEWAY_CONNECTION_OPTIONS_H_
#define CAROBSHIFT_GATEWAY_CONNECTION_OPTIONS_H_

#include <algorithm>
#include <cstddef>

#include "carobshift/base/units.h"
#include "carobshift/net/connection_quota.h"
#include "carobshift/net/tcp_connection.h"

namespace carobshift {

// To endpoints, for callers' requests. A sound endpoint may be silent for a
// second or so. Bytes that were lost in two seconds of silence are sent again
// three seconds after they were sent first, and then they need a round trip.
inline constexpr TcpOptions kEndpointTcp{.user_timeout = Milliseconds(4000)};

// What the kernel keeps of a caller's bytes that are not read yet, for each
// connection. Twice as much memory may be taken.
inline constexpr int kCallerReceiveBufferBytes = 64 << 10;

// From callers. A caller that is silent at the TCP level has usually no fault
// but a lossy path or a full window, and the deadline of its request bounds the
// work for it. Callers give up a silent stream after five seconds at most.
inline constexpr TcpOptions kCallerTcp{
    .receive_buffer_bytes = kCallerReceiveBufferBytes,
    .user_timeout = Milliseconds(6000)};

// To the log, the stores, engines' own interfaces and other instances. Each
// call has a timeout of its own of about a second and is repeated, so that a
// connection that hangs must be recognized before the next calls use it.
inline constexpr TcpOptions kControlTcp{.user_timeout = Milliseconds(2000)};

// From those who ask for addresses, readiness or metrics, and from other
// instances. Questions are short.
inline constexpr TcpOptions kQueryTcp{.receive_buffer_bytes = 16 << 10,
                                      .user_timeout = Milliseconds(2000)};

// The log sends at most a megabyte, in base64 a third more, unless one record
// is longer.
inline constexpr std::size_t kMaxLogReplyBytes = std::size_t{4} << 20;
// Other instances send all records that they know.
inline constexpr std::size_t kMaxPeerReplyBytes = std::size_t{8} << 20;
// What an instance holds of replies to its own calls, and of answers that can't
// be passed on yet, in sum: a part of its memory, and no more than this.
inline constexpr double kReplyBytesShare = 0.2;
inline constexpr std::size_t kMaxHeldReplyBytes = std::size_t{16} << 20;
// Part of an instance's memory that may be taken, in sum, by what callers make
// it hold: connections, requests, bytes that are not read yet and replies that
// they don't take. The rest holds its tables and replies.
inline constexpr double kCallerBytesShare = 0.4;

// Returns what an instance with this memory may hold of replies, in bytes.
[[nodiscard]] constexpr std::size_t MaxHeldReplyBytes(Bytes memory_limit) {
  const double part = static_cast<double>(memory_limit) * kReplyBytesShare;
  return std::min(static_cast<std::size_t>(part), kMaxHeldReplyBytes);
}

// Returns what callers may make an instance with this memory hold, in bytes.
[[nodiscard]] constexpr std::size_t MaxCallerBytes(Bytes memory_limit) {
  return static_cast<std::size_t>(static_cast<double>(memory_limit) *
                                  kCallerBytesShare);
}

// Descriptors that the platform keeps for files.
inline constexpr int kFileDescriptors = 200;

// Returns how many connections callers and other instances may keep open to an
// instance with this number of descriptors: half of those for sockets, since
// each request that is served needs another one to an endpoint. An eighth is
// for connections that the instance has ended: refusals are sent on them.
[[nodiscard]] constexpr ConnectionQuotaOptions CallerQuota(int descriptors) {
  constexpr std::size_t kEndedPart = 8;
  const auto most = static_cast<std::size_t>(
      std::max((descriptors - kFileDescriptors) / 2, 1));
  return {.max_connections = most, .max_active = most - most / kEndedPart};
}

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_CONNECTION_OPTIONS_H_
