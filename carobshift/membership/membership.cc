#include "carobshift/membership/membership.h"

#include <algorithm>
#include <array>
#include <bit>
#include <utility>

#include "carobshift/base/digest.h"
#include "carobshift/membership/gossip_codec.h"

namespace carobshift {
namespace {

constexpr std::size_t kMaxRelays = 64;
constexpr Milliseconds kRelayTimeout{1000};
// A tick that is late by this much means that this process was paused.
constexpr Milliseconds kPauseThreshold{400};
// Sends per update and doubling of the number of members. With the usual factor
// of 3, gossip misses about one member in some thousands.
constexpr int kSendsPerDoubling = 3;
// Size of the fixed fields and the HMAC of a datagram, with ids and hosts of
// usual length.
constexpr std::size_t kEnvelopeBytes = 260;
constexpr std::size_t kFactBytes = kMaxDatagramBytes - Membership::kFillBytes;

// Datagrams of first contact and indirect probes carry no updates and stay
// small: at 420 entries most pings of the first minutes go to a peer that is
// not verified yet.
bool CarriesUpdates(GossipKind kind) {
  return kind == GossipKind::kPing || kind == GossipKind::kAck ||
         kind == GossipKind::kUpdate;
}

}  // namespace

Membership::Membership(const MembershipOptions& options,
                       const MemberInfo& self,
                       std::string secret,
                       std::uint64_t seed,
                       MonotonicTime now)
    : options_(options),
      secret_(std::move(secret)),
      random_state_(seed),
      table_(self, options.mutation),
      guard_(seed),
      last_tick_(now),
      next_probe_(now),
      next_rejoin_(now),
      last_discovery_(now) {}

void Membership::SetSeeds(std::vector<NetAddress> seeds) {
  if (seeds.size() > MemberTable::kMaxMembers)
    seeds.resize(MemberTable::kMaxMembers);
  seeds_ = std::move(seeds);
}

std::vector<SendDatagram> Membership::OnTick(MonotonicTime now) {
  DetectPause(now);
  FollowProbe(now);
  if (now >= next_probe_) {
    StartProbe(now);
    next_probe_ = now + options_.period;
  }
  if (now >= next_rejoin_) {
    ProbeForRejoin(now);
    const bool alone = table_.LiveCount() == 1;
    next_rejoin_ = now + (alone ? options_.period : options_.rejoin_period);
  }
  SendUrgent(now);
  table_.Expire(now);
  facts_.Expire(now);
  std::erase_if(relays_, [now](const auto& item) {
    return now - item.second.sent >= kRelayTimeout;
  });
  last_tick_ = now;
  return TakeOutbox();
}

// After a pause (a stopped process, an overloaded machine) the clock has
// advanced while acks waited unread. Without this check the first tick would
// find all timeouts expired and declare all other members dead, and callers
// would be sent to this entry alone.
void Membership::DetectPause(MonotonicTime now) {
  const auto gap = std::chrono::duration_cast<Milliseconds>(now - last_tick_);
  if (gap < kPauseThreshold ||
      options_.mutation == MemberMutation::kIgnoreOwnPause)
    return;
  ++counters_.pauses;
  probe_.reset();
  table_.ExtendTimeouts(gap);
}

std::optional<EntryId> Membership::NextTarget() {
  for (int pass = 0; pass < 2; ++pass) {
    while (!probe_order_.empty()) {
      const EntryId id = probe_order_.back();
      probe_order_.pop_back();
      const MemberRecord* record = table_.Find(id);
      if (record != nullptr && record->state != MemberState::kDead)
        return id;
    }
    for (const MemberState state : {MemberState::kAlive, MemberState::kSuspect})
      for (EntryId& id : table_.IdsInState(state))
        probe_order_.push_back(std::move(id));
    for (std::size_t i = probe_order_.size(); i > 1; --i)
      std::swap(probe_order_[i - 1], probe_order_[NextRandom() % i]);
  }
  return std::nullopt;
}

void Membership::StartProbe(MonotonicTime now) {
  if (probe_)
    table_.Suspect(probe_->target, now);
  probe_.reset();
  const std::optional<EntryId> target = NextTarget();
  if (!target)
    return;
  probe_ = Probe{.target = *target, .number = ++probe_number_, .sent = now};
  Send(GossipKind::kPing, table_.Find(*target)->info.gossip_address(),
       probe_->number, *target, now);
}

void Membership::FollowProbe(MonotonicTime now) {
  if (!probe_ || probe_->indirect || now - probe_->sent < options_.ack_timeout)
    return;
  probe_->indirect = true;
  std::vector<EntryId> helpers = table_.IdsInState(MemberState::kAlive);
  std::erase(helpers, probe_->target);
  for (int i = 0; i < options_.indirect_probes && !helpers.empty(); ++i) {
    const std::size_t chosen = NextRandom() % helpers.size();
    const EntryId helper = helpers[chosen];
    helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(chosen));
    Send(GossipKind::kPingRequest, table_.Find(helper)->info.gossip_address(),
         probe_->number, probe_->target, now);
  }
}

