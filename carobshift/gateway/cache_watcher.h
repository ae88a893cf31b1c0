// Follows the cache events of engines and stores and keeps CacheContents up to
// date: by reading them, or by what other instances tell (cache_relay.h).
//
//   CacheWatcher watcher(loop, client, dialect, datagrams, contents);
//   watcher.SetHolders(HoldersOf(config, registry), live, self);
//   watcher.OnTick();

#ifndef CAROBSHIFT_GATEWAY_CACHE_WATCHER_H_
#define CAROBSHIFT_GATEWAY_CACHE_WATCHER_H_

#include <map>
#include <memory>
#include <vector>

#include "carobshift/gateway/cache_contents.h"
#include "carobshift/gateway/cache_relay.h"
#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/endpoint_registry.h"
#include "carobshift/gateway/peer_datagrams.h"
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
  // Holders that begin to be read in a tick. An instance that has just started
  // knows of no other and would read all of a hundred at once: its connections
  // and those of ninety like it take seconds, in which callers wait. Within a
  // second it has heard of the others and has two or three left to read.
  static constexpr int kStartsPerTick = 8;

  // Among more instances only stores' contents are told. Engines change theirs
  // several thousand times a second, more than a small instance has time to
  // hear; a session's own engine is the same for all without it, and what isn't
  // there is fetched from a store.
  static constexpr std::size_t kMostToldOfEngines = 100;

  CacheWatcher(EventLoop& loop,
               HttpClient& client,
               const EngineDialect& dialect,
               PeerDatagrams& datagrams,
               CacheContents& contents);
  ~CacheWatcher();

  // `live`: the instances that live, `self` among them.
  void SetHolders(const std::vector<WatchedHolder>& holders,
                  const std::vector<EntryId>& live,
                  const EntryId& self);
  // A few times a second.
  void OnTick();
  void Stop();

 private:
  struct Reader {
    WatchedHolder watched;
    HttpFetch fetch;
    TimerId timer;
    bool reachable = true;
    // Its first read has been made, or it hears news.
    bool started = false;
    CacheReaderRole role = CacheReaderRole::kReader;
  };

  void SetRole(Reader& reader, CacheReaderRole role);
  // Begins to read holders that wait for it, stores first: they hold most.
  void StartReaders();
  void StartReaders(bool listed);
  void OnNews(std::string_view payload);
  void Read(Reader& reader);
  void List(Reader& reader);
  void OnEvents(Reader& reader,
                std::uint64_t since,
                const FetchOutcome& outcome);
  void OnLost(Reader& reader, std::string_view reason);
  void Again(Reader& reader, Milliseconds wait);

  EventLoop& loop_;
  HttpClient& client_;
  const EngineDialect& dialect_;
  PeerDatagrams& datagrams_;
  CacheContents& contents_;
  std::map<CacheHolder, std::unique_ptr<Reader>> readers_;
  CacheRelay relay_;
  std::size_t instances_ = 1;
  int starts_left_ = kStartsPerTick;
  MonotonicTime next_news_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_CACHE_WATCHER_H_
