// The cluster membership, shared by the threads of an entry. The gossip task
// updates it; the queries and the fleet task read it.
//
//   membership.Start(self, options, secret, now);
//   std::vector<MemberInfo> live = membership.Live();
//
// Thread-safe. Bounded by MemberTable::kMaxMembers and FactTable::kMaxFacts.

#ifndef CAROBSHIFT_SERVER_TABLES_MEMBERSHIP_TABLE_H_
#define CAROBSHIFT_SERVER_TABLES_MEMBERSHIP_TABLE_H_

#include <atomic>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/units.h"
#include "carobshift/membership/membership.h"
#include "carobshift/telemetry/state_source.h"

namespace carobshift {

class MembershipTable : public StateSource {
 public:
  // Starts the membership. Before this call there are no members and nothing is
  // sent.
  void Start(const MembershipOptions& options,
             const MemberInfo& self,
             const std::string& secret,
             MonotonicTime now);

  [[nodiscard]] std::vector<SendDatagram> OnTick(
      const std::vector<NetAddress>& seeds,
      ConfigVersion config,
      MonotonicTime now);
  [[nodiscard]] std::vector<SendDatagram> OnDatagram(std::string_view bytes,
                                                     MonotonicTime now);
  void PublishFacts(const std::vector<Fact>& facts, MonotonicTime now);
  void Leave();

  // The entries to return in address answers.
  [[nodiscard]] std::vector<MemberInfo> Live() const;
  // The number of live entries at the last tick, at least 1. Takes no lock,
  // because every request calls it.
  [[nodiscard]] int live_count() const { return live_count_; }
  // This entry first, then all others, including dead ones.
  [[nodiscard]] std::vector<MemberRecord> Members() const;
  [[nodiscard]] std::vector<Fact> Active(FactKind kind,
                                         MonotonicTime now) const;
  // The subjects of the active facts of a kind.
  [[nodiscard]] std::set<std::string> Subjects(FactKind kind,
                                               MonotonicTime now) const;

  [[nodiscard]] nlohmann::json DumpState() const override;

 private:
  mutable std::mutex mutex_;
  std::optional<Membership> membership_;
  std::atomic<int> live_count_{1};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TABLES_MEMBERSHIP_TABLE_H_
