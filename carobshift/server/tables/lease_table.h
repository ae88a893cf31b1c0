// The fleet lease, shared by the lease task and the fleet task.
//
//   if (auto number = lease.MayOrder(checks_fencing, MonotonicNow())) ...
//
// Thread-safe. No lock is held during a call to the log.

#ifndef CAROBSHIFT_SERVER_TABLES_LEASE_TABLE_H_
#define CAROBSHIFT_SERVER_TABLES_LEASE_TABLE_H_

#include <mutex>
#include <optional>

#include "carobshift/lease/lease.h"
#include "carobshift/telemetry/state_source.h"

namespace carobshift {

class LeaseTable : public StateSource {
 public:
  LeaseTable(const LeaseOptions& options,
             const EntryId& self,
             Incarnation incarnation,
             MonotonicTime now)
      : lease_(options, self, incarnation, now) {}

  // Used only by the lease task; see Lease.
  [[nodiscard]] LeaseAction Next(MonotonicTime now);
  void OnRead(const Result<LogBatch>& batch, MonotonicTime now);
  void OnAppended(const Result<LogOffset>& offset, MonotonicTime now);

  void Resign();
  [[nodiscard]] std::optional<FencingNumber> MayOrder(bool checks_fencing,
                                                      MonotonicTime now) const;
  [[nodiscard]] std::optional<LeaseHolding> holding() const;

  [[nodiscard]] nlohmann::json DumpState() const override;

 private:
  mutable std::mutex mutex_;
  Lease lease_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TABLES_LEASE_TABLE_H_
