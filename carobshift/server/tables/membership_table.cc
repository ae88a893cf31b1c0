#include "carobshift/server/tables/membership_table.h"

#include <algorithm>
#include <array>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

constexpr std::size_t kMaxDumped = 200;

std::string_view StateName(MemberState state) {
  static constexpr std::array<std::string_view, 3> kNames = {"alive", "suspect",
                                                             "dead"};
  return kNames[static_cast<std::size_t>(state)];
}

nlohmann::json DumpCounters(const MembershipCounters& counters) {
  return {
      {"sent", counters.sent},           {"sent_bytes", counters.sent_bytes},
      {"accepted", counters.accepted},   {"forged", counters.forged},
      {"malformed", counters.malformed}, {"misdirected", counters.misdirected},
      {"replayed", counters.replayed},   {"challenged", counters.challenged},
      {"pauses", counters.pauses}};
}

}  // namespace

void MembershipTable::Start(const MembershipOptions& options,
                            const MemberInfo& self,
                            const std::string& secret,
                            MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  membership_.emplace(options, self, secret, RandomUint64(), now);
}

std::vector<SendDatagram> MembershipTable::OnTick(
    const std::vector<NetAddress>& seeds,
    ConfigVersion config,
    MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  if (!membership_)
    return {};
  membership_->SetSeeds(seeds);
  membership_->SetConfigVersion(config);
  std::vector<SendDatagram> datagrams = membership_->OnTick(now);
  live_count_ =
      std::max(1, static_cast<int>(membership_->LiveMembers().size()));
  return datagrams;
}

std::vector<SendDatagram> MembershipTable::OnDatagram(std::string_view bytes,
                                                      MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  if (!membership_)
    return {};
  return membership_->OnDatagram(bytes, now);
}

void MembershipTable::PublishFacts(const std::vector<Fact>& facts,
                                   MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  if (!membership_)
    return;
  for (const Fact& fact : facts)
    membership_->PublishFact(fact, now);
}

void MembershipTable::Leave() {
  const std::lock_guard lock(mutex_);
  if (membership_)
    membership_->Leave();
}

std::vector<MemberInfo> MembershipTable::Live() const {
  const std::lock_guard lock(mutex_);
  return membership_ ? membership_->LiveMembers() : std::vector<MemberInfo>();
}

std::vector<MemberRecord> MembershipTable::Members() const {
  const std::lock_guard lock(mutex_);
  return membership_ ? membership_->Members() : std::vector<MemberRecord>();
}

std::vector<Fact> MembershipTable::Active(FactKind kind,
                                          MonotonicTime now) const {
  const std::lock_guard lock(mutex_);
  return membership_ ? membership_->facts().Active(kind, now)
                     : std::vector<Fact>();
}

std::set<std::string> MembershipTable::Subjects(FactKind kind,
                                                MonotonicTime now) const {
  std::set<std::string> subjects;
  for (Fact& fact : Active(kind, now))
    subjects.insert(std::move(fact.subject));
  return subjects;
}

nlohmann::json MembershipTable::DumpState() const {
  nlohmann::json rows = nlohmann::json::array();
  const std::lock_guard lock(mutex_);
  if (!membership_)
    return {{"members", std::move(rows)}};
  for (const MemberRecord& member : membership_->Members()) {
    if (rows.size() == kMaxDumped)
      break;
    rows.push_back({{"id", member.info.id.value()},
                    {"incarnation", member.info.incarnation.value()},
                    {"zone", member.info.zone.value()},
                    {"address", member.info.http_address().ToString()},
                    {"state", StateName(member.state)},
                    {"leaving", member.info.leaving},
                    {"config_version", member.config_version.value()}});
  }
  return {{"members", std::move(rows)},
          {"facts", membership_->facts().size()},
          {"counters", DumpCounters(membership_->counters())}};
}

}  // namespace carobshift
