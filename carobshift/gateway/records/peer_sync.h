// PeerSync fetches the platform's records from another instance while the log
// does not answer this one.
//
//   PeerSync sync(loop, client, settings, cluster, operators, endpoints);
//   sync.Start();
//   sync.OnTick();
//
// Without it, an instance that starts while the log is down has no
// configuration and rejects every caller until the log is back. If the log
// refuses some instances while the operator makes changes, those instances
// would keep accepting a revoked key, and the only symptom would be that its
// holder still gets answers.

#ifndef CAROBSHIFT_GATEWAY_RECORDS_PEER_SYNC_H_
#define CAROBSHIFT_GATEWAY_RECORDS_PEER_SYNC_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "carobshift/base/result.h"
#include "carobshift/gateway/gateway_settings.h"
#include "carobshift/gateway/instances/cluster.h"
#include "carobshift/gateway/query_service.h"
#include "carobshift/gateway/records/keyed_follower.h"
#include "carobshift/gateway/records/stream_positions.h"
#include "carobshift/net/http_fetch.h"

namespace carobshift {

class PeerSync {
 public:
  // The log counts as unresponsive after this long without an answer. Longer
  // than a long-poll read and its timeout margin; shorter than the time in
  // which a change must be in force, less the two calls that it then takes.
  static constexpr Milliseconds kUnresponsiveAfter{1200};
  // The same for an instance that has just started and rejects callers until it
  // has a configuration.
  static constexpr Milliseconds kUnresponsiveAfterAtStart{300};
  // Interval between two queries to peers.
  static constexpr Milliseconds kQueryInterval{400};

  // `quota` bounds the connections of those that query; null for no bound.
  PeerSync(EventLoop& loop,
           HttpClient& client,
           const GatewaySettings& settings,
           const Cluster& cluster,
           KeyedFollower& operators,
           KeyedFollower& endpoints,
           ConnectionQuota* quota = nullptr);

  // Handles queries on the same port that are not for complete states.
  using FallbackHandler =
      std::function<std::optional<QueryAnswer>(const HttpHead&)>;
  void SetFallbackHandler(FallbackHandler other) {
    other_handler_ = std::move(other);
  }
  // Starts answering queries of other instances.
  [[nodiscard]] Status Start();
  void OnTick();
  // Returns whether the log is unresponsive to this instance for at least one
  // of the two streams.
  [[nodiscard]] bool IsLogUnresponsive() const;
  // Bytes of records and changes sent to other instances so far.
  [[nodiscard]] std::uint64_t bytes_sent() const {
    return query_service_.bytes_sent();
  }

 private:
  [[nodiscard]] bool IsUnresponsive(const KeyedFollower& follower) const;
  [[nodiscard]] QueryAnswer Answer(const HttpHead& query) const;
  void QueryPeer(const MemberInfo& peer);
  void OnAnswer(const MemberInfo& peer, const FetchOutcome& outcome);
  // Returns how far this instance knows the streams, from the log or from
  // peers.
  [[nodiscard]] StreamPositions KnownPositions() const;
  // Path of the query. It contains an HMAC, so only holders of the secret can
  // produce it.
  [[nodiscard]] std::string Path() const;

  EventLoop& loop_;
  HttpClient& client_;
  const Cluster& cluster_;
  KeyedFollower& operators_;
  KeyedFollower& endpoints_;
  NetAddress address_;
  EntryId self_;
  std::string secret_;
  FallbackHandler other_handler_;
  QueryService query_service_;
  HttpFetch fetch_;
  MonotonicTime start_time_{};
  MonotonicTime next_query_time_{};
  // Peers have supplied all records before these positions.
  StreamPositions peer_positions_;
  // Index of the next peer to query. It starts at a different peer on each
  // instance, so that they do not all query the same one.
  std::size_t next_peer_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_RECORDS_PEER_SYNC_H_