// After a partition heals, each side believes the other dead and pings none of
// its members; address answers then name only half of the entries. Therefore
// one dead member or unknown seed is probed every `rejoin_period`.
void Membership::ProbeForRejoin(MonotonicTime now) {
  std::vector<NetAddress> candidates;
  std::vector<NetAddress> live = {self().gossip_address()};
  for (const MemberRecord& record : table_.Others()) {
    if (record.state != MemberState::kDead)
      live.push_back(record.info.gossip_address());
    else if (options_.mutation != MemberMutation::kNoRejoinProbe)
      candidates.push_back(record.info.gossip_address());
  }
  const bool alone = live.size() == 1;
  for (const NetAddress& seed : seeds_) {
    const bool known = std::find(live.begin(), live.end(), seed) != live.end();
    const bool allowed =
        alone || options_.mutation != MemberMutation::kNoRejoinProbe;
    if (!known && allowed)
      candidates.push_back(seed);
  }
  if (candidates.empty())
    return;
  Send(GossipKind::kPing, candidates[NextRandom() % candidates.size()],
       ++probe_number_, EntryId(), now);
}

bool Membership::IsDiscovering(MonotonicTime now) const {
  return max_live_count_ > 0 && now - last_discovery_ < kDiscoveryDuration;
}

// No entry may send new work to a leaving endpoint after two seconds. Regular
// pings alone would not reach all of 420 entries in that time.
void Membership::SendUrgent(MonotonicTime now) {
  const std::chrono::duration<double> elapsed = now - last_tick_;
  const bool discovering = IsDiscovering(now);
  const double rate =
      discovering ? kDiscoveryDatagramsPerSecond : kUrgentDatagramsPerSecond;
  urgent_tokens_ =
      std::min<double>(kUrgentFanout, urgent_tokens_ + elapsed.count() * rate);
  if (!urgent_ && !discovering)
    return;
  std::vector<EntryId> receivers = table_.IdsInState(MemberState::kAlive);
  while (urgent_tokens_ >= 1.0 && !receivers.empty()) {
    urgent_tokens_ -= 1.0;
    urgent_ = false;
    const std::size_t chosen = NextRandom() % receivers.size();
    Send(GossipKind::kUpdate,
         table_.Find(receivers[chosen])->info.gossip_address(), 0, EntryId(),
         now);
    receivers.erase(receivers.begin() + static_cast<std::ptrdiff_t>(chosen));
  }
}

std::vector<SendDatagram> Membership::OnDatagram(std::string_view bytes,
                                                 MonotonicTime now) {
  const Result<GossipMessage> decoded = DecodeGossip(bytes, secret_);
  if (!decoded.ok()) {
    ++(decoded.error().code == ResultCode::kPeerRejected ? counters_.forged
                                                         : counters_.malformed);
    return {};
  }
  const GossipMessage& message = decoded.value();
  if (message.to != self().gossip_address() ||
      message.sender.incarnation == self().incarnation) {
    ++counters_.misdirected;
    return {};
  }
  // A challenge from an unverified sender is answered: the reply has no effect
  // here and reveals only what every datagram contains.
  if (message.kind == GossipKind::kChallenge) {
    OnChallenge(message, now);
    return TakeOutbox();
  }
  if (!IsFresh(message, now))
    return TakeOutbox();
  ++counters_.accepted;
  // Any message from the probed member shows that it is alive. The answer to a
  // first ping is a challenge, which carries another number.
  if (probe_ && probe_->target == message.sender.id)
    probe_.reset();
  MergeGossip(message, now);
  static constexpr std::array<Handler, 6> kHandlers = {
      &Membership::OnPing,   &Membership::OnAck,    &Membership::OnPingRequest,
      &Membership::OnUpdate, &Membership::OnUpdate, &Membership::OnPing};
  (this->*kHandlers[static_cast<std::size_t>(message.kind)])(message, now);
  return TakeOutbox();
}

bool Membership::IsFresh(const GossipMessage& message, MonotonicTime now) {
  if (options_.mutation == MemberMutation::kNoReplayGuard)
    return true;
  const MemberInfo& sender = message.sender;
  if (message.kind == GossipKind::kChallengeReply &&
      guard_.Verify(sender.id, sender.incarnation, message.number,
                    message.sequence, now))
    return true;
  switch (guard_.Check(sender.id, sender.incarnation, message.sequence, now)) {
    case ReplayGuard::Verdict::kAccept:
      return true;
    case ReplayGuard::Verdict::kReplayed:
      ++counters_.replayed;
      return false;
    case ReplayGuard::Verdict::kChallenge:
      ++counters_.challenged;
      Send(GossipKind::kChallenge, sender.gossip_address(),
           guard_.Challenge(sender.id, sender.incarnation, now), EntryId(),
           now);
      return false;
  }
  return false;
}

