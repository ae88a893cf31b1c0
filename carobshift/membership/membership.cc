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
constexpr Milliseconds kRelayLife{1000};
// A tick that comes this late means that this process did not run.
constexpr Milliseconds kPauseThreshold{400};
// Sends per item and doubling of the number of members: the usual factor with
// which a rumour reaches all but one in some thousands.
constexpr int kSendsPerDoubling = 3;
// Fixed fields and HMAC of a datagram, with ids and hosts of usual length.
constexpr std::size_t kEnvelopeBytes = 260;
constexpr std::size_t kFactBytes = kMaxDatagramBytes - Membership::kFillBytes;

// The datagrams of first contact and of indirect probes stay small: at 420
// entries most pings of the first minutes go to a peer not met before.
bool CarriesNews(GossipKind kind) {
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
      met_(now) {}

void Membership::SetSeeds(std::vector<NetAddress> seeds) {
  if (seeds.size() > MemberTable::kMaxMembers)
    seeds.resize(MemberTable::kMaxMembers);
  seeds_ = std::move(seeds);
}

std::vector<SendDatagram> Membership::OnTick(MonotonicTime now) {
  NoticePause(now);
  FollowProbe(now);
  if (now >= next_probe_) {
    StartProbe(now);
    next_probe_ = now + options_.period;
  }
  if (now >= next_rejoin_) {
    TryToRejoin(now);
    const bool alone = table_.LiveCount() == 1;
    next_rejoin_ = now + (alone ? options_.period : options_.rejoin_period);
  }
  SendUrgent(now);
  table_.Expire(now);
  facts_.Expire(now);
  std::erase_if(relays_, [now](const auto& item) {
    return now - item.second.sent >= kRelayLife;
  });
  last_tick_ = now;
  return TakeOutbox();
}

// After a pause (a stopped process, a starved machine) the clock has gone on
// while answers waited unread. Without this the first tick would find every
// time limit over and declare all others dead; callers would be sent to this
// entry alone.
void Membership::NoticePause(MonotonicTime now) {
  const auto gap = std::chrono::duration_cast<Milliseconds>(now - last_tick_);
  if (gap < kPauseThreshold ||
      options_.mutation == MemberMutation::kIgnoreOwnPause)
    return;
  ++counters_.pauses;
  probe_.reset();
  table_.ForgivePause(gap);
}

std::optional<EntryId> Membership::NextTarget() {
  for (int pass = 0; pass < 2; ++pass) {
    while (!round_.empty()) {
      const EntryId id = round_.back();
      round_.pop_back();
      const MemberRecord* record = table_.Find(id);
      if (record != nullptr && record->state != MemberState::kDead)
        return id;
    }
    for (const MemberState state : {MemberState::kAlive, MemberState::kSuspect})
      for (EntryId& id : table_.IdsInState(state))
        round_.push_back(std::move(id));
    for (std::size_t i = round_.size(); i > 1; --i)
      std::swap(round_[i - 1], round_[NextRandom() % i]);
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

// When a partition heals, both sides hold each other dead and ping nobody
// across it; one would notice address answers that name half of the entries.
// So one dead member or unknown seed is tried from time to time.
void Membership::TryToRejoin(MonotonicTime now) {
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

bool Membership::Hurries(MonotonicTime now) const {
  return members_met_ > 0 && now - met_ < kHurryFor;
}

// A leaving endpoint must get no new work from any entry within two seconds,
// which the regular pings alone would not reach at 420 entries.
void Membership::SendUrgent(MonotonicTime now) {
  const std::chrono::duration<double> elapsed = now - last_tick_;
  const bool hurries = Hurries(now);
  const double rate = hurries ? kHurryPerSecond : kUrgentPerSecond;
  urgent_tokens_ =
      std::min<double>(kUrgentFanout, urgent_tokens_ + elapsed.count() * rate);
  if (!urgent_ && !hurries)
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
  // An unverified sender's challenge is answered: the answer has no effect
  // here and tells only what every datagram tells.
  if (message.kind == GossipKind::kChallenge) {
    OnChallenge(message, now);
    return TakeOutbox();
  }
  if (!IsFresh(message, now))
    return TakeOutbox();
  ++counters_.accepted;
  // Whatever the probed member sends shows that it lives; the answer to a
  // first ping is a challenge, which carries another number.
  if (probe_ && probe_->target == message.sender.id)
    probe_.reset();
  Learn(message, now);
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

void Membership::Learn(const GossipMessage& message, MonotonicTime now) {
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
  if (table_.LiveCount() > members_met_)
    met_ = now;
  members_met_ = std::max(members_met_, table_.LiveCount());
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
  Send(GossipKind::kAck, relay->second.asker, relay->second.asker_number,
       message.target, now);
  relays_.erase(relay);
}

void Membership::OnPingRequest(const GossipMessage& message,
                               MonotonicTime now) {
  const MemberRecord* target = table_.Find(message.target);
  if (target == nullptr || relays_.size() >= kMaxRelays)
    return;
  const std::uint64_t number = ++probe_number_;
  relays_[number] = {.asker = message.sender.gossip_address(),
                     .asker_number = message.number,
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

std::vector<MemberInfo> Membership::Live() const {
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

const MemberRecord* Membership::RecordFor(const NetAddress& to) const {
  if (correction_ && correction_->info.gossip_address() == to)
    return &*correction_;
  return table_.FindAccused(to);
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
  const MemberRecord* accused =
      kind == GossipKind::kChallenge ? nullptr : RecordFor(to);
  if (CarriesNews(kind)) {
    // Told a number of times and then no more, a fact would never reach an
    // entry that starts later: it would give a request that crashes engines
    // three more of them.
    message.facts = table_.IsNewcomer(to, now)
                        ? facts_.TakeForNewcomer(kFactBytes, MaxSends(), now)
                        : facts_.TakeForDatagram(kFactBytes, MaxSends(), now);
    message.members =
        table_.TakeForDatagram(kFillBytes - kEnvelopeBytes, MaxSends());
  }
  if (accused != nullptr)
    message.members.insert(message.members.begin(), *accused);
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
