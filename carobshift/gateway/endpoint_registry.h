// Which endpoints there are, folded from the records that they write.
//
//   EndpointRegistry registry;
//   registry.Put(record, now);
//   registry.Remove(id, RemovalCause::kAnnounced, now);
//   for (const EndpointRecord* endpoint : registry.Usable(service)) ...
//
// What can go wrong, and what is done:
// - The log was away and entries ran out meanwhile, although their endpoints
//   live. Taking them for gone at once would leave a service without endpoints
//   just as the log returns; one would notice refusals for a second or two. So
//   an entry that runs out then stays usable until kReturnGrace is over.
// - A record can't be read, or names another service. Its id names no usable
//   endpoint; all others hold.
// - An endpoint starts again under its old id. Its record has another birth,
//   which is a change of the registry like any other.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_ENDPOINT_REGISTRY_H_
#define CAROBSHIFT_GATEWAY_ENDPOINT_REGISTRY_H_

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "carobshift/gateway/endpoint_record.h"

namespace carobshift {

enum class RemovalCause {
  // The endpoint took its entry back, or fell silent while the log was there.
  kAnnounced,
  // The entry ran out while the log was away.
  kRanOutDuringOutage,
};

class EndpointRegistry {
 public:
  // Endpoints that live and reach the log have written their entries again by
  // then; the platform states two seconds.
  static constexpr Milliseconds kReturnGrace{2000};

  // True if something that matters for routing changed.
  bool Put(const EndpointRecord& record, MonotonicTime now);
  // `now` is when the log came back if the entry ran out while it was away: the
  // grace counts from there. An endpoint that stops just before the grace is
  // over would otherwise be used for as long again.
  bool Remove(const EndpointId& id, RemovalCause cause, MonotonicTime now);

  // A complete list: entries that it lacks are removed.
  void Replace(const std::vector<EndpointRecord>& records,
               RemovalCause cause,
               MonotonicTime now);

  // Ends the grace of entries that have not come back.
  void Expire(MonotonicTime now);

  // Null if unknown.
  [[nodiscard]] const EndpointRecord* Find(const EndpointId& id) const;
  [[nodiscard]] const std::map<EndpointId, EndpointRecord>& all() const {
    return records_;
  }
  // Rises with each change of what all() returns.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

 private:
  std::map<EndpointId, EndpointRecord> records_;
  std::map<EndpointId, MonotonicTime> grace_ends_;
  std::uint64_t revision_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINT_REGISTRY_H_
