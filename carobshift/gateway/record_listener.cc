#include "carobshift/gateway/record_listener.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "carobshift/base/digest.h"
#include "carobshift/gateway/peer_state_codec.h"
#include "carobshift/gateway/record_readers.h"
#include "carobshift/gateway/stream_positions.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr Milliseconds kCallTimeout{500};
constexpr Milliseconds kConnectTimeout{200};
constexpr int kOk = 200;
constexpr int kBadRequest = 400;

StreamChanges ChangesOf(const KeyedFollower& follower,
                        LogOffset since,
                        MonotonicTime now) {
  StreamChanges changes;
  changes.records = follower.ChangedSince(since);
  const std::size_t left_out =
      std::erase_if(changes.records, [](const KeyedRecord& record) {
        return record.value &&
               record.value->size() > RecordListener::kLargestTold;
      });
  changes.end = follower.next();
  changes.next = left_out > 0 ? since : changes.end;
  changes.age =
      std::chrono::duration_cast<Milliseconds>(now - *follower.last_answer());
  return changes;
}

void Take(KeyedFollower& follower,
          const StreamChanges& changes,
          MonotonicTime now) {
  // Without all records the sender's word isn't as good as the log's.
  if (changes.next == changes.end)
    follower.OnHeard(changes.next, now - changes.age);
  follower.Learn(changes.records);
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

std::optional<QueryAnswer> RecordListener::Answer(
    const HttpHead& question) const {
  constexpr int kUnavailable = 503;
  const std::string path = Path();
  const std::string_view target = question.target;
  if (!ConstantTimeEqual(target.substr(0, path.size()), path))
    return std::nullopt;
  const auto since = ReadPathEnd(target.substr(path.size()));
  if (!since)
    return QueryAnswer{kBadRequest, {}, {}};
  if (!operators_.caught_up() || !endpoints_.caught_up())
    return QueryAnswer{kUnavailable, {}, {}};
  const MonotonicTime now = loop_.now();
  const PeerChanges changes{ChangesOf(operators_, since->operators, now),
                            ChangesOf(endpoints_, since->endpoints, now)};
  return QueryAnswer{kOk, "application/octet-stream",
                     EncodePeerChanges(changes, identity_.secret)};
}

bool RecordListener::IsFresh(const KeyedFollower& follower) const {
  return follower.last_answer() &&
         loop_.now() - *follower.last_answer() <= kTrust;
}

void RecordListener::TakeRole(const std::vector<MemberInfo>& readers) {
  const EntryId& self = identity_.self.id;
  const bool reads =
      std::any_of(readers.begin(), readers.end(),
                  [&self](const auto& reader) { return reader.id == self; });
  const bool listens = !readers.empty() && !reads && operators_.caught_up() &&
                       endpoints_.caught_up();
  operators_.SetLongestWait(readers.empty() ? std::nullopt
                                            : std::optional(kReaderWait));
  if (listens == listens_)
    return;
  listens_ = listens;
  turn_ = 0;
  LogEvent(
      LogLevel::kInfo, "log_role",
      {{"role", listens ? "listener" : "reader"}, {"readers", readers.size()}});
}

void RecordListener::OnTick() {
  const std::vector<MemberInfo> readers = LogReaders(identity_.live());
  TakeRole(readers);
  operators_.SetPatient(listens_ && IsFresh(operators_) && !IsBehind());
  endpoints_.SetResting(listens_ && IsFresh(endpoints_));
  if (!listens_ || fetch_.active() || loop_.now() < next_)
    return;
  next_ = loop_.now() + kAskEvery;
  if (loop_.now() - turned_ > kStayAway)
    turn_ = 0;
  readers_ = readers.size();
  const auto ordered = InOrderFor(identity_.self, readers);
  Ask(ordered[turn_ % ordered.size()]);
}

void RecordListener::Ask(const MemberInfo& reader) {
  HttpHead head;
  head.method = "GET";
  head.target = Path() + ToPathEnd({operators_.next(), endpoints_.next()});
  FetchOptions options;
  options.call.connect_timeout = kConnectTimeout;
  options.timeout = kCallTimeout;
  fetch_.Start(client_, loop_, reader.peer_address(),
               SerializeRequest(head, reader.peer_address(), ""), options,
               [this, reader](const FetchOutcome& outcome) {
                 OnAnswer(reader, outcome);
               });
}

void RecordListener::OnAnswer(const MemberInfo& reader,
                              const FetchOutcome& outcome) {
  if (outcome.status != kOk) {
    TurnAway(reader, outcome,
             outcome.status ? "it knows nothing" : outcome.reason);
    return;
  }
  const Result<PeerChanges> changes =
      DecodePeerChanges(outcome.body, identity_.secret);
  if (!changes.ok()) {
    TurnAway(reader, outcome, changes.error().message);
    return;
  }
  told_end_ = std::max(told_end_, changes.value().operators.end);
  Take(operators_, changes.value().operators, loop_.now());
  Take(endpoints_, changes.value().endpoints, loop_.now());
  // Not by what is known here: while this instance helps itself it knows newer
  // things, and would stay with a reader that is of no use. A reader whose link
  // is full with a configuration is no reason: the next one's is as well.
  if (changes.value().endpoints.age > kTrust)
    TurnAway(reader, outcome, "the log doesn't answer it");
}

void RecordListener::TurnAway(const MemberInfo& reader,
                              const FetchOutcome& outcome,
                              std::string_view reason) {
  ++turn_;
  turned_ = loop_.now();
  // The next one is asked at once: time has been lost already. But not in
  // circles, if none of them knows.
  if (turn_ % readers_ != 0)
    next_ = loop_.now();
  LogEvent(LogLevel::kInfo, "reader_left",
           {{"reader", reader.id.value()},
            {"reason", reason},
            {"received", outcome.received}});
}

}  // namespace carobshift
