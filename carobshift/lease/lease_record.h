// A lease record on the log stream, and the deterministic rule by which all
// readers of the stream agree on the lease holder.
//
//   LeaseState state;
//   state.Apply(offset, record);
//   const std::optional<LeaseHolding>& holding = state.holding();
//
// Each record states up to which offset its writer had read. It counts only if
// no counting record lies between that offset and the record itself. Of two
// candidates that race, the first one on the log wins, and a renewal that a
// paused holder sends after a successor's claim has no effect.

#ifndef CAROBSHIFT_LEASE_LEASE_RECORD_H_
#define CAROBSHIFT_LEASE_LEASE_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "carobshift/base/ids.h"
#include "carobshift/base/result.h"
#include "carobshift/base/units.h"

namespace carobshift {

enum class LeaseRecordKind { kAcquire, kRenew, kRelease };

struct LeaseRecord {
  LeaseRecordKind kind = LeaseRecordKind::kAcquire;
  EntryId holder{};
  Incarnation incarnation{};
  // Numbers the writer's own records, so that it recognizes them when it reads
  // them back.
  std::uint64_t attempt = 0;
  // The writer had read all records below this offset.
  LogOffset read_up_to{};
  // For a renewal: the number under which the lease is held.
  FencingNumber number{};
  Milliseconds duration{0};
  // "HOST:PORT" that only the writer's process has bound; empty if not stated.
  std::string address{};
  // Opaque text for the writer's successors; the lease does not interpret it.
  std::string note{};
  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

// Encodes the record as JSON, since operators read the log with their own
// tools.
[[nodiscard]] std::string EncodeLeaseRecord(const LeaseRecord& record);
// Returns kMalformedRequest for anything but a complete record.
[[nodiscard]] Result<LeaseRecord> DecodeLeaseRecord(std::string_view payload);

struct LeaseHolding {
  EntryId holder{};
  Incarnation incarnation{};
  // The offset of the acquiring record; renewals keep it.
  FencingNumber number{};
  Milliseconds duration{0};
  // False after a release; the next holder need not wait.
  bool held = true;
  // From the last record that counted.
  std::string address{};
  std::string note{};
};

// The lease state after all records applied so far. Thread-compatible.
class LeaseState {
 public:
  // Applies one record and returns whether it counts. Records must be applied
  // in offset order.
  bool Apply(LogOffset offset, const LeaseRecord& record);
  // Marks the records below `first_retained` that were not applied as dropped.
  // A later record whose writer had not read up to there may have been
  // superseded by one of them, and does not count. Otherwise a candidate that
  // was paused would trust a claim that all others reject as too late.
  void SkipTo(LogOffset first_retained);
  // Discards the holder, since it may have been succeeded in the dropped
  // records.
  void ForgetHolder() { holding_.reset(); }

  // Returns nullopt before the first record that counts.
  [[nodiscard]] const std::optional<LeaseHolding>& holding() const {
    return holding_;
  }

 private:
  std::optional<LeaseHolding> holding_;
  LogOffset last_counted_;
  // All counting records from this offset on are known.
  LogOffset known_from_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_LEASE_LEASE_RECORD_H_
