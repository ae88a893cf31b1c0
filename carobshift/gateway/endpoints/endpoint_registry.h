// EndpointRegistry holds the current endpoints, built from the records they
// write to the log.
//
//   EndpointRegistry registry;
//   registry.Put(record, now);
//   registry.Remove(id, RemovalCause::kAnnounced, now);
//   for (const auto& [id, record] : registry.all()) ...
//
// Failures and how they are handled:
// - The log is down and entries expire although their endpoints are alive.
//   Removing them at once would leave a service without endpoints just as the
//   log returns, and callers would be refused for a second or two. An entry
//   that expired during an outage stays usable until kOutageGracePeriod is
//   over.
// - A record cannot be read or names another service. Its id names no usable
//   endpoint; all other records remain valid.
// - An endpoint restarts under its old id. Its record has another start time,
//   which is an ordinary change of the registry.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_ENDPOINTS_ENDPOINT_REGISTRY_H_
#define CAROBSHIFT_GATEWAY_ENDPOINTS_ENDPOINT_REGISTRY_H_

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "carobshift/gateway/endpoints/endpoint_record.h"
#include "carobshift/gateway/streams/software_history.h"

namespace carobshift {

enum class RemovalCause {
  // The endpoint withdrew its entry, or its heartbeats stopped while the log
  // was available.
  kAnnounced,
  // The entry expired while the log was unavailable.
  kExpiredDuringOutage,
};

class EndpointRegistry {
 public:
  // Live endpoints that reach the log have rewritten their entries by then; the
  // platform states two seconds.
  static constexpr Milliseconds kOutageGracePeriod{2000};

  // Inserts or updates a record. Returns whether anything that affects routing
  // changed.
  bool Put(const EndpointRecord& record, MonotonicTime now);
  // Removes an entry, after the grace period if it expired during an outage. In
  // that case `now` is when the log became available again, and the grace
  // period counts from there. Otherwise an endpoint that stops just before the
  // grace period ends would be used for the same time again.
  bool Remove(const EndpointId& id, RemovalCause cause, MonotonicTime now);

  // Replaces the registry by a complete list; entries that it lacks are
  // removed.
  void Replace(const std::vector<EndpointRecord>& records,
               RemovalCause cause,
               MonotonicTime now);

  // Removes the entries whose grace period has ended.
  void Expire(MonotonicTime now);

  // Null if unknown.
  [[nodiscard]] const EndpointRecord* Find(const EndpointId& id) const;
  [[nodiscard]] const std::map<EndpointId, EndpointRecord>& all() const {
    return records_;
  }
  // Call when all records since then are known, or when some may have been
  // missed before then.
  void OnRecordsFollowedSince(MonotonicTime since) {
    software_history_.FollowFrom(since);
  }
  // An endpoint that is gone was listed until now with this record, unseen.
  void OnUnseenListing(const EndpointRecord& record, MonotonicTime now) {
    software_history_.OnListed(record, now);
    software_history_.OnUnlisted(record, now);
  }
  [[nodiscard]] const SoftwareHistory& software_history() const {
    return software_history_;
  }
  bool OnSoftwareLearned(const SoftwareHistory::LearnedVersion& learned,
                         MonotonicTime now) {
    return software_history_.OnLearned(learned, now);
  }
  // Increases with each change of what all() returns.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

 private:
  void Erase(const EndpointId& id, MonotonicTime now);

  std::map<EndpointId, EndpointRecord> records_;
  SoftwareHistory software_history_;
  std::map<EndpointId, MonotonicTime> grace_ends_;
  std::uint64_t revision_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINTS_ENDPOINT_REGISTRY_H_
