// Tracks the cost that all instances together have recently started for each
// client account.
//
//   AccountUsage usage;
//   usage.OnStarted(account, cost, now);
//   usage.OnPeerReport(report, now);
//   const double started = usage.Of(account, now);
//
// Load pattern: a few large accounts send most requests, and the requests of
// each account arrive at all instances. One of fifty instances starts 1/50 of
// an account's cost, which is too little to compare accounts by. Instances
// therefore send each other the usage that they started themselves.
//
// Usage decays with a half-life of kHalfLife, on the sender and on the receiver
// alike. Lost reports, a peer's crash and the receiver's own stall therefore
// need no handling of their own: what is known loses weight until a newer
// report replaces it or it expires. An instance that receives no reports
// compares accounts by its own usage.
//
// Thread-compatible. Holds one entry for each recently used account of this
// instance and at most kMaxReportedAccounts for each peer. Call Expire() about
// every Membership::kTick; the results of the other functions include expired
// reports until then.

#ifndef CAROBSHIFT_GATEWAY_ADMISSION_ACCOUNT_USAGE_H_
#define CAROBSHIFT_GATEWAY_ADMISSION_ACCOUNT_USAGE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

struct ReportedUsage {
  // Hash of the account's name.
  std::uint64_t account = 0;
  // Decayed to the time of the report.
  double cost = 0;
};

// The usage that one instance reports to the others.
struct AccountUsageReport {
  Incarnation sender;
  // Starts at 1 for each incarnation.
  std::uint64_t sequence = 0;
  Milliseconds period{0};
  // At most AccountUsage::kMaxReportedAccounts, by falling cost.
  std::vector<ReportedUsage> usages;
};

class AccountUsage {
 public:
  static constexpr Milliseconds kHalfLife{1000};
  static constexpr Milliseconds kReportPeriod{250};
  static constexpr double kMaxReportsPerSecond = 60;
  static constexpr int kReportLifetimePeriods = 4;
  // Keeps a datagram below the size at which networks fragment it.
  static constexpr std::size_t kMaxReportedAccounts = 64;
  // Lower usage, in tokens, is neither kept nor reported. It is about 1/100 of
  // a small request's cost.
  static constexpr double kMinUsage = 10;

  // Returns the time between two reports of an instance among `instances`.
  [[nodiscard]] static Milliseconds PeriodFor(std::size_t instances);
  // Returns when the sender's next report is due. The senders' incarnations
  // spread these times over the period: until the next reports all instances
  // choose the same account. With equal times, the two replays of fifty
  // instances in account_usage_test missed their bounds with 21 and 37 of 40
  // seeds; with spread times they missed none.
  [[nodiscard]] static MonotonicTime NextReportTime(const Incarnation& sender,
                                                    Milliseconds period,
                                                    MonotonicTime now);

  // Ignores costs that are not positive and finite.
  void OnStarted(const AccountId& account, double cost, MonotonicTime now);
  // Returns this instance's own usage. The caller sets the sender, the sequence
  // number and the period.
  [[nodiscard]] AccountUsageReport Report(MonotonicTime now) const;
  // Returns whether this instance has usage of its own to report and at least
  // two accounts have usage on any instance. Instances that all know of one
  // account only have nothing to compare; the first that starts requests of a
  // second one reports, and the others then do so as well.
  [[nodiscard]] bool ShouldReport(MonotonicTime now) const;
  // Ignores reports that are not newer than the sender's last one. The report
  // must be valid, see DecodeAccountUsageReport().
  void OnPeerReport(const AccountUsageReport& report, MonotonicTime now);
  // Returns the cost recently started by all instances, decayed with a
  // half-life of kHalfLife.
  [[nodiscard]] double Of(const AccountId& account, MonotonicTime now) const;
  void Expire(MonotonicTime now);

  // Returns the number of accounts with own usage.
  [[nodiscard]] std::size_t own_accounts() const { return own_.size(); }
  // Returns the number of accounts with usage in peers' reports.
  [[nodiscard]] std::size_t peer_accounts() const {
    return peer_totals_.size();
  }
  [[nodiscard]] std::size_t peers() const { return peers_.size(); }

 private:
  struct DecayingCost {
    double cost = 0;
    MonotonicTime at{};

    [[nodiscard]] double At(MonotonicTime now) const;
    void Add(double added, MonotonicTime now);
  };
  struct PeerTotal {
    DecayingCost sum;
    // Number of entries in reports that the sum consists of.
    std::size_t entries = 0;
  };
  struct Peer {
    AccountUsageReport report;
    MonotonicTime received{};
    MonotonicTime expires{};
  };

  // Add the usage of a peer's report to the sums, or subtract what is left of
  // it.
  void Add(const AccountUsageReport& report, MonotonicTime now);
  void Subtract(const Peer& peer, MonotonicTime now);

  // By the hash of the account's name.
  std::unordered_map<std::uint64_t, DecayingCost> own_;
  std::unordered_map<Incarnation, Peer> peers_;
  // Sum over the peers, updated with each report: the waiting room compares
  // accounts for each request that it starts. Rounding errors of a subtraction
  // decay like the usage itself.
  std::unordered_map<std::uint64_t, PeerTotal> peer_totals_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ADMISSION_ACCOUNT_USAGE_H_
