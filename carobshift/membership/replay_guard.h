// Rejects replayed datagrams and datagrams of an incarnation that has not
// proved that it is running now.
//
//   switch (guard.Check(id, incarnation, sequence, now)) {
//     case ReplayGuard::Verdict::kAccept: ...
//     case ReplayGuard::Verdict::kChallenge: send guard.Challenge(...)
//
// An HMAC proves who wrote a datagram, but not when. A replayed datagram would
// restore an old address or state and make members flap. Within a verified
// incarnation each sequence number is accepted once, in a sliding window of 64.
// The first datagram of an incarnation, including that of a restarted peer,
// only causes a challenge. Only a running holder of the secret can echo the
// nonce under a new HMAC, so the datagrams of earlier incarnations stay
// rejected even by a receiver that has just started and has no state.

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

// Holds at most kMaxPeers verified peers and as many open challenges. When
// full, it evicts the one with the oldest update. Thread-compatible.
class ReplayGuard {
 public:
  static constexpr std::size_t kMaxPeers = 1024;
  // How long a challenge may be answered: two orders of magnitude above a round
  // trip.
  static constexpr Milliseconds kChallengeTimeout{2000};

  enum class Verdict { kAccept, kReplayed, kChallenge };

  // `seed` should come from the system's random source, so that nonces can't be
  // predicted from those of an earlier incarnation.
  explicit ReplayGuard(std::uint64_t seed) : seed_(seed) {}

  // Records the sequence number if it returns kAccept.
  [[nodiscard]] Verdict Check(const EntryId& sender,
                              Incarnation incarnation,
                              std::uint64_t sequence,
                              MonotonicTime now);

  // Returns the nonce to send to an unverified incarnation. It stays the same
  // while the challenge is open.
  [[nodiscard]] std::uint64_t Challenge(const EntryId& sender,
                                        Incarnation incarnation,
                                        MonotonicTime now);

  // Returns true if `nonce` answers an open challenge. The incarnation is then
  // verified from `sequence` on, and replaces an earlier one of the sender.
  [[nodiscard]] bool Verify(const EntryId& sender,
                            Incarnation incarnation,
                            std::uint64_t nonce,
                            std::uint64_t sequence,
                            MonotonicTime now);

 private:
  struct Peer {
    Incarnation incarnation{};
    std::uint64_t highest = 0;
    // Bit i is set if `highest` - i has been accepted.
    std::uint64_t window = 1;
    MonotonicTime last_update{};
  };
  struct OpenChallenge {
    std::uint64_t nonce = 0;
    MonotonicTime last_update{};
  };
  using ChallengeKey = std::pair<EntryId, Incarnation>;

  std::uint64_t seed_;
  std::uint64_t challenges_sent_ = 0;
  std::map<EntryId, Peer> peers_;
  std::map<ChallengeKey, OpenChallenge> challenges_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_MEMBERSHIP_REPLAY_GUARD_H_
