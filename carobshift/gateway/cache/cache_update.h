// Message by which one instance forwards the cache events that it has read to
// the other instances, so that a deployment of many instances needs only a few
// readers for each engine and store.
//
//   std::string payload = EncodeCacheUpdate(update);
//   Result<CacheUpdate> update = DecodeCacheUpdate(payload);

#ifndef CAROBSHIFT_GATEWAY_CACHE_CACHE_UPDATE_H_
#define CAROBSHIFT_GATEWAY_CACHE_CACHE_UPDATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/result.h"
#include "carobshift/gateway/cache/cache_contents.h"

namespace carobshift {

struct CacheUpdate {
  std::vector<HolderUpdate> holders;
  // The holders' wall clock at the time of sending.
  std::optional<WallTime> clock;
};

[[nodiscard]] std::string EncodeCacheUpdate(const CacheUpdate& update);
// Returns kPeerRejected unless `payload` is one complete message.
[[nodiscard]] Result<CacheUpdate> DecodeCacheUpdate(std::string_view payload);

// Approximate encoded size of one event, for the size limit of datagrams.
inline constexpr std::size_t kCacheEventBytes = 60;

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_CACHE_CACHE_UPDATE_H_
