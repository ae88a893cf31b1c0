#include "carobshift/gateway/records/record_listener.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "carobshift/base/digest.h"
#include "carobshift/gateway/connection_options.h"
#include "carobshift/gateway/records/record_readers.h"
#include "carobshift/gateway/records/stream_positions.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr Milliseconds kCallTimeout{500};
constexpr Milliseconds kConnectTimeout{200};
constexpr int kOk = 200;
constexpr int kBadRequest = 400;

bool HasAllSince(const KeyedFollower& follower, LogOffset since) {
  return follower.caught_up() && since >= follower.complete_since();
}

StreamChanges ChangesOf(const KeyedFollower& follower,
                        LogOffset since,
                        MonotonicTime now) {
  StreamChanges changes;
  changes.records = follower.ChangedSince(since);
  const std::size_t omitted =
      std::erase_if(changes.records, [](const KeyedRecord& record) {
        return record.value &&
               record.value->size() > RecordListener::kMaxRecordBytes;
      });
  changes.end = follower.next();
  changes.next = omitted > 0 ? since : changes.end;
  changes.age =
      std::chrono::duration_cast<Milliseconds>(now - *follower.last_answer());
  changes.records_age =
      std::chrono::ceil<Milliseconds>(now - *follower.records_as_of());
  return changes;
}

}  // namespace

RecordListener::RecordListener(EventLoop& loop,
                               HttpClient& client,
                               ListenerIdentity identity,
                               KeyedFollower& operators,
                               KeyedFollower& endpoints)
    : loop_(loop),
      client_(client),
      identity_(std::move(identity)),
      operators_(operators),
      endpoints_(endpoints) {}

std::string RecordListener::Path() const {
  return "/changes/" + HexEncode(HmacSha256(identity_.secret, "peer changes"));
}

std::optional<QueryAnswer> RecordListener::Answer(const HttpHead& query) const {
  constexpr int kUnavailable = 503;
  const std::string path = Path();
  const std::string_view target = query.target;
  if (!ConstantTimeEqual(target.substr(0, path.size()), path))
    return std::nullopt;
  const auto since = ParsePathSuffix(target.substr(path.size()));
  if (!since)
    return QueryAnswer{kBadRequest, {}, {}};
  if (!HasAllSince(operators_, since->operators) ||
      !HasAllSince(endpoints_, since->endpoints))
    return QueryAnswer{kUnavailable, {}, {}};
  const MonotonicTime now = loop_.now();
  const PeerChanges changes{ChangesOf(operators_, since->operators, now),
                            ChangesOf(endpoints_, since->endpoints, now)};
  return QueryAnswer{kOk, "application/octet-stream",
                     EncodePeerChanges(changes, identity_.secret)};
}

bool RecordListener::IsFresh(const KeyedFollower& follower) const {
  return follower.last_answer() &&
         loop_.now() - *follower.last_answer() <= kMaxAnswerAge;
}

void RecordListener::UpdateRole(const std::vector<MemberInfo>& readers) {
  const EntryId& self = identity_.self.id;
  const bool is_reader =
      std::any_of(readers.begin(), readers.end(),
                  [&self](const auto& reader) { return reader.id == self; });
  const bool is_listener = !readers.empty() && !is_reader &&
                           operators_.caught_up() && endpoints_.caught_up();
  operators_.SetMaxWait(readers.empty() ? std::nullopt
                                        : std::optional(kReaderPollWait));
  if (is_listener == is_listener_)
    return;
  is_listener_ = is_listener;
  switches_ = 0;
  LogEvent(LogLevel::kInfo, "log_role",
           {{"role", is_listener ? "listener" : "reader"},
            {"readers", readers.size()}});
}

void RecordListener::OnTick() {
  const std::vector<MemberInfo> readers = LogReaders(identity_.live());
  UpdateRole(readers);
  operators_.SetLongPoll(is_listener_ && IsFresh(operators_) && !IsBehind());
  endpoints_.SetPaused(is_listener_ && IsFresh(endpoints_));
  if (!is_listener_ || fetch_.active() || loop_.now() < next_query_time_)
    return;
  next_query_time_ = loop_.now() + kQueryInterval;
  if (loop_.now() - last_switch_ > kPreferredReaderRetry)
    switches_ = 0;
  reader_count_ = readers.size();
  const auto ordered = ReaderOrderFor(identity_.self, readers);
  QueryReader(ordered[switches_ % ordered.size()]);
}

void RecordListener::QueryReader(const MemberInfo& reader) {
  HttpHead head;
  head.method = "GET";
  head.target = Path() + ToPathSuffix({operators_.next(), endpoints_.next()});
  FetchOptions options;
  options.call.connect_timeout = kConnectTimeout;
  options.timeout = kCallTimeout;
  options.max_body = kMaxPeerReplyBytes;
  query_sent_at_ = loop_.now();
  fetch_.Start(client_, loop_, reader.peer_address(),
               SerializeRequest(head, reader.peer_address(), ""), options,
               [this, reader](const FetchOutcome& outcome) {
                 OnAnswer(reader, outcome);
               });
}

void RecordListener::ApplyChanges(KeyedFollower& follower,
                                  const StreamChanges& changes) {
  // If records were omitted, the sender's answer does not replace an answer of
  // the log.
  if (changes.next == changes.end) {
    // The answer may have been long on its way, or this process frozen
    // meanwhile.
    follower.OnPeerAnswer(changes.next, loop_.now() - changes.age,
                          query_sent_at_ - changes.records_age);
  }
  follower.MergePeerRecords(changes.records);
}

void RecordListener::OnAnswer(const MemberInfo& reader,
                              const FetchOutcome& outcome) {
  if (outcome.status != kOk) {
    SwitchReader(
        reader, outcome,
        outcome.status ? "the reader has no complete state" : outcome.reason);
    return;
  }
  const Result<PeerChanges> changes =
      DecodePeerChanges(outcome.body, identity_.secret);
  if (!changes.ok()) {
    SwitchReader(reader, outcome, changes.error().message);
    return;
  }
  reader_end_ = std::max(reader_end_, changes.value().operators.end);
  ApplyChanges(operators_, changes.value().operators);
  ApplyChanges(endpoints_, changes.value().endpoints);
  // The decision uses the reader's answer and not the local state: while this
  // instance reads the log itself its state is newer, and it would keep
  // querying a reader that is of no use. A reader whose link is saturated by a
  // configuration is no reason to switch, since the other readers' links are
  // saturated too.
  if (changes.value().endpoints.age > kMaxAnswerAge)
    SwitchReader(reader, outcome, "the log does not answer the reader");
}

void RecordListener::SwitchReader(const MemberInfo& reader,
                                  const FetchOutcome& outcome,
                                  std::string_view reason) {
  ++switches_;
  last_switch_ = loop_.now();
  // Queries the next reader at once, since time has already been lost, but not
  // in an endless loop if no reader has current data.
  if (switches_ % reader_count_ != 0)
    next_query_time_ = loop_.now();
  LogEvent(LogLevel::kInfo, "reader_left",
           {{"reader", reader.id.value()},
            {"reason", reason},
            {"received", outcome.received}});
}

}  // namespace carobshift
