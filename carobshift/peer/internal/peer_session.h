// The security of one connection between two entries: each side contributes a
// random number, and every frame carries an HMAC under a key made of both and
// the deployment's secret, over its direction and number.
//
//   PeerSession session(secret, server_random, client_random, Side::kClient);
//   std::string frame = session.Seal(payload);
//   Result<std::string> payload = session.Open(frame);
//
// A frame recorded on another connection fails, since the key is another; one
// repeated, dropped or turned round on the same connection fails by its number
// and direction. Without this, whoever reaches the port could make an entry
// run a booking, or have one run that it has recorded. Contents are not
// hidden: the brief's entries talk inside the users' own network.
//
// Pure; thread-compatible.

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

  // The MAC followed by the payload.
  [[nodiscard]] std::string Seal(std::string_view payload);
  // kPeerRejected for a frame that the other side didn't seal as its next.
  [[nodiscard]] Result<std::string> Open(std::string_view frame);

 private:
  [[nodiscard]] std::string Mac(Side from,
                                std::uint64_t number,
                                std::string_view payload) const;

  std::string key_;
  Side side_;
  std::uint64_t sent_ = 0;
  std::uint64_t received_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_PEER_INTERNAL_PEER_SESSION_H_
