// Tracks which entries are alive with a gossip protocol like SWIM: in each
// period an entry pings one other. If no ack comes, it asks three more entries
// to ping the target, then suspects it, and declares it dead unless it refutes
// the suspicion. Every datagram also carries updates of members and facts.
//
//   Membership membership(options, self, secret, RandomUint64(), now);
//   membership.SetSeeds(listed_gossip_addresses);
//   for (const SendDatagram& send : membership.OnTick(now)) ...
//   for (const SendDatagram& send : membership.OnDatagram(bytes, now)) ...
//
// Load pattern: 7 entries today, 420 later, 1,500 restarts on an ordinary day,
// and the loss of a whole availability zone. If every entry watched every other
// one, traffic would grow with the square of their number; here an entry sends
// about one ping and one ack per period regardless of the number. A burst of
// updates (a zone lost, many endpoints leaving) lengthens the update queue but
// not the datagrams, and the extra datagrams for urgent updates are limited to
// kUrgentDatagramsPerSecond. With periods of 500 ms and datagrams filled up to
// kFillBytes this is below 18 KB a second, both directions together.
//
// Detection: with n live entries, each is pinged by some entry every 500 ms on
// average and by a given entry at least once in 2(n-1) periods. One period of
// indirect pings and SuspicionTimeout() follow. DetectionBound() is their sum.

#ifndef CAROBSHIFT_MEMBERSHIP_MEMBERSHIP_H_
#define CAROBSHIFT_MEMBERSHIP_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/units.h"
#include "carobshift/membership/fact_table.h"
#include "carobshift/membership/member.h"
#include "carobshift/membership/member_table.h"
#include "carobshift/membership/replay_guard.h"

namespace carobshift {

// A datagram for the owner to send.
struct SendDatagram {
  NetAddress to{};
  std::string bytes;
};

struct MembershipOptions {
  Milliseconds period{500};
  // Round trips are 3 ms between availability zones. Fifty times that leaves
  // room for scheduling delays before indirect probes start.
  Milliseconds ack_timeout{150};
  int indirect_probes = 3;
  // Interval between probes of dead members and seeds; one is probed at a time.
  Milliseconds rejoin_period{2000};
  // For tests only.
  MemberMutation mutation = MemberMutation::kNone;
};

struct MembershipCounters {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t accepted = 0;
  std::uint64_t forged = 0;
  std::uint64_t malformed = 0;
  std::uint64_t misdirected = 0;
  std::uint64_t replayed = 0;
  std::uint64_t challenged = 0;
  std::uint64_t pauses = 0;
};

// Thread-compatible: the owner serializes calls.
class Membership {
 public:
  static constexpr Milliseconds kTick{50};
  // Target size of a datagram; urgent facts may fill it up to
  // kMaxDatagramBytes.
  static constexpr std::size_t kFillBytes = 1000;
  static constexpr int kUrgentFanout = 3;
  static constexpr double kUrgentDatagramsPerSecond = 4.0;
  // Rate of extra datagrams while new members are being discovered, and for
  // kDiscoveryDuration after the last one. When all entries start at once, each
  // knows two others; with regular pings alone, ninety entries would take 15
  // seconds to find each other, and until then each would dispatch as if it
  // were the only entry. Member updates spread by gossip, so this phase ends on
  // all entries by itself.
  static constexpr double kDiscoveryDatagramsPerSecond = 40.0;
  static constexpr Milliseconds kDiscoveryDuration{1000};

  // `self.version` should be the calendar clock in milliseconds. `seed` should
  // come from the system's random source.
  Membership(const MembershipOptions& options,
             const MemberInfo& self,
             std::string secret,
             std::uint64_t seed,
             MonotonicTime now);

  // Sets the gossip addresses, from settings and the instance list, to probe
  // while they belong to no live member. At most MemberTable::kMaxMembers are
  // kept.
  void SetSeeds(std::vector<NetAddress> seeds);

  // Must be called about every kTick.
  [[nodiscard]] std::vector<SendDatagram> OnTick(MonotonicTime now);

  // Handles a datagram from the network. Rejected datagrams are counted and
  // have no other effect.
  [[nodiscard]] std::vector<SendDatagram> OnDatagram(std::string_view bytes,
                                                     MonotonicTime now);

