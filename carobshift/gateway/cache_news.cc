#include "carobshift/gateway/cache_news.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <exception>
#include <sstream>

namespace carobshift {
namespace {

constexpr WallTime::rep kNoClock = -1;

void Write(cereal::PortableBinaryOutputArchive& archive,
           const HolderNews& news) {
  const StoreEvents& events = news.events;
  archive(news.holder.value(), news.since, events.epoch, events.next,
          events.gap, news.repeated, news.more,
          static_cast<std::uint32_t>(news.age.count()),
          static_cast<std::uint16_t>(events.events.size()));
  for (const StoreEvent& event : events.events)
    archive(event.stored, event.scope, event.part, event.tokens);
}

HolderNews Read(cereal::PortableBinaryInputArchive& archive) {
  HolderNews news;
  StoreEvents& events = news.events;
  std::string holder;
  std::uint32_t age = 0;
  std::uint16_t count = 0;
  archive(holder, news.since, events.epoch, events.next, events.gap,
          news.repeated, news.more, age, count);
  news.age = Milliseconds(age);
  news.holder = CacheHolder(holder);
  events.events.resize(count);
  for (StoreEvent& event : events.events)
    archive(event.stored, event.scope, event.part, event.tokens);
  return news;
}

}  // namespace

std::string EncodeCacheNews(const CacheNews& news) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(news.clock ? news.clock->time_since_epoch().count() : kNoClock,
            static_cast<std::uint16_t>(news.holders.size()));
    for (const HolderNews& holder : news.holders)
      Write(archive, holder);
  }
  return out.str();
}

Result<CacheNews> DecodeCacheNews(std::string_view payload) {
  CacheNews news;
  try {
    std::istringstream in{std::string(payload)};
    cereal::PortableBinaryInputArchive archive(in);
    WallTime::rep clock = kNoClock;
    std::uint16_t count = 0;
    archive(clock, count);
    if (clock != kNoClock)
      news.clock = WallTime(WallTime::duration(clock));
    for (std::uint16_t i = 0; i < count; ++i)
      news.holders.push_back(Read(archive));
  } catch (const std::exception& e) {
    return Error{ResultCode::kPeerRejected, e.what()};
  }
  return news;
}

}  // namespace carobshift
