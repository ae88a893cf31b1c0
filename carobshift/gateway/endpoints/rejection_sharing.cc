#include "carobshift/gateway/endpoints/rejection_sharing.h"

#include <algorithm>
#include <cmath>

#include "carobshift/gateway/instances/datagram_archive.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

void Write(DatagramOutput& archive, const RejectionLimitUpdate& update) {
  archive(update.service, update.limit.has_value(),
          update.limit.value_or(RequestRate(0)).value(),
          static_cast<std::uint32_t>(update.age.count()));
}

void Write(DatagramOutput& archive, const RejectionUpdate& update) {
  archive(update.endpoint, update.start_time.value(),
          static_cast<std::uint32_t>(update.age.count()));
}

void Read(DatagramInput& archive, RejectionLimitUpdate& update) {
  bool limited = false;
  double limit = 0;
  std::uint32_t age = 0;
  archive(update.service, limited, limit, age);
  if (limited)
    update.limit = RequestRate(limit);
  update.age = Milliseconds(age);
}

void Read(DatagramInput& archive, RejectionUpdate& update) {
  std::int64_t start_time = 0;
  std::uint32_t age = 0;
  archive(update.endpoint, start_time, age);
  update.start_time = EndpointStartTime(start_time);
  update.age = Milliseconds(age);
}

template <typename Update>
void WriteAll(DatagramOutput& archive, const std::vector<Update>& updates) {
  archive(static_cast<std::uint16_t>(updates.size()));
  for (const Update& one : updates)
    Write(archive, one);
}

template <typename Update>
void ReadAll(DatagramInput& archive, std::vector<Update>& updates) {
  std::uint16_t count = 0;
  archive(count);
  for (std::uint16_t i = 0; i < count; ++i) {
    Update one;
    Read(archive, one);
    updates.push_back(one);
  }
}

bool IsValid(const RejectionLimitUpdate& update) {
  return !update.limit ||
         (std::isfinite(update.limit->value()) && update.limit->value() >= 0);
}

}  // namespace

std::string EncodeRejectionUpdates(const RejectionUpdates& updates) {
  return WriteDatagram([&](DatagramOutput& archive) {
    WriteAll(archive, updates.limits);
    WriteAll(archive, updates.rejections);
  });
}

Result<RejectionUpdates> DecodeRejectionUpdates(std::string_view payload) {
  auto decoded = ReadDatagram<RejectionUpdates>(
      payload, [](DatagramInput& archive, RejectionUpdates& updates) {
        ReadAll(archive, updates.limits);
        ReadAll(archive, updates.rejections);
      });
  if (!decoded.ok())
    return decoded;
  const RejectionUpdates& updates = decoded.value();
  if (!std::all_of(updates.limits.begin(), updates.limits.end(), IsValid)) {
    return Error{ResultCode::kPeerRejected,
                 "rejection limit is negative or not finite"};
  }
  return decoded;
}

std::vector<RejectionUpdates> SplitRejectionUpdates(
    const RejectionUpdates& updates,
    std::size_t max_updates) {
  std::vector<RejectionUpdates> parts;
  std::size_t in_last = max_updates;
  const auto part = [&]() -> RejectionUpdates& {
    if (in_last == max_updates) {
      parts.emplace_back();
      in_last = 0;
    }
    ++in_last;
    return parts.back();
  };
  for (const RejectionLimitUpdate& one : updates.limits)
    part().limits.push_back(one);
  for (const RejectionUpdate& one : updates.rejections)
    part().rejections.push_back(one);
  return parts;
}

RejectionSharing::RejectionSharing(EventLoop& loop,
                                   const Cluster& cluster,
                                   PeerDatagrams& datagrams,
                                   RejectionLimits& limits)
    : loop_(loop), cluster_(cluster), datagrams_(datagrams), limits_(limits) {
  datagrams_.SetHandler(
      PeerDatagramKind::kRejectionUpdate,
      [this](std::string_view payload) { OnDatagram(payload); });
}

void RejectionSharing::OnTick() {
  const MonotonicTime now = loop_.now();
  limits_.OnMembers(cluster_.Live(), cluster_.membership().self().id, now);
  limits_.Expire(now);
  Publish();
}

void RejectionSharing::Publish() {
  std::vector<std::string> payloads;
  for (const RejectionUpdates& part : SplitRejectionUpdates(
           limits_.TakeUpdates(loop_.now()), kMaxUpdatesPerDatagram))
    payloads.push_back(EncodeRejectionUpdates(part));
  if (!payloads.empty())
    datagrams_.SendToOthers(PeerDatagramKind::kRejectionUpdate, payloads);
}

void RejectionSharing::OnDatagram(std::string_view payload) {
  const Result<RejectionUpdates> updates = DecodeRejectionUpdates(payload);
  // Limits in effect are repeated. A lost rejection leaves the endpoint to this
  // instance's own share.
  if (!updates.ok())
    return;
  for (const RejectionLimitUpdate& one : updates.value().limits)
    Apply(one);
  for (const RejectionUpdate& one : updates.value().rejections)
    Apply(one);
}

void RejectionSharing::Apply(const RejectionLimitUpdate& update) {
  if (!limits_.OnPeerLimit(update, loop_.now()))
    return;
  LogEvent(LogLevel::kInfo, "rejection_limit_told",
           {{"service_hash", update.service},
            {"limited", update.limit.has_value()},
            {"per_second", update.limit.value_or(RequestRate(0)).value()},
            {"age_ms", update.age.count()}});
}

void RejectionSharing::Apply(const RejectionUpdate& update) {
  if (!limits_.OnPeerRejection(update, loop_.now()))
    return;
  LogEvent(
      LogLevel::kInfo, "endpoint_rejection_told",
      {{"endpoint_hash", update.endpoint}, {"age_ms", update.age.count()}});
}

}  // namespace carobshift