  void SetConfigVersion(ConfigVersion version);
  void PublishFact(const Fact& fact, MonotonicTime now);
  // Announces a planned shutdown: other entries remove this one from their
  // address answers. It keeps answering pings.
  void Leave();

  [[nodiscard]] const MemberInfo& self() const { return table_.self().info; }
  // Increases with each change of what Members(), LiveMembers() and Find()
  // return.
  [[nodiscard]] std::uint64_t revision() const { return table_.revision(); }
  // Returns this entry first, then all other known members by id, including
  // dead ones.
  [[nodiscard]] std::vector<MemberRecord> Members() const;
  // Returns the members to name in address answers: alive and not leaving.
  // Includes this entry unless it is leaving.
  [[nodiscard]] std::vector<MemberInfo> LiveMembers() const;
  [[nodiscard]] const MemberRecord* Find(const EntryId& id) const;
  [[nodiscard]] const FactTable& facts() const { return facts_; }
  [[nodiscard]] const MembershipCounters& counters() const { return counters_; }
  // Time after which all live entries know that a stopped member is dead, if no
  // datagram is lost.
  [[nodiscard]] Milliseconds DetectionBound() const;

 private:
  using Handler = void (Membership::*)(const GossipMessage&, MonotonicTime);

  struct Probe {
    EntryId target{};
    std::uint64_t number = 0;
    MonotonicTime sent{};
    bool indirect = false;
  };
  // A ping sent on behalf of another entry.
  struct Relay {
    NetAddress requester;
    std::uint64_t requester_number = 0;
    MonotonicTime sent{};
  };

  void DetectPause(MonotonicTime now);
  void StartProbe(MonotonicTime now);
  void FollowProbe(MonotonicTime now);
  void ProbeForRejoin(MonotonicTime now);
  void SendUrgent(MonotonicTime now);
  // Whether new members were discovered recently.
  [[nodiscard]] bool IsDiscovering(MonotonicTime now) const;
  std::optional<EntryId> NextTarget();

  void OnPing(const GossipMessage& message, MonotonicTime now);
  void OnAck(const GossipMessage& message, MonotonicTime now);
  void OnPingRequest(const GossipMessage& message, MonotonicTime now);
  void OnUpdate(const GossipMessage& message, MonotonicTime now);
  void OnChallenge(const GossipMessage& message, MonotonicTime now);

  [[nodiscard]] bool IsFresh(const GossipMessage& message, MonotonicTime now);
  void MergeGossip(const GossipMessage& message, MonotonicTime now);
  // The record about the receiver that it must refute or correct, or null.
  [[nodiscard]] const MemberRecord* RecordToRefute(const NetAddress& to) const;
  void Send(GossipKind kind,
            const NetAddress& to,
            std::uint64_t number,
            const EntryId& target,
            MonotonicTime now);
  [[nodiscard]] std::vector<SendDatagram> TakeOutbox();
  [[nodiscard]] int MaxSends() const;
  std::uint64_t NextRandom();

  MembershipOptions options_;
  std::string secret_;
  std::uint64_t random_state_;
  MemberTable table_;
  FactTable facts_;
  ReplayGuard guard_;
  MembershipCounters counters_;
  std::vector<NetAddress> seeds_;
  std::vector<EntryId> probe_order_;
  std::optional<Probe> probe_;
  // At most kMaxRelays.
  std::map<std::uint64_t, Relay> relays_;
  std::uint64_t sequence_ = 0;
  std::uint64_t probe_number_ = 0;
  MonotonicTime last_tick_;
  MonotonicTime next_probe_;
  MonotonicTime next_rejoin_;
  bool urgent_ = false;
  double urgent_tokens_ = kUrgentFanout;
  // When the number of live members last reached a new maximum, and that
  // maximum.
  MonotonicTime last_discovery_;
  std::size_t max_live_count_ = 0;
  // The known record of a sender whose version is behind; sent back to it with
  // the answer.
  std::optional<MemberRecord> correction_;
  std::vector<SendDatagram> outbox_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_MEMBERSHIP_MEMBERSHIP_H_
