// Tells the other instances which parts of prompts were running when an
// endpoint crashed, and which parts are refused or cleared, and applies what
// they tell.
//
//   SuspectSharing sharing(loop, cluster, datagrams, requests.part_suspects());
//   sharing.OnCrash(crash);   // seen by this instance
//   sharing.Publish();        // when there may be new verdicts
//   sharing.OnTick();
//
// Both are sent at once: within the time in which callers bring ten requests
// with a crashing part, all instances must refuse it. A crash is one message of
// each instance that had runs there, however many broke. The first owners of a
// refused part repeat the verdict every kRepeatInterval, for instances that
// start later and for datagrams that were lost.
//
// Nothing is sent while no endpoint crashes and no part is refused.

#ifndef CAROBSHIFT_GATEWAY_INSTANCES_SUSPECT_SHARING_H_
#define CAROBSHIFT_GATEWAY_INSTANCES_SUSPECT_SHARING_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/result.h"
#include "carobshift/gateway/instances/cluster.h"
#include "carobshift/gateway/instances/peer_datagrams.h"
#include "carobshift/gateway/request/part_suspects.h"

namespace carobshift {

// Encode the payload of one datagram. Times are sent as ages.
[[nodiscard]] std::string EncodePartCrash(const PartCrash& crash,
                                          MonotonicTime now);
[[nodiscard]] std::string EncodePartVerdicts(
    const std::vector<PartVerdict>& verdicts,
    MonotonicTime now);
// Return kPeerRejected if `payload` is incomplete or malformed.
[[nodiscard]] Result<PartCrash> DecodePartCrash(std::string_view payload,
                                                MonotonicTime now);
[[nodiscard]] Result<std::vector<PartVerdict>> DecodePartVerdicts(
    std::string_view payload,
    MonotonicTime now);

class SuspectSharing {
 public:
  static constexpr Milliseconds kRepeatInterval{1000};
  // Keeps a datagram below the size at which networks fragment it.
  static constexpr std::size_t kMaxRunsPerDatagram = 80;
  static constexpr std::size_t kMaxVerdictsPerDatagram = 30;

  SuspectSharing(EventLoop& loop,
                 const Cluster& cluster,
                 PeerDatagrams& datagrams,
                 PartSuspects& suspects);

  void OnCrash(const PartCrash& crash);
  // Sends the verdicts that are new.
  void Publish();
  // Call about every 100 ms.
  void OnTick();

 private:
  // Returns the place of this instance among the owners of the part.
  [[nodiscard]] std::size_t OwnerRank(PartDigest part) const;
  void Send(const std::vector<PartVerdict>& verdicts);
  void OnCrashDatagram(std::string_view payload);
  void OnVerdictDatagram(std::string_view payload);

  EventLoop& loop_;
  const Cluster& cluster_;
  PeerDatagrams& datagrams_;
  PartSuspects& suspects_;
  MonotonicTime next_repeat_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_INSTANCES_SUSPECT_SHARING_H_
