#include "carobshift/gateway/records/peer_sync.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "carobshift/base/digest.h"
#include "carobshift/gateway/connection_options.h"
#include "carobshift/gateway/instances/peer_choice.h"
#include "carobshift/gateway/records/peer_state_codec.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr Milliseconds kCallTimeout{600};
constexpr Milliseconds kConnectTimeout{200};

}  // namespace

PeerSync::PeerSync(EventLoop& loop,
                   HttpClient& client,
                   const GatewaySettings& settings,
                   const Cluster& cluster,
                   KeyedFollower& operators,
                   KeyedFollower& endpoints,
                   ConnectionQuota* quota)
    : loop_(loop),
      client_(client),
      cluster_(cluster),
      operators_(operators),
      endpoints_(endpoints),
      address_{settings.host, settings.peer_port},
      self_(settings.entry),
      secret_(SharedSecret(settings)),
      query_service_(
          loop,
          [this](const HttpHead& query) { return Answer(query); },
          quota),
      start_time_(loop.now()),
      next_peer_(FastHash("peer asked first\n" + self_.value())) {}

Status PeerSync::Start() {
  return query_service_.Listen(address_);
}

std::string PeerSync::Path() const {
  return "/state/" + HexEncode(HmacSha256(secret_, "peer state"));
}

QueryAnswer PeerSync::Answer(const HttpHead& query) const {
  constexpr int kForbidden = 403;
  constexpr int kUnavailable = 503;
  const std::string path = Path();
  const std::string_view target = query.target;
  const auto since =
      ParsePathSuffix(target.substr(std::min(path.size(), target.size())));
  if (!since || !ConstantTimeEqual(target.substr(0, path.size()), path)) {
    const auto other = other_handler_ ? other_handler_(query) : std::nullopt;
    return other.value_or(QueryAnswer{kForbidden, {}, {}});
  }
  if (!operators_.has_records())
    return {kUnavailable, {}, {}};
  const PeerState state{operators_.ChangedSince(since->operators),
                        endpoints_.ChangedSince(since->endpoints),
                        KnownPositions()};
  return {200, "application/octet-stream", EncodePeerState(state, secret_)};
}

StreamPositions PeerSync::KnownPositions() const {
  return {std::max(peer_positions_.operators, operators_.next()),
          std::max(peer_positions_.endpoints, endpoints_.next())};
}

bool PeerSync::IsUnresponsive(const KeyedFollower& follower) const {
  if (follower.receiving())
    return false;
  if (!follower.last_answer())
    return loop_.now() - start_time_ > kUnresponsiveAfterAtStart;
  return loop_.now() - *follower.last_answer() > kUnresponsiveAfter;
}

bool PeerSync::IsLogUnresponsive() const {
  return IsUnresponsive(operators_) || IsUnresponsive(endpoints_);
}

void PeerSync::OnTick() {
  if (fetch_.active() || loop_.now() < next_query_time_ || !IsLogUnresponsive())
    return;
  next_query_time_ = loop_.now() + kQueryInterval;
  const std::vector<MemberInfo> peers =
      SelectSyncPeers(cluster_.membership().Members(), self_);
  if (!peers.empty())
    QueryPeer(peers[next_peer_++ % peers.size()]);
}

void PeerSync::QueryPeer(const MemberInfo& peer) {
  HttpHead head;
  head.method = "GET";
  head.target = Path() + ToPathSuffix(KnownPositions());
  FetchOptions options;
  options.call.connect_timeout = kConnectTimeout;
  options.timeout = kCallTimeout;
  options.max_body = kMaxPeerReplyBytes;
  fetch_.Start(
      client_, loop_, peer.peer_address(),
      SerializeRequest(head, peer.peer_address(), ""), options,
      [this, peer](const FetchOutcome& outcome) { OnAnswer(peer, outcome); });
}

void PeerSync::OnAnswer(const MemberInfo& peer, const FetchOutcome& outcome) {
  if (outcome.status != 200) {
    LogEvent(LogLevel::kInfo, "peer_without_state",
             {{"peer", peer.id.value()},
              {"status", outcome.status.value_or(0)},
              {"reason", outcome.reason},
              {"received", outcome.received}});
    return;
  }
  const Result<PeerState> state = DecodePeerState(outcome.body, secret_);
  if (!state.ok()) {
    LogEvent(LogLevel::kWarning, "peer_state_rejected",
             {{"peer", peer.id.value()}, {"reason", state.error().message}});
    return;
  }
  peer_positions_ = {
      std::max(peer_positions_.operators, state.value().next.operators),
      std::max(peer_positions_.endpoints, state.value().next.endpoints)};
  const std::size_t merged =
      operators_.MergePeerRecords(state.value().operator_records) +
      endpoints_.MergePeerRecords(state.value().endpoint_records);
  if (merged > 0) {
    LogEvent(LogLevel::kInfo, "learnt_from_peer",
             {{"peer", peer.id.value()}, {"records", merged}});
  }
}

}  // namespace carobshift
