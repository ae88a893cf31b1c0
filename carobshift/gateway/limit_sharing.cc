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
           const LimitNews& news) {
  archive(news.endpoint, news.born.value(), news.rate.has_value(),
          news.rate.value_or(RequestRate(0)).value(),
          static_cast<std::uint32_t>(news.age.count()));
}

LimitNews Read(cereal::PortableBinaryInputArchive& archive) {
  LimitNews news;
  std::int64_t born = 0;
  bool limited = false;
  double rate = 0;
  std::uint32_t age = 0;
  archive(news.endpoint, born, limited, rate, age);
  news.born = EndpointBirth(born);
  if (limited)
    news.rate = RequestRate(rate);
  news.age = Milliseconds(age);
  return news;
}

}  // namespace

std::string EncodeLimitNews(const std::vector<LimitNews>& news) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(static_cast<std::uint16_t>(news.size()));
    for (const LimitNews& one : news)
      Write(archive, one);
  }
  return out.str();
}

Result<std::vector<LimitNews>> DecodeLimitNews(std::string_view payload) {
  std::vector<LimitNews> news;
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
      std::all_of(news.begin(), news.end(), [](const LimitNews& one) {
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
      PeerDatagramKind::kLimitNews,
      [this](std::string_view payload) { OnDatagram(payload); });
}

void LimitSharing::OnTick() {
  const MonotonicTime now = loop_.now();
  limits_.OnMembers(cluster_.Live(), cluster_.membership().self().id, now);
  limits_.Expire(now);
  const std::vector<LimitNews> news = limits_.TakeNews(now);
  std::vector<std::string> payloads;
  for (std::size_t i = 0; i < news.size(); i += kMaxUpdatesPerDatagram) {
    const auto first = news.begin() + static_cast<std::ptrdiff_t>(i);
    const auto count = std::min(kMaxUpdatesPerDatagram, news.size() - i);
    payloads.push_back(
        EncodeLimitNews({first, first + static_cast<std::ptrdiff_t>(count)}));
  }
  datagrams_.SendToOthers(PeerDatagramKind::kLimitNews, payloads);
}

void LimitSharing::OnDatagram(std::string_view payload) {
  // Payloads that can't be decoded are dropped: limits in effect are repeated.
  const Result<std::vector<LimitNews>> news = DecodeLimitNews(payload);
  if (!news.ok())
    return;
  for (const LimitNews& one : news.value()) {
    if (!limits_.OnNews(one, loop_.now()))
      continue;
    LogEvent(LogLevel::kInfo, "endpoint_limit_told",
             {{"endpoint_hash", one.endpoint},
              {"limited", one.rate.has_value()},
              {"per_second", one.rate.value_or(RequestRate(0)).value()},
              {"age_ms", one.age.count()}});
  }
}

}  // namespace carobshift
