#include "carobshift/server/once/peer_directory.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <nlohmann/json.hpp>
#include <string>

namespace carobshift {
namespace {

// An entry that lives answers within a few round trips of 3 ms; a second would
// be too long for a caller who waits to hear that the home is gone.
constexpr int kTimeoutMicros = 500'000;
constexpr std::size_t kMaxAnswerBytes = 4096;

std::optional<PeerAddress> Ask(const EntryId& entry,
                               const NetAddress& address) {
  try {
    Poco::Net::HTTPClientSession session(address.host, address.port);
    session.setTimeout(Poco::Timespan(0, kTimeoutMicros));
    Poco::Net::HTTPRequest request("GET", "/healthz", "HTTP/1.1");
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    std::string body(kMaxAnswerBytes, '\0');
    in.read(body.data(), static_cast<std::streamsize>(body.size()));
    body.resize(static_cast<std::size_t>(in.gcount()));
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
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

std::optional<PeerAddress> ListedPeers::Find(const EntryId& entry) {
  for (const EndpointInfo& listed :
       context_.endpoints.All(InstanceKind::kEntry)) {
    if (listed.id.value() == entry.value())
      return Ask(entry, listed.address);
  }
  return std::nullopt;
}

std::vector<EntryId> ListedPeers::Others() {
  std::vector<EntryId> others;
  for (const EndpointInfo& listed :
       context_.endpoints.All(InstanceKind::kEntry)) {
    if (listed.id.value() != context_.settings.entry.value())
      others.emplace_back(listed.id.value());
  }
  return others;
}

}  // namespace carobshift
