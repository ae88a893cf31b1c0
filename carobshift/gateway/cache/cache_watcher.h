// Keeps CacheContents up to date with the cache events of engines and stores,
// either by reading them or by receiving them from other instances
// (cache_relay.h).
//
//   CacheWatcher watcher(loop, client, dialect, datagrams, contents);
//   watcher.SetHolders(HoldersOf(config, registry), live, self);
//   watcher.OnTick();

#ifndef CAROBSHIFT_GATEWAY_CACHE_CACHE_WATCHER_H_
#define CAROBSHIFT_GATEWAY_CACHE_CACHE_WATCHER_H_

#include <map>
#include <memory>
#include <vector>

#include "carobshift/gateway/cache/cache_contents.h"
#include "carobshift/gateway/cache/cache_relay.h"
#include "carobshift/gateway/cache/read_backoff.h"
#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/endpoints/endpoint_registry.h"
#include "carobshift/gateway/instances/peer_datagrams.h"
#include "carobshift/gateway/records/list_backoff.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/net/http_fetch.h"

namespace carobshift {

// An engine or a store whose events are read.
struct WatchedHolder {
  CacheHolder holder;
  NetAddress address;
  // Number of concurrent event readers that it serves, 0 if unspecified.
  int readers = 0;
  // Whether its contents are listed when events are missing. Only stores are
  // listed, because listing stalls an engine's work.
  bool listed = false;
  // Whether it is a store that drops no part by itself.
  bool managed = false;
};

[[nodiscard]] std::vector<WatchedHolder> HoldersOf(
    const ServingConfig& config,
    const EndpointRegistry& registry);

class CacheWatcher {
 public:
  // Maximum number of holders whose first read starts in one tick. An instance
  // that has just started knows no others and would read all of a hundred
  // holders at once. The connections of it and of ninety like it take seconds,
  // during which callers wait. Within a second it has discovered the others and
  // has two or three holders left to read.
  static constexpr int kStartsPerTick = 8;

  // With more instances, only the contents of stores are tracked. Engines
  // change theirs several thousand times per second, which is more than a small
  // instance can process. All instances select the same engine for a session
  // without this information, and parts that the engine lacks are fetched from
  // a store.
  static constexpr std::size_t kMaxInstancesForEngines = 100;

  CacheWatcher(EventLoop& loop,
               HttpClient& client,
               const EngineDialect& dialect,
               PeerDatagrams& datagrams,
               CacheContents& contents);
  ~CacheWatcher();

  // `live` are the live instances, including `self`.
  void SetHolders(const std::vector<WatchedHolder>& holders,
                  const std::vector<EntryId>& live,
                  const EntryId& self);
  // To be called a few times per second.
  void OnTick();
  void Stop();

 private:
  struct Reader {
    WatchedHolder watched;
    HttpFetch fetch;
    TimerId timer;
    bool reachable = true;
    // True once its first read has started, and for a holder whose events are
    // received from another instance.
    bool started = false;
    CacheReaderRole role = CacheReaderRole::kReader;
    ListBackoff list_backoff;
    ReadBackoff read_backoff;
    // Since its events can't be read.
    int failures = 0;
  };

  void SetRole(Reader& reader, CacheReaderRole role);
  // Discards what is known of a holder that was removed, or that has another
  // address: there it is another holder's memory.
  void Forget(Reader& reader);
  // Starts the first reads of holders within kStartsPerTick, stores first
  // because they hold the most parts.
  void StartReaders();
  void StartReaders(bool listed);
  // Sends what the relay has to send about all holders.
  void ForwardNews();
  void OnNews(std::string_view payload);
  void Read(Reader& reader);
  void List(Reader& reader);
  void OnEvents(Reader& reader,
                std::uint64_t since,
                const FetchOutcome& outcome);
  void OnReadFailed(Reader& reader,
                    const FetchOutcome& outcome,
                    std::string_view reason);
  // Logs that the holder has another epoch than before.
  void LogEpoch(const CacheHolder& holder,
                const std::optional<std::uint64_t>& before) const;
  void ScheduleRead(Reader& reader, Milliseconds wait);

  EventLoop& loop_;
  HttpClient& client_;
  const EngineDialect& dialect_;
  PeerDatagrams& datagrams_;
  CacheContents& contents_;
  std::map<CacheHolder, std::unique_ptr<Reader>> readers_;
  CacheRelay relay_;
  std::size_t instances_ = 1;
  // Differs between instances, and between the calls of this one.
  std::uint64_t jitter_seed_;
  int starts_left_ = kStartsPerTick;
  MonotonicTime next_send_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_CACHE_CACHE_WATCHER_H_
