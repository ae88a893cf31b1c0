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
  // "HOST:PORT" that the writer's process alone has bound; empty if it doesn't
  // say.
  std::string address{};
  // What the writer wants its successors to know; the lease doesn't read it.
  std::string note{};
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
  // Of the last record that counted.
  std::string address{};
  std::string note{};
};

// The state after all records so far. Thread-compatible.
class LeaseFold {
 public:
  // Records must come in offset order. Returns whether the record counts.
  bool Apply(LogOffset offset, const LeaseRecord& record);
  // The records below `first_retained` that were not applied are gone. A later
  // record whose writer had not read up to there may have been overtaken by one
  // of them, and doesn't count: a candidate that was paused would believe in a
  // claim that all others know to have come too late.
  void SkipTo(LogOffset first_retained);
  // The holder may have been succeeded in what is gone.
  void ForgetHolder() { holding_.reset(); }

  // Nothing before the first record that counts.
  [[nodiscard]] const std::optional<LeaseHolding>& holding() const {
    return holding_;
  }

 private:
  std::optional<LeaseHolding> holding_;
  LogOffset last_counted_;
  // All records that count from here on are known.
  LogOffset known_from_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_LEASE_LEASE_RECORD_H_
