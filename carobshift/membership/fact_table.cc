#include "carobshift/membership/fact_table.h"

#include <algorithm>

#include "carobshift/membership/gossip_codec.h"

namespace carobshift {

bool FactTable::Publish(const Fact& fact, MonotonicTime now) {
  if (fact.remaining <= Milliseconds(0) ||
      fact.subject.size() > kMaxFactSubject)
    return false;
  const MonotonicTime expires = now + std::min(fact.remaining, kMaxTimeToLive);
  const Key key(fact.kind, fact.subject);
  const auto it = facts_.find(key);
  if (it != facts_.end()) {
    const Entry& known = it->second;
    const bool newer = fact.version > known.version;
    const bool extends = fact.version == known.version &&
                         expires > known.expires + kMinExtension;
    if (!newer && !extends)
      return false;
  } else if (facts_.size() >= kMaxFacts) {
    EvictFirstToExpire();
  }
  facts_[key] = {.version = fact.version,
                 .active = fact.active,
                 .expires = expires,
                 .sends = 0};
  return true;
}

bool FactTable::HasActive(FactKind kind,
                          const std::string& subject,
                          MonotonicTime now) const {
  const auto it = facts_.find(Key(kind, subject));
  return it != facts_.end() && it->second.active && it->second.expires > now;
}

std::vector<Fact> FactTable::Active(FactKind kind, MonotonicTime now) const {
  std::vector<Fact> active;
  for (const auto& [key, entry] : facts_) {
    if (key.first == kind && entry.active && entry.expires > now)
      active.push_back(ToFact(key, entry, now));
  }
  return active;
}

std::vector<Fact> FactTable::TakeForDatagram(std::size_t budget,
                                             int max_sends,
                                             MonotonicTime now) {
  std::vector<std::pair<const Key, Entry>*> pending;
  for (auto& item : facts_) {
    if (item.second.sends < max_sends && item.second.expires > now)
      pending.push_back(&item);
  }
  std::stable_sort(pending.begin(), pending.end(),
                   [](const auto* a, const auto* b) {
                     return a->second.sends < b->second.sends;
                   });
  std::vector<Fact> taken;
  for (auto* item : pending) {
    Fact fact = ToFact(item->first, item->second, now);
    const std::size_t size = EncodedSize(fact);
    if (size > budget)
      break;
    budget -= size;
    ++item->second.sends;
    taken.push_back(std::move(fact));
  }
  return taken;
}

std::vector<Fact> FactTable::TakeForNewMember(std::size_t budget,
                                              int max_sends,
                                              MonotonicTime now) {
  std::vector<Fact> taken = TakeForDatagram(budget, max_sends, now);
  for (const Fact& fact : taken)
    budget -= EncodedSize(fact);
  for (std::size_t i = 0; i < facts_.size(); ++i) {
    auto it = facts_.upper_bound(cursor_);
    if (it == facts_.end())
      it = facts_.begin();
    const auto& [key, entry] = *it;
    const bool already_taken =
        std::any_of(taken.begin(), taken.end(), [&key = key](const Fact& fact) {
          return Key(fact.kind, fact.subject) == key;
        });
    Fact fact = ToFact(key, entry, now);
    if (!already_taken && fact.remaining > kMinExtension) {
      const std::size_t size = EncodedSize(fact);
      if (size > budget)
        break;
      budget -= size;
      taken.push_back(std::move(fact));
    }
    cursor_ = key;
  }
  return taken;
}

void FactTable::Expire(MonotonicTime now) {
  std::erase_if(facts_,
                [now](const auto& item) { return item.second.expires <= now; });
}

Fact FactTable::ToFact(const Key& key, const Entry& entry, MonotonicTime now) {
  return {.kind = key.first,
          .subject = key.second,
          .version = entry.version,
          .active = entry.active,
          .remaining =
              std::chrono::duration_cast<Milliseconds>(entry.expires - now)};
}

void FactTable::EvictFirstToExpire() {
  const auto first = std::min_element(
      facts_.begin(), facts_.end(), [](const auto& a, const auto& b) {
        return a.second.expires < b.second.expires;
      });
  facts_.erase(first);
}

}  // namespace carobshift
