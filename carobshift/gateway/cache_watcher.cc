#include "carobshift/gateway/cache_watcher.h"

#include <set>

#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr Milliseconds kConnectTimeout{300};
// Above the wait; together they stay within what CacheContents trusts.
constexpr Milliseconds kSlack{300};
constexpr Milliseconds kListTimeout{1500};
constexpr Milliseconds kRetry{400};
// Before the next read: each carries what has come meanwhile, and a call costs
// a tenth of a millisecond of a small instance's processor.
constexpr Milliseconds kPace{100};

}  // namespace

CacheWatcher::~CacheWatcher() {
  Stop();
}

void CacheWatcher::Stop() {
  for (auto& [name, reader] : readers_)
    loop_.CancelTimer(reader->timer);
  readers_.clear();
}

std::vector<WatchedHolder> HoldersOf(const ServingConfig& config,
                                     const EndpointRegistry& registry) {
  std::vector<WatchedHolder> holders;
  for (const auto& [name, service] : config.services) {
    if (service.store) {
      holders.push_back({CacheHolder(name.value()), service.store->address,
                         service.store->event_readers, /*listed=*/true});
    }
  }
  for (const auto& [id, record] : registry.all()) {
    const DeclaredService* const service = config.FindService(record.service);
    if (service == nullptr || !service->engine || record.leaving)
      continue;
    holders.push_back({CacheHolder(id.value()), record.address,
                       service->engine->event_readers, /*listed=*/false});
  }
  return holders;
}

void CacheWatcher::SetHolders(const std::vector<WatchedHolder>& holders,
                              std::size_t rank) {
  std::set<CacheHolder> wanted;
  for (const WatchedHolder& watched : holders) {
    if (watched.readers > 0 &&
        rank >= static_cast<std::size_t>(watched.readers))
      continue;
    wanted.insert(watched.holder);
    auto& reader = readers_[watched.holder];
    if (reader != nullptr && reader->watched.address == watched.address)
      continue;
    if (reader != nullptr)
      loop_.CancelTimer(reader->timer);
    reader = std::make_unique<Reader>();
    reader->watched = watched;
    Read(*reader);
  }
  std::erase_if(readers_, [&](const auto& entry) {
    if (wanted.contains(entry.first))
      return false;
    loop_.CancelTimer(entry.second->timer);
    contents_.Forget(entry.first);
    return true;
  });
}

void CacheWatcher::Read(Reader& reader) {
  FetchOptions options;
  options.call.connect_timeout = kConnectTimeout;
  options.timeout = CacheContents::kReaderWait + kSlack;
  const HttpHead head = dialect_.EncodeEventsQuestion(
      contents_.next(reader.watched.holder), CacheContents::kReaderWait);
  reader.fetch.Start(client_, loop_, reader.watched.address,
                     SerializeRequest(head, reader.watched.address, ""),
                     options, [this, &reader](const FetchOutcome& outcome) {
                       OnEvents(reader, outcome);
                     });
}

void CacheWatcher::OnEvents(Reader& reader, const FetchOutcome& outcome) {
  if (!outcome.status) {
    OnLost(reader, outcome.reason);
    return;
  }
  const Result<StoreEvents> events =
      dialect_.DecodeEvents(*outcome.status, outcome.body);
  if (!events.ok()) {
    OnLost(reader, events.error().message);
    return;
  }
  if (!reader.reachable) {
    reader.reachable = true;
    LogEvent(LogLevel::kInfo, "cache_reader_back",
             {{"holder", reader.watched.holder.value()},
              {"epoch", events.value().epoch}});
  }
  contents_.OnEvents(reader.watched.holder, events.value(), loop_.now());
  if (reader.watched.listed && contents_.NeedsListing(reader.watched.holder))
    List(reader);
  else
    Again(reader, kPace);
}

void CacheWatcher::List(Reader& reader) {
  FetchOptions options;
  options.call.connect_timeout = kConnectTimeout;
  options.timeout = kListTimeout;
  LogEvent(LogLevel::kInfo, "cache_listed",
           {{"holder", reader.watched.holder.value()}});
  reader.fetch.Start(client_, loop_, reader.watched.address,
                     SerializeRequest(dialect_.EncodeListQuestion(),
                                      reader.watched.address, ""),
                     options, [this, &reader](const FetchOutcome& outcome) {
                       if (!outcome.status) {
                         OnLost(reader, outcome.reason);
                         return;
                       }
                       const auto listing =
                           dialect_.DecodeList(*outcome.status, outcome.body);
                       if (!listing.ok()) {
                         OnLost(reader, listing.error().message);
                         return;
                       }
                       contents_.OnListing(reader.watched.holder,
                                           listing.value(), loop_.now());
                       Again(reader, Milliseconds(0));
                     });
}

void CacheWatcher::OnLost(Reader& reader, std::string_view reason) {
  contents_.OnReaderLost(reader.watched.holder);
  if (reader.reachable) {
    reader.reachable = false;
    LogEvent(LogLevel::kWarning, "cache_reader_lost",
             {{"holder", reader.watched.holder.value()}, {"reason", reason}});
  }
  Again(reader, kRetry);
}

void CacheWatcher::Again(Reader& reader, Milliseconds wait) {
  reader.timer =
      loop_.AddTimer(loop_.now() + wait, [this, &reader] { Read(reader); });
}

}  // namespace carobshift
