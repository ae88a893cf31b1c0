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
// A record is out of date if a later incarnation of its endpoint has written
// one, or if it was sent before its incarnation said that it leaves or lost its
// entry. Its heartbeat number tells; records without a number never undo that
// their endpoint leaves. An entry that expired while its endpoint lives comes
// back with a later heartbeat and is current.
//
// Otherwise an older heartbeat is believed: the log appends a record only when
// something else than the number changes, so the endpoint's next heartbeat
// corrects it, as it corrects an entry that another writer has put there.
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
  // The incarnation has said since that it leaves.
  kBeforeLeaving,
  // The entry has been removed since.
  kBeforeRemoval,
};

// Returns the name of the standing for logs.
[[nodiscard]] std::string_view RecordStandingName(RecordStanding standing);

class EndpointIncarnations {
 public:
  static constexpr std::size_t kMaxKnown = 4096;
  static constexpr Milliseconds kKeepTime{600'000};

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
  };

  [[nodiscard]] static RecordStanding StandingOf(const EndpointRecord& record,
                                                 const Incarnation& newest);
  void ForgetOld(MonotonicTime now);

  std::map<EndpointId, Incarnation> newest_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINTS_ENDPOINT_INCARNATIONS_H_
