#include "carobshift/gateway/cache_update.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <exception>
#include <sstream>

namespace carobshift {
namespace {

constexpr WallTime::rep kNoClock = -1;

void Write(cereal::PortableBinaryOutputArchive& archive,
           const HolderUpdate& news) {
  const StoreEvents& events = news.events;
  archive(news.holder.value(), news.since, events.epoch, events.next,
          events.gap, news.repeated, news.more,
          static_cast<std::uint32_t>(news.age.count()),
          static_cast<std::uint16_t>(events.events.size()));
  for (const StoreEvent& event : events.events)
    archive(event.stored, event.scope, event.part, event.tokens);
}

HolderUpdate Read(cereal::PortableBinaryInputArchive& archive) {
  HolderUpdate news;
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

std::string EncodeCacheUpdate(const CacheUpdate& news) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(news.clock ? news.clock->time_since_epoch().count() : kNoClock,
            static_cast<std::uint16_t>(news.holders.size()));
    for (const HolderUpdate& holder : news.holders)
      Write(archive, holder);
  }
  return out.str();
}

Result<CacheUpdate> DecodeCacheUpdate(std::string_view payload) {
  CacheUpdate news;
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
