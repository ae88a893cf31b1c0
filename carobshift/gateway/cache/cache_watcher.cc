#include "carobshift/gateway/cache/cache_watcher.h"

#include <set>
#include <utility>

#include "carobshift/base/digest.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr Milliseconds kConnectTimeout{300};
// Added to the reader's wait. The sum is within CacheContents::kTrustTimeout.
constexpr Milliseconds kReplyMargin{300};
constexpr Milliseconds kListTimeout{1500};
// What a holder remembers of its events, and what it holds: forty to a hundred
// thousand rows.
constexpr std::size_t kMaxEventBytes = std::size_t{2} << 20;
constexpr std::size_t kMaxListBytes = std::size_t{4} << 20;

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
                         service.store->event_readers, /*listed=*/true,
                         service.store->managed});
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

CacheWatcher::CacheWatcher(EventLoop& loop,
                           HttpClient& client,
                           const EngineDialect& dialect,
                           PeerDatagrams& datagrams,
                           CacheContents& contents)
    : loop_(loop),
      client_(client),
      dialect_(dialect),
      datagrams_(datagrams),
      contents_(contents),
      jitter_seed_(RandomUint64()) {
  datagrams_.SetHandler(PeerDatagramKind::kCacheUpdate,
                        [this](std::string_view payload) { OnNews(payload); });
}

void CacheWatcher::SetHolders(const std::vector<WatchedHolder>& holders,
                              const std::vector<EntryId>& live,
                              const EntryId& self) {
  instances_ = live.size();
  const CacheReaderRoles roles(live, self);
  std::set<CacheHolder> wanted;
  for (const WatchedHolder& watched : holders) {
    if (!watched.listed && live.size() > kMaxInstancesForEngines)
      continue;
    wanted.insert(watched.holder);
    auto& reader = readers_[watched.holder];
    const auto role = roles.RoleFor(watched.holder, watched.readers);
    if (reader != nullptr && reader->watched.address == watched.address) {
      contents_.SetManaged(watched.holder, watched.managed);
      SetRole(*reader, role);
      continue;
    }
    if (reader != nullptr)
      Forget(*reader);
    contents_.SetManaged(watched.holder, watched.managed);
    reader = std::make_unique<Reader>();
    reader->watched = watched;
    reader->role = role;
    reader->started = role == CacheReaderRole::kReceiver;
  }
  std::erase_if(readers_, [&](const auto& entry) {
    if (wanted.contains(entry.first))
      return false;
    Forget(*entry.second);
    return true;
  });
  StartReaders();
}

void CacheWatcher::Forget(Reader& reader) {
  loop_.CancelTimer(reader.timer);
  relay_.Drop(reader.watched.holder);
  contents_.Forget(reader.watched.holder);
}

void CacheWatcher::StartReaders() {
  StartReaders(/*listed=*/true);
  StartReaders(/*listed=*/false);
}

void CacheWatcher::StartReaders(bool listed) {
  for (auto& [holder, reader] : readers_) {
    if (starts_left_ == 0)
      return;
    if (reader->started || reader->watched.listed != listed)
      continue;
    reader->started = true;
    --starts_left_;
    Read(*reader);
  }
}

void CacheWatcher::SetRole(Reader& reader, CacheReaderRole role) {
  if (role == reader.role)
    return;
  const CacheReaderRole before = std::exchange(reader.role, role);
  if (role != CacheReaderRole::kForwarder)
    relay_.Drop(reader.watched.holder);
  if (role == CacheReaderRole::kReceiver) {
    loop_.CancelTimer(reader.timer);
    reader.fetch.Cancel();
    reader.started = true;
  } else if (before == CacheReaderRole::kReceiver) {
    reader.started = false;
  }
}

void CacheWatcher::OnTick() {
  starts_left_ = kStartsPerTick;
  StartReaders();
  if (loop_.now() >= next_send_)
    ForwardNews();
}

void CacheWatcher::ForwardNews() {
  next_send_ = loop_.now() + CacheRelay::SendPeriod(instances_);
  std::vector<std::string> payloads;
  for (const CacheUpdate& update : relay_.TakeMessages(contents_, loop_.now()))
    payloads.push_back(EncodeCacheUpdate(update));
  datagrams_.SendToOthers(PeerDatagramKind::kCacheUpdate, payloads);
}

void CacheWatcher::OnNews(std::string_view payload) {
  // An undecodable message is dropped; the next one repeats its events.
  const Result<CacheUpdate> update = DecodeCacheUpdate(payload);
  if (!update.ok())
    return;
  if (update.value().clock)
    contents_.OnClock(*update.value().clock, loop_.now());
  for (const HolderUpdate& of_holder : update.value().holders) {
    const auto found = readers_.find(of_holder.holder);
    if (found == readers_.end() ||
        found->second->role != CacheReaderRole::kReceiver)
      continue;
    Reader& reader = *found->second;
    const auto epoch = contents_.Epoch(of_holder.holder);
    contents_.OnPeerUpdate(of_holder, loop_.now());
    LogEpoch(of_holder.holder, epoch);
    if (reader.watched.listed && contents_.NeedsListing(of_holder.holder) &&
        !reader.fetch.active() && reader.list_backoff.MayList(loop_.now()))
      List(reader);
  }
}

