#include "carobshift/gateway/cache/cache_update.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <exception>
#include <sstream>

namespace carobshift {
namespace {

constexpr WallTime::rep kNoClock = -1;

WallTime::rep ToWire(const std::optional<WallTime>& clock) {
  return clock ? clock->time_since_epoch().count() : kNoClock;
}

std::optional<WallTime> FromWire(WallTime::rep clock) {
  if (clock == kNoClock)
    return std::nullopt;
  return WallTime(WallTime::duration(clock));
}

void Write(cereal::PortableBinaryOutputArchive& archive,
           const HolderUpdate& update) {
  const StoreEvents& events = update.events;
  archive(update.holder.value(), update.since, events.epoch, events.next,
          events.gap, update.repeated, update.more, update.reader_lost,
          static_cast<std::uint32_t>(update.age.count()),
          ToWire(update.answered),
          static_cast<std::uint16_t>(events.events.size()));
  for (const StoreEvent& event : events.events)
    archive(event.stored, event.scope, event.part, event.tokens);
}

HolderUpdate Read(cereal::PortableBinaryInputArchive& archive) {
  HolderUpdate update;
  StoreEvents& events = update.events;
  std::string holder;
  std::uint32_t age = 0;
  WallTime::rep answered = kNoClock;
  std::uint16_t count = 0;
  archive(holder, update.since, events.epoch, events.next, events.gap,
          update.repeated, update.more, update.reader_lost, age, answered,
          count);
  update.age = Milliseconds(age);
  update.answered = FromWire(answered);
  update.holder = CacheHolder(holder);
  events.events.resize(count);
  for (StoreEvent& event : events.events)
    archive(event.stored, event.scope, event.part, event.tokens);
  return update;
}

}  // namespace

std::string EncodeCacheUpdate(const CacheUpdate& update) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(ToWire(update.clock),
            static_cast<std::uint16_t>(update.holders.size()));
    for (const HolderUpdate& holder : update.holders)
      Write(archive, holder);
  }
  return out.str();
}

Result<CacheUpdate> DecodeCacheUpdate(std::string_view payload) {
  CacheUpdate update;
  try {
    std::istringstream in{std::string(payload)};
    cereal::PortableBinaryInputArchive archive(in);
    WallTime::rep clock = kNoClock;
    std::uint16_t count = 0;
    archive(clock, count);
    update.clock = FromWire(clock);
    for (std::uint16_t i = 0; i < count; ++i)
      update.holders.push_back(Read(archive));
  } catch (const std::exception& e) {
    return Error{ResultCode::kPeerRejected, e.what()};
  }
  return update;
}

}  // namespace carobshift
