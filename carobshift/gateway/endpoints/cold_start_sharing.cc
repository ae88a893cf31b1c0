#include "carobshift/gateway/endpoints/cold_start_sharing.h"

#include <algorithm>
#include <cereal/types/string.hpp>
#include <utility>

#include "carobshift/gateway/instances/datagram_archive.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

void Write(DatagramOutput& archive, const ColdStartUpdate& update) {
  archive(update.endpoint.value(), update.start_time.value(),
          static_cast<std::int64_t>(update.remaining.count()));
}

ColdStartUpdate Read(DatagramInput& archive) {
  std::string endpoint;
  std::int64_t start_time = 0;
  std::int64_t remaining = 0;
  archive(endpoint, start_time, remaining);
  return {EndpointId(endpoint), EndpointStartTime(start_time),
          Milliseconds(remaining)};
}

}  // namespace

std::string EncodeColdStartUpdates(
    const std::vector<ColdStartUpdate>& updates) {
  return WriteDatagram([&](DatagramOutput& archive) {
    archive(static_cast<std::uint16_t>(updates.size()));
    for (const ColdStartUpdate& one : updates)
      Write(archive, one);
  });
}

Result<std::vector<ColdStartUpdate>> DecodeColdStartUpdates(
    std::string_view payload) {
  auto decoded = ReadDatagram<std::vector<ColdStartUpdate>>(
      payload,
      [](DatagramInput& archive, std::vector<ColdStartUpdate>& updates) {
        std::uint16_t count = 0;
        archive(count);
        for (std::uint16_t i = 0; i < count; ++i)
          updates.push_back(Read(archive));
      });
  if (!decoded.ok())
    return decoded;
  const std::vector<ColdStartUpdate>& updates = decoded.value();
  const bool valid = std::all_of(
      updates.begin(), updates.end(),
      [](const auto& one) { return one.remaining >= Milliseconds(0); });
  if (!valid)
    return Error{ResultCode::kPeerRejected, "cold time is negative"};
  return decoded;
}

ColdStartSharing::ColdStartSharing(EventLoop& loop,
                                   const Cluster& cluster,
                                   PeerDatagrams& datagrams,
                                   const EndpointRegistry& registry,
                                   ColdStartLimits& limits)
    : loop_(loop),
      cluster_(cluster),
      datagrams_(datagrams),
      registry_(registry),
      limits_(limits) {
  datagrams_.SetHandler(
      PeerDatagramKind::kColdStartUpdate,
      [this](std::string_view payload) { OnDatagram(payload); });
}

void ColdStartSharing::OnStatement(const EndpointRecord& endpoint,
                                   Milliseconds remaining) {
  if (!limits_.OnStatement(endpoint, remaining, loop_.now()))
    return;
  unsent_.push_back({endpoint.id, endpoint.start_time, remaining});
  LogEvent(
      LogLevel::kInfo, "endpoint_cold",
      {{"endpoint", endpoint.id.value()}, {"remaining_ms", remaining.count()}});
}

void ColdStartSharing::OnTick() {
  limits_.OnMembers(cluster_.Live(), cluster_.membership().self().id,
                    loop_.now());
  limits_.Expire(loop_.now());
  const std::vector<ColdStartUpdate> updates = std::exchange(unsent_, {});
  std::vector<std::string> payloads;
  for (std::size_t i = 0; i < updates.size(); i += kMaxUpdatesPerDatagram) {
    const auto first = updates.begin() + static_cast<std::ptrdiff_t>(i);
    const auto count = std::min(kMaxUpdatesPerDatagram, updates.size() - i);
    payloads.push_back(EncodeColdStartUpdates(
        {first, first + static_cast<std::ptrdiff_t>(count)}));
  }
  datagrams_.SendToOthers(PeerDatagramKind::kColdStartUpdate, payloads);
}

void ColdStartSharing::OnDatagram(std::string_view payload) {
  // A payload that can't be decoded is dropped: the endpoint's record states
  // the same soon after.
  const auto updates = DecodeColdStartUpdates(payload);
  if (!updates.ok())
    return;
  for (const ColdStartUpdate& one : updates.value()) {
    const EndpointRecord* const endpoint = registry_.Find(one.endpoint);
    if (endpoint == nullptr || endpoint->start_time != one.start_time ||
        !limits_.OnStatement(*endpoint, one.remaining, loop_.now()))
      continue;
    LogEvent(LogLevel::kInfo, "endpoint_cold_told",
             {{"endpoint", one.endpoint.value()},
              {"remaining_ms", one.remaining.count()}});
  }
}

}  // namespace carobshift