void CacheWatcher::Read(Reader& reader) {
  // A timer for an earlier read may be pending. It must not outlive the reader.
  loop_.CancelTimer(reader.timer);
  FetchOptions options;
  options.call.connect_timeout = kConnectTimeout;
  options.timeout = CacheContents::kReaderWait + kReplyMargin;
  options.max_body = kMaxEventBytes;
  options.importance = ByteImportance::kOptional;
  const std::uint64_t since = contents_.next(reader.watched.holder);
  const HttpHead head =
      dialect_.EncodeEventsQuestion(since, CacheContents::kReaderWait);
  reader.fetch.Start(client_, loop_, reader.watched.address,
                     SerializeRequest(head, reader.watched.address, ""),
                     options,
                     [this, &reader, since](const FetchOutcome& outcome) {
                       OnEvents(reader, since, outcome);
                     });
}

void CacheWatcher::OnEvents(Reader& reader,
                            std::uint64_t since,
                            const FetchOutcome& outcome) {
  if (!outcome.status) {
    OnReadFailed(reader, outcome, outcome.reason);
    return;
  }
  const Result<StoreEvents> events =
      dialect_.DecodeEvents(*outcome.status, outcome.body);
  if (!events.ok()) {
    OnReadFailed(reader, outcome, events.error().message);
    return;
  }
  if (!reader.reachable) {
    reader.reachable = true;
    LogEvent(LogLevel::kInfo, "cache_reader_back",
             {{"holder", reader.watched.holder.value()},
              {"epoch", events.value().epoch},
              {"failures", reader.failures}});
    reader.failures = 0;
  }
  const Milliseconds pause = reader.read_backoff.OnAnswer(outcome.received);
  const auto epoch = contents_.Epoch(reader.watched.holder);
  contents_.OnEvents(reader.watched.holder, events.value(), loop_.now());
  LogEpoch(reader.watched.holder, epoch);
  if (reader.role == CacheReaderRole::kForwarder)
    relay_.OnRead(reader.watched.holder, since, events.value(),
                  /*send_long_ranges=*/reader.watched.listed);
  if (reader.watched.listed && contents_.NeedsListing(reader.watched.holder))
    List(reader);
  else
    ScheduleRead(reader, pause);
}

void CacheWatcher::List(Reader& reader) {
  reader.list_backoff.OnList(
      CombineHashes(FastHash(reader.watched.holder.value()), jitter_seed_++),
      loop_.now());
  FetchOptions options;
  options.call.connect_timeout = kConnectTimeout;
  options.timeout = kListTimeout;
  options.max_body = kMaxListBytes;
  options.importance = ByteImportance::kOptional;
  LogEvent(LogLevel::kInfo, "cache_listed",
           {{"holder", reader.watched.holder.value()}});
  reader.fetch.Start(
      client_, loop_, reader.watched.address,
      SerializeRequest(dialect_.EncodeListQuestion(), reader.watched.address,
                       ""),
      options,
      [this, &reader, asked = loop_.now()](const FetchOutcome& outcome) {
        if (!outcome.status) {
          OnReadFailed(reader, outcome, outcome.reason);
          return;
        }
        const auto listing = dialect_.DecodeList(*outcome.status, outcome.body);
        if (!listing.ok()) {
          OnReadFailed(reader, outcome, listing.error().message);
          return;
        }
        contents_.OnListing(reader.watched.holder, listing.value(), asked,
                            loop_.now());
        ScheduleRead(reader, Milliseconds(0));
      });
}

void CacheWatcher::OnReadFailed(Reader& reader,
                                const FetchOutcome& outcome,
                                std::string_view reason) {
  contents_.OnReaderLost(reader.watched.holder);
  // The loss of an engine is told with the next regular messages: engines are
  // many, and only parts of stores are written by others.
  if (relay_.OnReaderLost(reader.watched.holder, loop_.now()) &&
      reader.watched.listed)
    ForwardNews();
  if (reader.reachable) {
    reader.reachable = false;
    LogEvent(LogLevel::kWarning, "cache_reader_lost",
             {{"holder", reader.watched.holder.value()}, {"reason", reason}});
  }
  ++reader.failures;
  const std::uint64_t hash =
      CombineHashes(FastHash(reader.watched.holder.value()), jitter_seed_++);
  ScheduleRead(reader, outcome.sent ? reader.read_backoff.OnFailure(hash)
                                    : reader.read_backoff.OnUnreachable());
}

void CacheWatcher::LogEpoch(const CacheHolder& holder,
                            const std::optional<std::uint64_t>& before) const {
  const auto epoch = contents_.Epoch(holder);
  if (!before || !epoch || *before == *epoch)
    return;
  LogEvent(LogLevel::kInfo, "cache_holder_restarted",
           {{"holder", holder.value()},
            {"epoch", *epoch},
            {"epoch_before", *before},
            {"from_peer", contents_.IsFromPeer(holder)}});
}

void CacheWatcher::ScheduleRead(Reader& reader, Milliseconds wait) {
  // An instance that receives the holder's events from another one only lists.
  if (reader.role == CacheReaderRole::kReceiver)
    return;
  loop_.CancelTimer(reader.timer);
  reader.timer =
      loop_.AddTimer(loop_.now() + wait, [this, &reader] { Read(reader); });
}

}  // namespace carobshift
