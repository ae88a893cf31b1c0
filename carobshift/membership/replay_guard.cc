#include "carobshift/membership/replay_guard.h"

#include <algorithm>
#include <string_view>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

constexpr std::uint64_t kWindowBits = 64;

template <typename Map>
void EvictOldestIfFull(Map& map, std::size_t limit) {
  if (map.size() < limit)
    return;
  const auto oldest = std::min_element(
      map.begin(), map.end(), [](const auto& a, const auto& b) {
        return a.second.last_update < b.second.last_update;
      });
  map.erase(oldest);
}

}  // namespace

ReplayGuard::Verdict ReplayGuard::Check(const EntryId& sender,
                                        Incarnation incarnation,
                                        std::uint64_t sequence,
                                        MonotonicTime now) {
  const auto it = peers_.find(sender);
  if (it == peers_.end() || it->second.incarnation != incarnation)
    return Verdict::kChallenge;
  Peer& peer = it->second;
  if (sequence > peer.highest) {
    const std::uint64_t shift = sequence - peer.highest;
    peer.window = shift >= kWindowBits ? 1 : (peer.window << shift) | 1;
    peer.highest = sequence;
  } else {
    const std::uint64_t age = peer.highest - sequence;
    if (age >= kWindowBits || ((peer.window >> age) & 1) != 0)
      return Verdict::kReplayed;
    peer.window |= std::uint64_t{1} << age;
  }
  peer.last_update = now;
  return Verdict::kAccept;
}

std::uint64_t ReplayGuard::Challenge(const EntryId& sender,
                                     Incarnation incarnation,
                                     MonotonicTime now) {
  const ChallengeKey key(sender, incarnation);
  const auto it = challenges_.find(key);
  if (it != challenges_.end() &&
      now - it->second.last_update < kChallengeTimeout)
    return it->second.nonce;
  if (it == challenges_.end())
    EvictOldestIfFull(challenges_, kMaxPeers);
  ++challenges_sent_;
  const std::string_view counter(
      reinterpret_cast<const char*>(&challenges_sent_),
      sizeof(challenges_sent_));
  const std::uint64_t nonce = FastHash(counter, seed_);
  challenges_[key] = {.nonce = nonce, .last_update = now};
  return nonce;
}

bool ReplayGuard::Verify(const EntryId& sender,
                         Incarnation incarnation,
                         std::uint64_t nonce,
                         std::uint64_t sequence,
                         MonotonicTime now) {
  const auto it = challenges_.find(ChallengeKey(sender, incarnation));
  if (it == challenges_.end() || it->second.nonce != nonce ||
      now - it->second.last_update >= kChallengeTimeout)
    return false;
  challenges_.erase(it);
  if (!peers_.contains(sender))
    EvictOldestIfFull(peers_, kMaxPeers);
  peers_[sender] = {.incarnation = incarnation,
                    .highest = sequence,
                    .window = 1,
                    .last_update = now};
  return true;
}

}  // namespace carobshift
