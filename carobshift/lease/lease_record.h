// One record of a lease's log stream, and the deterministic rule by which all
// readers of the stream agree on the holder.
//
//   LeaseFold fold;
//   fold.Apply(offset, record);
//   const std::optional<LeaseHolding>& holding = fold.holding();
//
// A record says up to which offset its writer had read. It counts only if no
// counting record lies between there and itself: of two candidates who race,
// the first on the log wins, and a renewal that a paused holder sends after a
// successor's claim has no effect.

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
  // Numbers the writer's own records, to recognize them when read back.
  std::uint64_t attempt = 0;
  // The writer had read all records below this offset.
  LogOffset read_up_to{};
  // For a renewal the number under which the lease is held.
  FencingNumber number{};
  Milliseconds duration{0};
  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

// JSON, as operators read the log with their own tools.
[[nodiscard]] std::string EncodeLeaseRecord(const LeaseRecord& record);
// kMalformedRequest for anything else than a whole record.
[[nodiscard]] Result<LeaseRecord> DecodeLeaseRecord(std::string_view payload);

struct LeaseHolding {
  EntryId holder{};
  Incarnation incarnation{};
  // The offset of the acquiring record; renewals keep it.
  FencingNumber number{};
  Milliseconds duration{0};
  // False after a release: the next one need not wait.
  bool held = true;
};

// The state after all records so far. Thread-compatible.
class LeaseFold {
 public:
  // Records must come in offset order. Returns whether the record counts.
  bool Apply(LogOffset offset, const LeaseRecord& record);

  // Nothing before the first record that counts.
  [[nodiscard]] const std::optional<LeaseHolding>& holding() const {
    return holding_;
  }

 private:
  std::optional<LeaseHolding> holding_;
  LogOffset last_counted_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_LEASE_LEASE_RECORD_H_
