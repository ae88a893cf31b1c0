#include "carobshift/gateway/store_watcher.h"

#include <set>

#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr Milliseconds kConnectTimeout{300};
// Above the wait; together they stay within what StoreContents trusts.
constexpr Milliseconds kSlack{300};
constexpr Milliseconds kListTimeout{1500};
constexpr Milliseconds kRetry{400};

}  // namespace

StoreWatcher::~StoreWatcher() {
  Stop();
}

void StoreWatcher::Stop() {
  for (auto& [name, reader] : readers_)
    loop_.CancelTimer(reader->timer);
  readers_.clear();
}

void StoreWatcher::SetStores(const ServingConfig& config, std::size_t rank) {
  std::set<ServiceName> wanted;
  for (const auto& [name, service] : config.services) {
    if (!service.store)
      continue;
    const auto readers =
        static_cast<std::size_t>(std::max(0, service.store->event_readers));
    if (readers > 0 && rank >= readers)
      continue;
    wanted.insert(name);
    auto& reader = readers_[name];
    if (reader != nullptr && reader->address == service.store->address)
      continue;
    if (reader != nullptr)
      loop_.CancelTimer(reader->timer);
    reader = std::make_unique<Reader>();
    reader->store = name;
    reader->address = service.store->address;
    Read(*reader);
  }
  std::erase_if(readers_, [&](const auto& entry) {
    if (wanted.contains(entry.first))
      return false;
    loop_.CancelTimer(entry.second->timer);
    contents_.OnReaderLost(entry.first);
    return true;
  });
}

void StoreWatcher::Read(Reader& reader) {
  FetchOptions options;
  options.call.connect_timeout = kConnectTimeout;
  options.timeout = StoreContents::kReaderWait + kSlack;
  const HttpHead head = dialect_.EncodeEventsQuestion(
      contents_.next(reader.store), StoreContents::kReaderWait);
  reader.fetch.Start(client_, loop_, reader.address,
                     SerializeRequest(head, reader.address, ""), options,
                     [this, &reader](const FetchOutcome& outcome) {
                       OnEvents(reader, outcome);
                     });
}

void StoreWatcher::OnEvents(Reader& reader, const FetchOutcome& outcome) {
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
    LogEvent(
        LogLevel::kInfo, "store_back",
        {{"store", reader.store.value()}, {"epoch", events.value().epoch}});
  }
  contents_.OnEvents(reader.store, events.value(), loop_.now());
  if (contents_.NeedsListing(reader.store))
    List(reader);
  else
    Again(reader, Milliseconds(0));
}

void StoreWatcher::List(Reader& reader) {
  FetchOptions options;
  options.call.connect_timeout = kConnectTimeout;
  options.timeout = kListTimeout;
  LogEvent(LogLevel::kInfo, "store_listed", {{"store", reader.store.value()}});
  reader.fetch.Start(
      client_, loop_, reader.address,
      SerializeRequest(dialect_.EncodeListQuestion(), reader.address, ""),
      options, [this, &reader](const FetchOutcome& outcome) {
        if (!outcome.status) {
          OnLost(reader, outcome.reason);
          return;
        }
        const auto listing = dialect_.DecodeList(*outcome.status, outcome.body);
        if (!listing.ok()) {
          OnLost(reader, listing.error().message);
          return;
        }
        contents_.OnListing(reader.store, listing.value(), loop_.now());
        Again(reader, Milliseconds(0));
      });
}

void StoreWatcher::OnLost(Reader& reader, std::string_view reason) {
  contents_.OnReaderLost(reader.store);
  if (reader.reachable) {
    reader.reachable = false;
    LogEvent(LogLevel::kWarning, "store_lost",
             {{"store", reader.store.value()}, {"reason", reason}});
  }
  Again(reader, kRetry);
}

void StoreWatcher::Again(Reader& reader, Milliseconds wait) {
  reader.timer =
      loop_.AddTimer(loop_.now() + wait, [this, &reader] { Read(reader); });
}

}  // namespace carobshift
