// Follows the events of each KV cache store and keeps StoreContents up to date.
//
//   StoreWatcher watcher(loop, client, dialect, contents);
//   watcher.SetStores(config);

#ifndef CAROBSHIFT_GATEWAY_STORE_WATCHER_H_
#define CAROBSHIFT_GATEWAY_STORE_WATCHER_H_

#include <map>
#include <memory>

#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/gateway/store_contents.h"
#include "carobshift/net/http_fetch.h"

namespace carobshift {

class StoreWatcher {
 public:
  StoreWatcher(EventLoop& loop,
               HttpClient& client,
               const EngineDialect& dialect,
               StoreContents& contents)
      : loop_(loop), client_(client), dialect_(dialect), contents_(contents) {}
  ~StoreWatcher();

  // Readers of this instance: it may read the stores' events only if its rank
  // is below the number that each store serves at once.
  void SetStores(const ServingConfig& config, std::size_t rank);
  void Stop();

 private:
  struct Reader {
    ServiceName store;
    NetAddress address;
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
  StoreContents& contents_;
  std::map<ServiceName, std::unique_ptr<Reader>> readers_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_STORE_WATCHER_H_
