// PeerSession authenticates the frames of one connection between two entries.
// Each side contributes a random number; every frame carries an HMAC over its
// direction, sequence number and payload, under a key derived from both random
// numbers and the deployment's secret.
//
//   PeerSession session(secret, server_random, client_random, Side::kClient);
//   std::string frame = session.Seal(payload);
//   Result<std::string> payload = session.Open(frame);
//
// Frames recorded on another connection fail verification because the key
// differs; frames that are replayed, dropped or reflected on the same
// connection fail because of their sequence number or direction. Without this,
// anyone who can reach the port could make an entry run a booking or replay a
// recorded one. Payloads are not encrypted, since entries communicate within
// the users' own network.
//
// Deterministic, no I/O. Thread-compatible.

#ifndef CAROBSHIFT_PEER_INTERNAL_PEER_SESSION_H_
#define CAROBSHIFT_PEER_INTERNAL_PEER_SESSION_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "carobshift/base/result.h"

namespace carobshift {

inline constexpr std::size_t kPeerRandomBytes = 16;
inline constexpr std::size_t kPeerMacBytes = 32;

class PeerSession {
 public:
  enum class Side : std::uint8_t { kClient, kServer };

  PeerSession(std::string_view secret,
              std::string_view server_random,
              std::string_view client_random,
              Side side);

  // Returns the MAC followed by the payload.
  [[nodiscard]] std::string Seal(std::string_view payload);
  // Verifies a frame and returns its payload. Returns kPeerRejected unless it
  // is the next frame that the other side sealed.
  [[nodiscard]] Result<std::string> Open(std::string_view frame);

 private:
  [[nodiscard]] std::string Mac(Side from,
                                std::uint64_t number,
                                std::string_view payload) const;

  std::string key_;
  Side side_;
  std::uint64_t sent_count_ = 0;
  std::uint64_t received_count_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_PEER_INTERNAL_PEER_SESSION_H_
