// Refuses datagrams that were recorded earlier and sent again, and those of
// an incarnation that has not proved that it lives now.
//
//   switch (guard.Check(id, incarnation, sequence, now)) {
//     case ReplayGuard::Verdict::kAccept: ...
//     case ReplayGuard::Verdict::kChallenge: send guard.Challenge(...)
//
// An HMAC proves who wrote a datagram, not when. A recorded one would bring
// back an old address or state; one would notice members that flap. Within a
// verified incarnation each sequence number is taken once, in a window of 64.
// The first datagram of an incarnation, a restarted peer's included, has no
// effect but a challenge: only a living holder of the secret can echo the
// nonce in a fresh HMAC, so a former life's datagrams stay refused even by a
// receiver that has just started and remembers nothing.

#ifndef CAROBSHIFT_MEMBERSHIP_REPLAY_GUARD_H_
#define CAROBSHIFT_MEMBERSHIP_REPLAY_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

// Holds at most kMaxPeers verified peers and as many open challenges; the one
// longest unheard makes room. Thread-compatible.
class ReplayGuard {
 public:
  static constexpr std::size_t kMaxPeers = 1024;
  // A challenge may be answered for this long: two orders above a round trip.
  static constexpr Milliseconds kChallengeLife{2000};

  enum class Verdict { kAccept, kReplayed, kChallenge };

  // `seed` comes from the system's random source, so that nonces can't be
  // guessed from those of a former life.
  explicit ReplayGuard(std::uint64_t seed) : seed_(seed) {}

  // Takes note of the sequence number if it returns kAccept.
  [[nodiscard]] Verdict Check(const EntryId& sender,
                              Incarnation incarnation,
                              std::uint64_t sequence,
                              MonotonicTime now);

  // The nonce to send to an unverified incarnation; the same one while it is
  // open.
  [[nodiscard]] std::uint64_t Challenge(const EntryId& sender,
                                        Incarnation incarnation,
                                        MonotonicTime now);

  // True if `nonce` answers an open challenge; the incarnation is verified
  // then, from `sequence` on, and a former one of the sender is not any more.
  [[nodiscard]] bool Verify(const EntryId& sender,
                            Incarnation incarnation,
                            std::uint64_t nonce,
                            std::uint64_t sequence,
                            MonotonicTime now);

 private:
  struct Peer {
    Incarnation incarnation{};
    std::uint64_t highest = 0;
    // Bit i is set if highest - i has been taken.
    std::uint64_t window = 1;
    MonotonicTime heard{};
  };
  struct OpenChallenge {
    std::uint64_t nonce = 0;
    MonotonicTime heard{};
  };
  using ChallengeKey = std::pair<EntryId, Incarnation>;

  std::uint64_t seed_;
  std::uint64_t challenges_sent_ = 0;
  std::map<EntryId, Peer> peers_;
  std::map<ChallengeKey, OpenChallenge> challenges_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_MEMBERSHIP_REPLAY_GUARD_H_
