#include "carobshift/gateway/limit_sharing.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cmath>
#include <exception>
#include <sstream>

#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

void Write(cereal::PortableBinaryOutputArchive& archive,
           const LimitUpdate& news) {
  archive(news.endpoint, news.start_time.value(), news.rate.has_value(),
          news.rate.value_or(RequestRate(0)).value(),
          static_cast<std::uint32_t>(news.age.count()));
}

LimitUpdate Read(cereal::PortableBinaryInputArchive& archive) {
  LimitUpdate news;
  std::int64_t born = 0;
  bool limited = false;
  double rate = 0;
  std::uint32_t age = 0;
  archive(news.endpoint, born, limited, rate, age);
  news.start_time = EndpointStartTime(born);
  if (limited)
    news.rate = RequestRate(rate);
  news.age = Milliseconds(age);
  return news;
}

}  // namespace

std::string EncodeLimitUpdates(const std::vector<LimitUpdate>& news) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(static_cast<std::uint16_t>(news.size()));
    for (const LimitUpdate& one : news)
      Write(archive, one);
  }
  return out.str();
}

Result<std::vector<LimitUpdate>> DecodeLimitUpdates(std::string_view payload) {
  std::vector<LimitUpdate> news;
  try {
    std::istringstream in{std::string(payload)};
    cereal::PortableBinaryInputArchive archive(in);
    std::uint16_t count = 0;
    archive(count);
    for (std::uint16_t i = 0; i < count; ++i)
      news.push_back(Read(archive));
  } catch (const std::exception& e) {
    return Error{ResultCode::kPeerRejected, e.what()};
  }
  const bool valid =
      std::all_of(news.begin(), news.end(), [](const LimitUpdate& one) {
        return !one.rate ||
               (std::isfinite(one.rate->value()) && one.rate->value() >= 0);
      });
  if (!valid)
    return Error{ResultCode::kPeerRejected,
                 "rate limit is negative or not finite"};
  return news;
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
  const std::vector<LimitUpdate> news = limits_.TakeUpdates(now);
  std::vector<std::string> payloads;
  for (std::size_t i = 0; i < news.size(); i += kMaxUpdatesPerDatagram) {
    const auto first = news.begin() + static_cast<std::ptrdiff_t>(i);
    const auto count = std::min(kMaxUpdatesPerDatagram, news.size() - i);
    payloads.push_back(EncodeLimitUpdates(
        {first, first + static_cast<std::ptrdiff_t>(count)}));
  }
  datagrams_.SendToOthers(PeerDatagramKind::kLimitUpdate, payloads);
}

void LimitSharing::OnDatagram(std::string_view payload) {
  // Payloads that can't be decoded are dropped: limits in effect are repeated.
  const Result<std::vector<LimitUpdate>> news = DecodeLimitUpdates(payload);
  if (!news.ok())
    return;
  for (const LimitUpdate& one : news.value()) {
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
