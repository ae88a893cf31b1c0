// EndpointIncarnations tells whether a record of an endpoint describes its
// present state, or one that it has left behind.
//
//   EndpointIncarnations incarnations;
//   if (incarnations.OnRecord(record, now) == RecordStanding::kCurrent)
//     registry.Put(record, now);
//   incarnations.OnRemoved(id);  // its entry is gone
//
// A heartbeat that the log has not answered may be written seconds later: after
// the record in which its endpoint said that it leaves, after the entry's
// removal, or after the first record of the endpoint's next incarnation. In the
// log's sequence it is then the newest record. If it were believed, an endpoint
// that leaves would be sent requests again until its next heartbeat, or, if its
// entry is gone, until that entry expires.
//
// A record is out of date if its incarnation has been followed by a later one,
// has said that it leaves, or has sent a later heartbeat. That an incarnation
// leaves is final; only one with a later start time ends it. An entry that
// expired while its endpoint lives comes back with a later heartbeat and is
// current.
//
// More than kMaxLateRecords in a row that contradict a start time or a number
// aren't late: an entry of another writer that states a huge one would
// otherwise keep a sound endpoint out for good.
//
// Remembers each endpoint until its last record is kKeepTime old and more than
// kMaxKnown endpoints are known. Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_ENDPOINTS_ENDPOINT_INCARNATIONS_H_
#define CAROBSHIFT_GATEWAY_ENDPOINTS_ENDPOINT_INCARNATIONS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/endpoints/endpoint_record.h"

namespace carobshift {

// How a record relates to what is known of its endpoint.
enum class RecordStanding {
  kCurrent,
  // A later incarnation has written a record.
  kOlderIncarnation,
  // The incarnation has said that it leaves, and this record doesn't say so.
  kBeforeLeaving,
  // The incarnation has sent a later heartbeat, or its entry was removed after
  // this one.
  kOlderHeartbeat,
};

// Returns the name of the standing for logs.
[[nodiscard]] std::string_view RecordStandingName(RecordStanding standing);

class EndpointIncarnations {
 public:
  static constexpr std::size_t kMaxKnown = 4096;
  static constexpr Milliseconds kKeepTime{600'000};
  // So many records in a row that are out of date by their start times or
  // numbers are late. If more follow, they are believed: otherwise one odd
  // record with a huge number would shut a live endpoint out for good.
  static constexpr int kMaxLateRecords = 20;

  // Judges a record that has arrived, and remembers it if it is current.
  RecordStanding OnRecord(const EndpointRecord& record, MonotonicTime now);
  // The endpoint's entry is gone: withdrawn, expired or missing from a
  // snapshot.
  void OnRemoved(const EndpointId& id);

  // Returns the endpoint's last current record, also if its entry is gone; null
  // if it has written none.
  [[nodiscard]] const EndpointRecord* LastRecord(const EndpointId& id) const;
  // Returns the number of the last heartbeat; nullopt if it stated none.
  [[nodiscard]] std::optional<HeartbeatNumber> LastHeartbeat(
      const EndpointId& id) const;

 private:
  // The newest incarnation of an endpoint.
  struct Incarnation {
    EndpointRecord record;
    MonotonicTime recorded{};
    bool removed = false;
    // Records since the last current one that were out of date by their start
    // times or numbers.
    int late_records = 0;
  };

  [[nodiscard]] static RecordStanding StandingOf(const EndpointRecord& record,
                                                 const Incarnation& newest);
  void ForgetOld(MonotonicTime now);

  std::map<EndpointId, Incarnation> newest_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINTS_ENDPOINT_INCARNATIONS_H_
