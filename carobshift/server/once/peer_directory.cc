#include "carobshift/server/once/peer_directory.h"

#include <Poco/Exception.h>

#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "carobshift/net/blocking_http_call.h"

namespace carobshift {
namespace {

// A live entry answers within a few round trips of 3 ms. A timeout of one
// second would keep a caller waiting too long for the error when the owner of
// its key is gone.
constexpr Milliseconds kTimeout{500};
constexpr std::size_t kMaxAnswerBytes = 4096;

std::optional<PeerAddress> Ask(const EntryId& entry,
                               const NetAddress& address) {
  try {
    HttpHead request;
    request.method = "GET";
    request.target = "/healthz";
    const BlockingHttpReply reply = FetchBlocking(
        address, std::move(request), "", kTimeout, kMaxAnswerBytes);
    const nlohmann::json json =
        nlohmann::json::parse(reply.body, nullptr, false);
    if (!json.is_object() || json.value("entry", "") != entry.value())
      return std::nullopt;
    const auto port = json.value("peer_port", std::uint16_t{0});
    if (port == 0)
      return std::nullopt;
    return PeerAddress{
        entry,
        {address.host, port},
        Incarnation(json.value("incarnation", std::uint64_t{0}))};
  } catch (const Poco::Exception&) {
    return std::nullopt;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::optional<PeerAddress> MembershipPeerDirectory::Find(
    const EntryId& entry,
    std::optional<Incarnation> wanted) {
  const auto matches = [&wanted](const std::optional<PeerAddress>& peer) {
    return peer && (!wanted || peer->incarnation == *wanted);
  };
  std::optional<PeerAddress> peer = FindMember(entry);
  if (matches(peer))
    return peer;
  peer = AskListed(entry);
  return matches(peer) ? peer : std::nullopt;
}

std::optional<PeerAddress> MembershipPeerDirectory::FindMember(
    const EntryId& entry) const {
  for (const MemberRecord& member : context_.membership.Members()) {
    if (member.info.id == entry && member.info.peer_port != 0)
      return PeerAddress{entry, member.info.peer_address(),
                         member.info.incarnation};
  }
  return std::nullopt;
}

std::optional<PeerAddress> MembershipPeerDirectory::AskListed(
    const EntryId& entry) const {
  for (const EndpointInfo& listed :
       context_.endpoints.All(InstanceKind::kEntry)) {
    if (listed.id.value() == entry.value())
      return Ask(entry, listed.address);
  }
  return std::nullopt;
}

std::vector<EntryId> MembershipPeerDirectory::Others() {
  std::set<EntryId> others;
  for (const EndpointInfo& listed :
       context_.endpoints.All(InstanceKind::kEntry))
    others.emplace(listed.id.value());
  for (const MemberInfo& member : context_.membership.Live())
    others.insert(member.id);
  others.erase(context_.settings.entry);
  return {others.begin(), others.end()};
}

}  // namespace carobshift