void Membership::MergeGossip(const GossipMessage& message, MonotonicTime now) {
  const MemberRecord* known = table_.Find(message.sender.id);
  if (known != nullptr && known->info.version > message.sender.version)
    correction_ = *known;
  table_.Merge({.info = message.sender,
                .state = MemberState::kAlive,
                .config_version = message.sender_config},
               now);
  for (const MemberRecord& record : message.members)
    table_.Merge(record, now);
  for (const Fact& fact : message.facts)
    PublishFact(fact, now);
  if (table_.LiveCount() > max_live_count_)
    last_discovery_ = now;
  max_live_count_ = std::max(max_live_count_, table_.LiveCount());
}

void Membership::OnPing(const GossipMessage& message, MonotonicTime now) {
  Send(GossipKind::kAck, message.sender.gossip_address(), message.number,
       self().id, now);
}

void Membership::OnAck(const GossipMessage& message, MonotonicTime now) {
  if (probe_ && message.number == probe_->number &&
      message.target == probe_->target)
    probe_.reset();
  const auto relay = relays_.find(message.number);
  if (relay == relays_.end() || message.target != message.sender.id)
    return;
  Send(GossipKind::kAck, relay->second.requester,
       relay->second.requester_number, message.target, now);
  relays_.erase(relay);
}

void Membership::OnPingRequest(const GossipMessage& message,
                               MonotonicTime now) {
  const MemberRecord* target = table_.Find(message.target);
  if (target == nullptr || relays_.size() >= kMaxRelays)
    return;
  const std::uint64_t number = ++probe_number_;
  relays_[number] = {.requester = message.sender.gossip_address(),
                     .requester_number = message.number,
                     .sent = now};
  Send(GossipKind::kPing, target->info.gossip_address(), number, message.target,
       now);
}

void Membership::OnUpdate(const GossipMessage& /*message*/,
                          MonotonicTime /*now*/) {}

void Membership::OnChallenge(const GossipMessage& message, MonotonicTime now) {
  Send(GossipKind::kChallengeReply, message.sender.gossip_address(),
       message.number, EntryId(), now);
}

void Membership::SetConfigVersion(ConfigVersion version) {
  if (version <= table_.self().config_version)
    return;
  table_.SetOwnConfig(version);
  urgent_ = true;
}

void Membership::PublishFact(const Fact& fact, MonotonicTime now) {
  urgent_ = facts_.Publish(fact, now) || urgent_;
}

void Membership::Leave() {
  table_.SetOwnLeaving();
  urgent_ = true;
}

std::vector<MemberRecord> Membership::Members() const {
  std::vector<MemberRecord> members = table_.Others();
  members.insert(members.begin(), table_.self());
  return members;
}

std::vector<MemberInfo> Membership::LiveMembers() const {
  std::vector<MemberInfo> live;
  for (const MemberRecord& record : Members()) {
    if (record.state == MemberState::kAlive && !record.info.leaving)
      live.push_back(record.info);
  }
  return live;
}

const MemberRecord* Membership::Find(const EntryId& id) const {
  return table_.Find(id);
}

Milliseconds Membership::DetectionBound() const {
  const auto periods = static_cast<int>(2 * table_.LiveCount()) + 2;
  return options_.period * periods + 2 * table_.SuspicionTimeout();
}

const MemberRecord* Membership::RecordToRefute(const NetAddress& to) const {
  if (correction_ && correction_->info.gossip_address() == to)
    return &*correction_;
  return table_.FindRefutable(to);
}

void Membership::Send(GossipKind kind,
                      const NetAddress& to,
                      std::uint64_t number,
                      const EntryId& target,
                      MonotonicTime now) {
  GossipMessage message{.kind = kind,
                        .sender = self(),
                        .sender_config = table_.self().config_version,
                        .sequence = ++sequence_,
                        .to = to,
                        .number = number,
                        .target = target};
  const MemberRecord* refutable =
      kind == GossipKind::kChallenge ? nullptr : RecordToRefute(to);
  if (CarriesUpdates(kind)) {
    // Facts are sent a limited number of times, so an entry that starts later
    // would miss them: it would dispatch a request that crashes engines to
    // three more of them.
    message.facts = table_.IsNewMember(to, now)
                        ? facts_.TakeForNewMember(kFactBytes, MaxSends(), now)
                        : facts_.TakeForDatagram(kFactBytes, MaxSends(), now);
    message.members =
        table_.TakeForDatagram(kFillBytes - kEnvelopeBytes, MaxSends());
  }
  if (refutable != nullptr)
    message.members.insert(message.members.begin(), *refutable);
  std::string bytes = EncodeGossip(message, secret_);
  while (bytes.size() > kMaxDatagramBytes && !message.members.empty()) {
    message.members.pop_back();
    bytes = EncodeGossip(message, secret_);
  }
  ++counters_.sent;
  counters_.sent_bytes += bytes.size();
  outbox_.push_back({.to = to, .bytes = std::move(bytes)});
}

std::vector<SendDatagram> Membership::TakeOutbox() {
  correction_.reset();
  return std::exchange(outbox_, {});
}

int Membership::MaxSends() const {
  return kSendsPerDoubling *
         static_cast<int>(std::bit_width(table_.LiveCount()));
}

std::uint64_t Membership::NextRandom() {
  random_state_ += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = random_state_;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

}  // namespace carobshift
