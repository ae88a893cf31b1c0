// Follows the cache events of each engine and store and keeps CacheContents up
// to date.
//
//   CacheWatcher watcher(loop, client, dialect, contents);
//   watcher.SetHolders(HoldersOf(config, registry));

#ifndef CAROBSHIFT_GATEWAY_CACHE_WATCHER_H_
#define CAROBSHIFT_GATEWAY_CACHE_WATCHER_H_

#include <map>
#include <memory>
#include <vector>

#include "carobshift/gateway/cache_contents.h"
#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/endpoint_registry.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/net/http_fetch.h"

namespace carobshift {

// An engine or a store whose events are read.
struct WatchedHolder {
  CacheHolder holder;
  NetAddress address;
  // It serves this many event readers at once; 0 if it doesn't say.
  int readers = 0;
  // Whether its contents are listed when events are missing. Listing stalls an
  // engine's work, so only stores' are.
  bool listed = false;
};

[[nodiscard]] std::vector<WatchedHolder> HoldersOf(
    const ServingConfig& config,
    const EndpointRegistry& registry);

class CacheWatcher {
 public:
  CacheWatcher(EventLoop& loop,
               HttpClient& client,
               const EngineDialect& dialect,
               CacheContents& contents)
      : loop_(loop), client_(client), dialect_(dialect), contents_(contents) {}
  ~CacheWatcher();

  // This instance reads from those whose number of readers is above its rank
  // among the instances that live.
  void SetHolders(const std::vector<WatchedHolder>& holders, std::size_t rank);
  void Stop();

 private:
  struct Reader {
    WatchedHolder watched;
    HttpFetch fetch;
    TimerId timer;
    bool reachable = true;
  };

  void Read(Reader& reader);
  void List(Reader& reader);
  void OnEvents(Reader& reader, const FetchOutcome& outcome);
  void OnLost(Reader& reader, std::string_view reason);
  void Again(Reader& reader, Milliseconds wait);

  EventLoop& loop_;
  HttpClient& client_;
  const EngineDialect& dialect_;
  CacheContents& contents_;
  std::map<CacheHolder, std::unique_ptr<Reader>> readers_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_CACHE_WATCHER_H_
