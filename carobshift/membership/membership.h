// Which entries live, by a gossip protocol in the manner of SWIM: each entry
// pings one other per period, asks three more to ping it if no answer comes,
// suspects it after that, and declares it dead if it does not contradict.
// Every datagram carries news of members and facts.
//
//   Membership membership(options, self, secret, RandomUint64(), now);
//   membership.SetSeeds(listed_gossip_addresses);
//   for (const SendDatagram& send : membership.OnTick(now)) ...
//   for (const SendDatagram& send : membership.OnDatagram(bytes, now)) ...
//
// Load pattern: 7 entries today, 420 later, 1,500 restarts on an ordinary day,
// a whole availability zone lost at once. If each entry watched each other
// one, traffic would grow with the square of their number; here an entry sends
// about one ping and one answer per period whatever the number is. A burst of
// news (a zone lost, many endpoints leaving) lengthens the queue, never the
// datagram, and the extra datagrams for urgent news are limited to
// kUrgentPerSecond. With periods of 500 ms and datagrams filled up to
// kFillBytes that is below 18 KB a second, both directions together.
//
// Detection: with n live entries each is pinged by somebody every 500 ms on
// average and by a given entry at least once in 2(n-1) periods; then one
// period of indirect pings and SuspicionTimeout(). DetectionBound() adds them.

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

// The action: send these bytes as one datagram.
struct SendDatagram {
  NetAddress to{};
  std::string bytes;
};

struct MembershipOptions {
  Milliseconds period{500};
  // Round trips are 3 ms between availability zones; fifty times that leaves
  // room for a busy scheduler before others are asked.
  Milliseconds ack_timeout{150};
  int indirect_probes = 3;
  // Dead members and seeds are tried again this often, one at a time.
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
  // Target size of a datagram; urgent news may fill it up to the limit.
  static constexpr std::size_t kFillBytes = 1000;
  static constexpr int kUrgentFanout = 3;
  static constexpr double kUrgentPerSecond = 4.0;
  // While members are met that were not known, so many datagrams a second go to
  // others, and for kHurryFor after that. When all entries start at once, each
  // knows two others, and by regular pings alone it would take ninety of them a
  // quarter of a minute to find each other; until then each decides as if it
  // were alone. News of members spread by themselves and end this everywhere.
  static constexpr double kHurryPerSecond = 40.0;
  static constexpr Milliseconds kHurryFor{1000};

  // `self.version` should be the calendar clock in milliseconds; `seed` from
  // the system's random source.
  Membership(const MembershipOptions& options,
             const MemberInfo& self,
             std::string secret,
             std::uint64_t seed,
             MonotonicTime now);

  // Gossip addresses to try when they belong to no live member, from settings
  // and the instance list; at most MemberTable::kMaxMembers are kept.
  void SetSeeds(std::vector<NetAddress> seeds);

  // To be called every kTick or so.
  [[nodiscard]] std::vector<SendDatagram> OnTick(MonotonicTime now);

  // Any bytes from the network; refused ones are counted and have no effect.
  [[nodiscard]] std::vector<SendDatagram> OnDatagram(std::string_view bytes,
                                                     MonotonicTime now);

  void SetConfigVersion(ConfigVersion version);
  void PublishFact(const Fact& fact, MonotonicTime now);
  // Announces the planned stop: other entries leave this one out of their
  // address answers. It goes on answering pings.
  void Leave();

  [[nodiscard]] const MemberInfo& self() const { return table_.self().info; }
  // Rises with each change of what the next three return.
  [[nodiscard]] std::uint64_t revision() const { return table_.revision(); }
  // This entry first, then all known others, by id, dead ones included.
  [[nodiscard]] std::vector<MemberRecord> Members() const;
  // Members to name in address answers: alive and not leaving; this entry
  // included unless it leaves.
  [[nodiscard]] std::vector<MemberInfo> Live() const;
  [[nodiscard]] const MemberRecord* Find(const EntryId& id) const;
  [[nodiscard]] const FactTable& facts() const { return facts_; }
  [[nodiscard]] const MembershipCounters& counters() const { return counters_; }
  // A member that stops is known as dead to all live entries after this time
  // if no datagram is lost.
  [[nodiscard]] Milliseconds DetectionBound() const;

 private:
  using Handler = void (Membership::*)(const GossipMessage&, MonotonicTime);

  struct Probe {
    EntryId target{};
    std::uint64_t number = 0;
    MonotonicTime sent{};
    bool indirect = false;
  };
  // A ping sent for another entry.
  struct Relay {
    NetAddress asker;
    std::uint64_t asker_number = 0;
    MonotonicTime sent{};
  };

  void NoticePause(MonotonicTime now);
  void StartProbe(MonotonicTime now);
  void FollowProbe(MonotonicTime now);
  void TryToRejoin(MonotonicTime now);
  void SendUrgent(MonotonicTime now);
  // Whether members were met a short time ago.
  [[nodiscard]] bool Hurries(MonotonicTime now) const;
  std::optional<EntryId> NextTarget();

  void OnPing(const GossipMessage& message, MonotonicTime now);
  void OnAck(const GossipMessage& message, MonotonicTime now);
  void OnPingRequest(const GossipMessage& message, MonotonicTime now);
  void OnUpdate(const GossipMessage& message, MonotonicTime now);
  void OnChallenge(const GossipMessage& message, MonotonicTime now);

  [[nodiscard]] bool IsFresh(const GossipMessage& message, MonotonicTime now);
  void Learn(const GossipMessage& message, MonotonicTime now);
  // The record that the receiver must hear because it concerns itself.
  [[nodiscard]] const MemberRecord* RecordFor(const NetAddress& to) const;
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
  std::vector<EntryId> round_;
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
  // Since when no new member was met; the number of members then.
  MonotonicTime met_;
  std::size_t members_met_ = 0;
  // What is known of a sender that seems to be behind; sent back with the
  // answer.
  std::optional<MemberRecord> correction_;
  std::vector<SendDatagram> outbox_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_MEMBERSHIP_MEMBERSHIP_H_
