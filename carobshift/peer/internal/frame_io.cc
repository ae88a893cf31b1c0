#include "carobshift/peer/internal/frame_io.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>
#include <cstdint>

namespace carobshift {
namespace {

constexpr std::size_t kLengthBytes = 4;
// Memory is allocated as bytes arrive, so that a forged length prefix alone
// allocates none.
constexpr std::size_t kChunkBytes = 64 * 1024;

Error Unreachable(const std::string& why) {
  return {ResultCode::kPeerUnreachable, "peer connection: " + why};
}

void SendAll(Poco::Net::StreamSocket& socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto part = std::min(bytes.size(), kChunkBytes);
    const int sent = socket.sendBytes(bytes.data(), static_cast<int>(part));
    bytes.remove_prefix(static_cast<std::size_t>(std::max(sent, 0)));
  }
}

// Returns false if the peer has closed the connection.
bool ReceiveAll(Poco::Net::StreamSocket& socket, char* out, std::size_t size) {
  for (std::size_t received_bytes = 0; received_bytes < size;) {
    const int count = socket.receiveBytes(
        out + received_bytes, static_cast<int>(size - received_bytes));
    if (count <= 0)
      return false;
    received_bytes += static_cast<std::size_t>(count);
  }
  return true;
}

std::string LengthPrefix(std::size_t size) {
  std::string prefix;
  for (int shift = 24; shift >= 0; shift -= 8)
    prefix.push_back(static_cast<char>((size >> shift) & 0xff));
  return prefix;
}

}  // namespace

Status WriteFrame(Poco::Net::StreamSocket& socket, std::string_view frame) {
  if (frame.size() > kMaxPeerFrameBytes)
    return Error{ResultCode::kPeerRejected, "the message is too large"};
  try {
    SendAll(socket, LengthPrefix(frame.size()) + std::string(frame));
    return {};
  } catch (const Poco::Exception& e) {
    return Unreachable(e.displayText());
  }
}

Result<std::string> ReadFrame(Poco::Net::StreamSocket& socket,
                              std::size_t max_bytes) {
  try {
    std::array<char, kLengthBytes> prefix;
    if (!ReceiveAll(socket, prefix.data(), prefix.size()))
      return Unreachable("closed");
    std::size_t size = 0;
    for (const char byte : prefix)
      size = (size << 8) | static_cast<std::uint8_t>(byte);
    if (size > max_bytes)
      return Error{ResultCode::kPeerRejected, "a peer's frame is too long"};
    std::string frame;
    while (frame.size() < size) {
      const std::size_t old = frame.size();
      frame.resize(std::min(size, old + kChunkBytes));
      if (!ReceiveAll(socket, frame.data() + old, frame.size() - old))
        return Unreachable("closed within a frame");
    }
    return frame;
  } catch (const Poco::Exception& e) {
    return Unreachable(e.displayText());
  }
}

}  // namespace carobshift
