// Reads and writes length-prefixed frames on a socket.
//
//   Status sent = WriteFrame(socket, frame);
//   Result<std::string> frame = ReadFrame(socket, max_bytes);
//
// Both block up to the socket's timeouts and convert Poco's exceptions to
// errors.

#ifndef CAROBSHIFT_PEER_INTERNAL_FRAME_IO_H_
#define CAROBSHIFT_PEER_INTERNAL_FRAME_IO_H_

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "carobshift/base/result.h"

namespace carobshift {

// Holds a declaration of 8 MiB, which takes more space in JSON.
inline constexpr std::size_t kMaxPeerFrameBytes = 32 * 1024 * 1024;

// Returns kPeerUnreachable if the connection fails, and kPeerRejected if the
// frame exceeds kMaxPeerFrameBytes.
[[nodiscard]] Status WriteFrame(Poco::Net::StreamSocket& socket,
                                std::string_view frame);

// Returns kPeerUnreachable if the connection fails or ends, and kPeerRejected
// if the length prefix exceeds `max_bytes`.
[[nodiscard]] Result<std::string> ReadFrame(Poco::Net::StreamSocket& socket,
                                            std::size_t max_bytes);

}  // namespace carobshift

#endif  // CAROBSHIFT_PEER_INTERNAL_FRAME_IO_H_
