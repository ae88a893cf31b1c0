// Gets the platform's records from another instance while the log doesn't
// answer this one.
//
//   PeerSync sync(loop, client, settings, cluster, operators, endpoints);
//   sync.Start();
//   sync.OnTick();
//
// What goes wrong without it: the log is down and an instance starts; it knows
// no configuration and turns every caller away until the log is back. Or the
// log turns some instances away while the operator goes on: they serve by a key
// that was taken back, and one would notice only by who got an answer.

#ifndef CAROBSHIFT_GATEWAY_PEER_SYNC_H_
#define CAROBSHIFT_GATEWAY_PEER_SYNC_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "carobshift/base/result.h"
#include "carobshift/gateway/cluster.h"
#include "carobshift/gateway/gateway_settings.h"
#include "carobshift/gateway/keyed_follower.h"
#include "carobshift/gateway/query_service.h"
#include "carobshift/gateway/stream_positions.h"
#include "carobshift/net/http_fetch.h"

namespace carobshift {

class PeerSync {
 public:
  // Longer than a waiting read and its slack; shorter than the time in which a
  // change must be in force, less the two calls that it then takes.
  static constexpr Milliseconds kSilence{1200};
  // The same for an instance that has just started and turns callers away until
  // it knows a configuration.
  static constexpr Milliseconds kSilenceAtStart{300};
  // Before the next peer is asked.
  static constexpr Milliseconds kAskAgain{400};

  PeerSync(EventLoop& loop,
           HttpClient& client,
           const GatewaySettings& settings,
           const Cluster& cluster,
           KeyedFollower& operators,
           KeyedFollower& endpoints);

  // Answers questions at the same port that aren't for whole states.
  using OtherAnswer =
      std::function<std::optional<QueryAnswer>(const HttpHead&)>;
  void SetOtherAnswer(OtherAnswer other) { other_ = std::move(other); }
  // Answers the others' questions.
  [[nodiscard]] Status Start();
  void OnTick();
  // The log doesn't answer this instance, for one of the two streams at least.
  [[nodiscard]] bool LogSilent() const;
  // Records and changes told to other instances so far.
  [[nodiscard]] std::uint64_t bytes_told() const {
    return queries_.bytes_told();
  }

 private:
  [[nodiscard]] bool IsSilent(const KeyedFollower& follower) const;
  [[nodiscard]] QueryAnswer Answer(const HttpHead& question) const;
  void Ask(const MemberInfo& peer);
  void OnAnswer(const MemberInfo& peer, const FetchOutcome& outcome);
  // How far this instance knows the streams, by the log or by peers.
  [[nodiscard]] StreamPositions Known() const;
  // The path of the question, which only who knows the secret can write.
  [[nodiscard]] std::string Path() const;

  EventLoop& loop_;
  HttpClient& client_;
  const Cluster& cluster_;
  KeyedFollower& operators_;
  KeyedFollower& endpoints_;
  NetAddress address_;
  EntryId self_;
  std::string secret_;
  OtherAnswer other_;
  QueryService queries_;
  HttpFetch fetch_;
  MonotonicTime started_{};
  MonotonicTime next_{};
  // Peers have told all before.
  StreamPositions told_;
  // Starts elsewhere on each instance, so that not all ask the same peer.
  std::size_t turn_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_PEER_SYNC_H_
