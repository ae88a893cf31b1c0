#include "carobshift/membership/member_table.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

#include "carobshift/membership/gossip_codec.h"

namespace carobshift {
namespace {

// Base and growth of the suspicion timeout: 2.2 s at 7 entries and 4.6 s at
// 420. Gossip reaches all entries within about log2(n) periods of 500 ms.
constexpr Milliseconds kSuspicionBase{1000};
constexpr Milliseconds kSuspicionPerDoubling{400};

MemberVersion Next(MemberVersion version) {
  return MemberVersion(version.value() + 1);
}

}  // namespace

MemberTable::MemberTable(const MemberInfo& self, MemberMutation mutation)
    : mutation_(mutation), self_{.info = self} {}

void MemberTable::Merge(const MemberRecord& received, MonotonicTime now) {
  if (received.info.id == self_.info.id)
    return MergeSelf(received);
  const auto it = others_.find(received.info.id);
  if (it == others_.end()) {
    EvictIfFull();
    ++revision_;
    others_[received.info.id] = {.record = received, .changed = now};
    return;
  }
  Entry& known = it->second;
  const bool same_incarnation =
      received.info.incarnation == known.record.info.incarnation;
  const ConfigVersion config =
      same_incarnation
          ? std::max(known.record.config_version, received.config_version)
          : received.config_version;
  if (Supersedes(received, known.record)) {
    ++revision_;
    known = {.record = received, .changed = now};
    known.record.config_version = config;
  } else if (same_incarnation && config > known.record.config_version) {
    ++revision_;
    known.record.config_version = config;
    known.sends = 0;
  }
}

// Others suspect a live entry when its datagrams are lost or it was paused.
// Without a refutation they would remove it from the address answers
// permanently. It raises its version, and the higher version wins everywhere.
void MemberTable::MergeSelf(const MemberRecord& received) {
  const bool other_incarnation =
      received.info.incarnation != self_.info.incarnation;
  const bool needs_refutation = received.state != MemberState::kAlive ||
                                other_incarnation ||
                                received.info.version > self_.info.version;
  if (!needs_refutation || received.info.version < self_.info.version)
    return;
  if (mutation_ == MemberMutation::kNoRefutation)
    return;
  ++revision_;
  self_.info.version = Next(received.info.version);
}

void MemberTable::Suspect(const EntryId& id, MonotonicTime now) {
  const auto it = others_.find(id);
  if (it == others_.end() || it->second.record.state != MemberState::kAlive)
    return;
  ++revision_;
  it->second.record.state = MemberState::kSuspect;
  it->second.changed = now;
  it->second.sends = 0;
}

void MemberTable::Expire(MonotonicTime now) {
  const Milliseconds timeout = SuspicionTimeout();
  for (auto& [id, entry] : others_) {
    if (entry.record.state != MemberState::kSuspect ||
        now - entry.changed < timeout ||
        mutation_ == MemberMutation::kNoSuspicionTimeout)
      continue;
    ++revision_;
    entry.record.state = MemberState::kDead;
    entry.changed = now;
    entry.sends = 0;
  }
  revision_ += std::erase_if(others_, [now](const auto& item) {
    return item.second.record.state == MemberState::kDead &&
           now - item.second.changed >= kDeadRetention;
  });
}

void MemberTable::ExtendTimeouts(Milliseconds pause) {
  for (auto& [id, entry] : others_)
    entry.changed += pause;
}

void MemberTable::SetOwnConfig(ConfigVersion version) {
  if (version <= self_.config_version)
    return;
  ++revision_;
  self_.config_version = version;
}

void MemberTable::SetOwnLeaving() {
  if (self_.info.leaving)
    return;
  ++revision_;
  self_.info.leaving = true;
  self_.info.version = Next(self_.info.version);
}

const MemberRecord* MemberTable::Find(const EntryId& id) const {
  if (id == self_.info.id)
    return &self_;
  const auto it = others_.find(id);
  return it == others_.end() ? nullptr : &it->second.record;
}

const MemberRecord* MemberTable::FindRefutable(
    const NetAddress& gossip_address) const {
  for (const auto& [id, entry] : others_) {
    if (entry.record.state != MemberState::kAlive &&
        entry.record.info.gossip_port == gossip_address.port &&
        entry.record.info.host == gossip_address.host)
      return &entry.record;
  }
  return nullptr;
}

bool MemberTable::IsNewMember(const NetAddress& gossip_address,
                              MonotonicTime now) const {
  return std::any_of(
      others_.begin(), others_.end(), [&gossip_address, now](const auto& item) {
        const Entry& entry = item.second;
        return entry.record.state == MemberState::kAlive &&
               now - entry.changed < kNewMemberPeriod &&
               entry.record.info.gossip_address() == gossip_address;
      });
}

std::vector<MemberRecord> MemberTable::Others() const {
  std::vector<MemberRecord> records;
  records.reserve(others_.size());
  for (const auto& [id, entry] : others_)
    records.push_back(entry.record);
  return records;
}

std::vector<EntryId> MemberTable::IdsInState(MemberState state) const {
  std::vector<EntryId> ids;
  for (const auto& [id, entry] : others_) {
    if (entry.record.state == state)
      ids.push_back(id);
  }
  return ids;
}

std::size_t MemberTable::LiveCount() const {
  const auto dead =
      std::count_if(others_.begin(), others_.end(), [](const auto& item) {
        return item.second.record.state == MemberState::kDead;
      });
  return others_.size() - static_cast<std::size_t>(dead) + 1;
}

Milliseconds MemberTable::SuspicionTimeout() const {
  return kSuspicionBase + kSuspicionPerDoubling * std::bit_width(LiveCount());
}

std::vector<MemberRecord> MemberTable::TakeForDatagram(std::size_t budget,
                                                       int max_sends) {
  std::vector<Entry*> updates;
  for (auto& [id, entry] : others_) {
    if (entry.sends < max_sends)
      updates.push_back(&entry);
  }
  std::stable_sort(
      updates.begin(), updates.end(),
      [](const Entry* a, const Entry* b) { return a->sends < b->sends; });
  std::vector<MemberRecord> taken;
  const auto take = [&taken, &budget](Entry& entry) {
    const std::size_t size = EncodedSize(entry.record);
    if (size > budget)
      return false;
    budget -= size;
    ++entry.sends;
    taken.push_back(entry.record);
    return true;
  };
  for (Entry* entry : updates) {
    if (!take(*entry))
      return taken;
  }
  for (std::size_t i = updates.size(); i < others_.size(); ++i) {
    auto it = others_.upper_bound(cursor_);
    if (it == others_.end())
      it = others_.begin();
    cursor_ = it->first;
    const bool sent =
        std::find(updates.begin(), updates.end(), &it->second) != updates.end();
    if (!sent && !take(it->second))
      break;
  }
  return taken;
}

void MemberTable::EvictIfFull() {
  if (others_.size() < kMaxMembers)
    return;
  const auto first = std::max_element(
      others_.begin(), others_.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.record.state, b.second.changed) <
               std::pair(b.second.record.state, a.second.changed);
      });
  others_.erase(first);
}

}  // namespace carobshift
