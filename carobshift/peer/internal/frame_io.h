// Length-prefixed frames on a socket.
//
//   Status sent = WriteFrame(socket, frame);
//   Result<std::string> frame = ReadFrame(socket, max_bytes);
//
// Block up to the socket's timeouts. Poco's exceptions end here.

#ifndef CAROBSHIFT_PEER_INTERNAL_FRAME_IO_H_
#define CAROBSHIFT_PEER_INTERNAL_FRAME_IO_H_

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "carobshift/base/result.h"

namespace carobshift {

// A declaration of 8 MiB grows in JSON.
inline constexpr std::size_t kMaxPeerFrameBytes = 32 * 1024 * 1024;

// kPeerUnreachable if the connection fails.
[[nodiscard]] Status WriteFrame(Poco::Net::StreamSocket& socket,
                                std::string_view frame);

// kPeerUnreachable if the connection fails or ends, kPeerRejected if the frame
// is said to be longer than `max_bytes`.
[[nodiscard]] Result<std::string> ReadFrame(Poco::Net::StreamSocket& socket,
                                            std::size_t max_bytes);

}  // namespace carobshift

#endif  // CAROBSHIFT_PEER_INTERNAL_FRAME_IO_H_
