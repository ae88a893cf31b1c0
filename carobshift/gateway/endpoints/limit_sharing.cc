#include "carobshift/gateway/endpoints/limit_sharing.h"

#include <algorithm>
#include <cmath>

#include "carobshift/gateway/instances/datagram_archive.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

void Write(DatagramOutput& archive, const LimitUpdate& update) {
  archive(update.endpoint, update.start_time.value(), update.rate.has_value(),
          update.rate.value_or(RequestRate(0)).value(),
          static_cast<std::uint32_t>(update.age.count()));
}

LimitUpdate Read(DatagramInput& archive) {
  LimitUpdate update;
  std::int64_t start_time = 0;
  bool limited = false;
  double rate = 0;
  std::uint32_t age = 0;
  archive(update.endpoint, start_time, limited, rate, age);
  update.start_time = EndpointStartTime(start_time);
  if (limited)
    update.rate = RequestRate(rate);
  update.age = Milliseconds(age);
  return update;
}

}  // namespace

std::string EncodeLimitUpdates(const std::vector<LimitUpdate>& updates) {
  return WriteDatagram([&](DatagramOutput& archive) {
    archive(static_cast<std::uint16_t>(updates.size()));
    for (const LimitUpdate& one : updates)
      Write(archive, one);
  });
}

Result<std::vector<LimitUpdate>> DecodeLimitUpdates(std::string_view payload) {
  auto decoded = ReadDatagram<std::vector<LimitUpdate>>(
      payload, [](DatagramInput& archive, std::vector<LimitUpdate>& updates) {
        std::uint16_t count = 0;
        archive(count);
        for (std::uint16_t i = 0; i < count; ++i)
          updates.push_back(Read(archive));
      });
  if (!decoded.ok())
    return decoded;
  const std::vector<LimitUpdate>& updates = decoded.value();
  const bool valid =
      std::all_of(updates.begin(), updates.end(), [](const LimitUpdate& one) {
        return !one.rate ||
               (std::isfinite(one.rate->value()) && one.rate->value() >= 0);
      });
  if (!valid)
    return Error{ResultCode::kPeerRejected,
                 "rate limit is negative or not finite"};
  return decoded;
}

LimitSharing::LimitSharing(EventLoop& loop,
                           const Cluster& cluster,
                           PeerDatagrams& datagrams,
                           RateLimits& limits)
    : loop_(loop), cluster_(cluster), datagrams_(datagrams), limits_(limits) {
  datagrams_.SetHandler(
      PeerDatagramKind::kLimitUpdate,
      [this](std::string_view payload) { OnDatagram(payload); });
}

void LimitSharing::OnTick() {
  const MonotonicTime now = loop_.now();
  limits_.OnMembers(cluster_.Live(), cluster_.membership().self().id, now);
  limits_.Expire(now);
  const std::vector<LimitUpdate> updates = limits_.TakeUpdates(now);
  std::vector<std::string> payloads;
  for (std::size_t i = 0; i < updates.size(); i += kMaxUpdatesPerDatagram) {
    const auto first = updates.begin() + static_cast<std::ptrdiff_t>(i);
    const auto count = std::min(kMaxUpdatesPerDatagram, updates.size() - i);
    payloads.push_back(EncodeLimitUpdates(
        {first, first + static_cast<std::ptrdiff_t>(count)}));
  }
  datagrams_.SendToOthers(PeerDatagramKind::kLimitUpdate, payloads);
}

void LimitSharing::OnDatagram(std::string_view payload) {
  // Payloads that can't be decoded are dropped: limits in effect are repeated.
  const Result<std::vector<LimitUpdate>> updates = DecodeLimitUpdates(payload);
  if (!updates.ok())
    return;
  for (const LimitUpdate& one : updates.value()) {
    if (!limits_.OnPeerUpdate(one, loop_.now()))
      continue;
    LogEvent(LogLevel::kInfo, "endpoint_limit_told",
             {{"endpoint_hash", one.endpoint},
              {"limited", one.rate.has_value()},
              {"per_second", one.rate.value_or(RequestRate(0)).value()},
              {"age_ms", one.age.count()}});
  }
}

}  // namespace carobshift
