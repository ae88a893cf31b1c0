#include "carobshift/gateway/records/keyed_follower.h"

#include <algorithm>
#include <set>
#include <utility>

#include "carobshift/gateway/connection_options.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

// A read without a wait takes some milliseconds, or some hundreds if the log is
// slow.
constexpr Milliseconds kPageTimeout{1500};
constexpr Milliseconds kConnectTimeout{400};
// Upper bound of the page timeout. A call made while the log was unresponsive
// never completes, and the list must be available soon after the log is back.
constexpr Milliseconds kMaxPageTimeout{2000};
// Gap between two answers of the log beyond which entries may have expired
// unobserved.
constexpr Milliseconds kNoticeableGap{1500};

}  // namespace

KeyedFollower::KeyedFollower(EventLoop& loop,
                             HttpClient& client,
                             const NetAddress& log,
                             const LogDialect& dialect,
                             LogStream stream,
                             const KeyedFollowerOptions& options,
                             KeyedFollowerSink& sink)
    : loop_(loop),
      client_(client),
      log_(log),
      dialect_(dialect),
      stream_(std::move(stream)),
      options_(options),
      sink_(sink),
      wait_(options.wait) {}

void KeyedFollower::Start() {
  started_ = loop_.now();
  ReadPage();
}

void KeyedFollower::Stop() {
  stopped_ = true;
  loop_.CancelTimer(timer_);
  fetch_.Cancel();
}

FetchOptions KeyedFollower::ReadOptions(Milliseconds wait) const {
  FetchOptions options;
  options.call.connect_timeout = kConnectTimeout;
  options.timeout = wait + extra_timeout_;
  options.max_body = kMaxLogReplyBytes;
  return options;
}

void KeyedFollower::ReadPage() {
  if (stopped_)
    return;
  request_sent_at_ = loop_.now();
  if (!page_token_)
    snapshot_sent_at_ = request_sent_at_;
  wait_in_flight_ = Milliseconds(0);
  fetch_.Start(
      client_, loop_, log_,
      SerializeRequest(dialect_.EncodeNewest(stream_, page_token_), log_, ""),
      ReadOptions(kPageTimeout),
      [this](const FetchOutcome& outcome) { OnPage(outcome); });
}

void KeyedFollower::OnPage(const FetchOutcome& outcome) {
  bytes_read_ += outcome.received;
  if (!outcome.status) {
    OnFailure(outcome, outcome.reason);
    return;
  }
  const Result<KeyedPage> page =
      dialect_.DecodeNewest(*outcome.status, outcome.body);
  if (!page.ok()) {
    OnFailure(outcome, page.error().message);
    return;
  }
  OnAnswer();
  // The end offset of the first page. Records written while later pages are
  // read follow it and are read afterwards.
  if (!snapshot_end_)
    snapshot_end_ = page.value().end;
  for (const KeyedRecord& record : page.value().records) {
    snapshot_keys_.push_back(record.key);
    Apply(record);
  }
  const auto previous_token =
      std::exchange(page_token_, page.value().more_after);
  const bool is_repeated = page_token_ && page_token_ == previous_token;
  if (is_repeated) {
    // The keys at the end of the page can't be named in a query, and the keys
    // after them can't be read. They aren't taken for removed.
    LogEvent(LogLevel::kWarning, "log_page_repeated",
             {{"stream", stream_.value()}, {"after", *page_token_}});
    page_token_.reset();
  }
  if (page_token_) {
    ReadPage();
    return;
  }
  next_ = *std::exchange(snapshot_end_, std::nullopt);
  caught_up_ = true;
  complete_since_ = next_;
  if (!is_repeated)
    MarkMissingRemoved();
  snapshot_keys_.clear();
  NoteRecordsAsOf(snapshot_sent_at_);
  sink_.OnSnapshot(PresentKeys(), loop_.now());
  ReadNext();
}

void KeyedFollower::ReadNext() {
  Read(long_poll_ ? options_.long_poll_wait : wait_);
}

void KeyedFollower::Read(Milliseconds wait) {
  if (stopped_)
    return;
  request_sent_at_ = loop_.now();
  const LogOffset from = next_;
  wait_in_flight_ = wait;
  fetch_.Start(
      client_, loop_, log_,
      SerializeRequest(dialect_.EncodeRead(stream_, next_, wait), log_, ""),
      ReadOptions(std::max(wait, wait_) + options_.timeout_margin),
      [this, from](const FetchOutcome& outcome) { OnBatch(outcome, from); });
}

void KeyedFollower::OnBatch(const FetchOutcome& outcome, LogOffset from) {
  bytes_read_ += outcome.received;
  if (!outcome.status) {
    OnFailure(outcome, outcome.reason);
    return;
  }
  const Result<LogBatch> batch =
      dialect_.DecodeRead(*outcome.status, outcome.body, from);
  if (!batch.ok() && batch.error().code == ResultCode::kLogRecordExpired) {
    LogEvent(LogLevel::kInfo, "log_records_expired",
             {{"stream", stream_.value()}, {"from", from.value()}});
    ReadPage();
    return;
  }
  if (!batch.ok()) {
    OnFailure(outcome, batch.error().message);
    return;
  }
  OnAnswer();
  for (const LogRecord& record : batch.value().records) {
    if (const auto keyed = dialect_.DecodeKeyed(record); keyed.ok()) {
      Apply(keyed.value());
    } else {
      LogEvent(
          LogLevel::kWarning, "log_record_unreadable",
          {{"stream", stream_.value()}, {"offset", record.offset.value()}});
    }
  }
  next_ = std::max(next_, batch.value().next);
  if (next_ >= batch.value().end)
    NoteRecordsAsOf(request_sent_at_);
  const auto elapsed =
      std::chrono::duration_cast<Milliseconds>(loop_.now() - request_sent_at_);
  ScheduleRead(std::max(Milliseconds(0), options_.min_read_interval - elapsed),
               &KeyedFollower::ReadNext);
}

bool KeyedFollower::Apply(const KeyedRecord& record) {
  const auto [found, first] = newest_.try_emplace(
      record.key,
      Known{{record.key, std::nullopt, record.offset}, record.offset});
  Known& known = found->second;
  if (!first && record.offset <= known.record.offset)
    return false;
  const RecordEffect effect = sink_.OnRecord(record, loop_.now());
  known.record.offset = record.offset;
  // A peer may have taken the removal that an unchanged record undoes.
  const bool undoes_removal = !known.record.value;
  if (effect == RecordEffect::kChanged ||
      (effect == RecordEffect::kUnchanged && undoes_removal))
    known.changed = record.offset;
  if (effect != RecordEffect::kOutOfDate)
    known.record.value = record.value;
  if (!record.value)
    PruneTombstones();
  return true;
}

// Marks keys that the snapshot lacks as removed: they were removed while
// nothing was read.
void KeyedFollower::MarkMissingRemoved() {
  const std::set<std::string> present(snapshot_keys_.begin(),
                                      snapshot_keys_.end());
  const LogOffset last(next_.value() == 0 ? 0 : next_.value() - 1);
  for (auto& [key, known] : newest_) {
    if (present.contains(key) || known.record.offset > last)
      continue;
    known.record.value.reset();
    known.record.offset = last;
    // A peer that knows all records before next_ does not know of this removal.
    known.changed = next_;
  }
}

std::vector<std::string> KeyedFollower::PresentKeys() const {
  std::vector<std::string> present;
  for (const auto& [key, known] : newest_) {
    if (known.record.value)
      present.push_back(key);
  }
  return present;
}

// Tombstones keep a peer from bringing removed keys back. After
// kTombstoneRetentionRecords further records of the stream every peer has
// learned of the removal.
void KeyedFollower::PruneTombstones() {
  constexpr std::uint64_t kTombstoneRetentionRecords = 5000;
  if (next_.value() <= kTombstoneRetentionRecords)
    return;
  const LogOffset oldest(next_.value() - kTombstoneRetentionRecords);
  complete_since_ = std::max(complete_since_, oldest);
  std::erase_if(newest_, [oldest](const auto& entry) {
    const KeyedRecord& record = entry.second.record;
    return !record.value && record.offset < oldest;
  });
}

std::vector<KeyedRecord> KeyedFollower::ChangedSince(LogOffset since) const {
  std::vector<KeyedRecord> records;
  for (const auto& [key, known] : newest_) {
    if (known.changed >= since)
      records.push_back(known.record);
  }
  return records;
}

void KeyedFollower::OnPeerAnswer(LogOffset next,
                                 MonotonicTime answered,
                                 MonotonicTime records_as_of) {
  next_ = std::max(next_, next);
  NoteRecordsAsOf(records_as_of);
  const MonotonicTime previous_answer = last_answer_.value_or(started_);
  if (answered <= previous_answer)
    return;
  last_answer_ = answered;
  const auto outage =
      std::chrono::duration_cast<Milliseconds>(answered - previous_answer);
  if (!log_lost_ && outage < kNoticeableGap)
    return;
  if (!std::exchange(log_lost_, false))
    sink_.OnLogLost("no reader reports an answer of the log");
  sink_.OnLogRecovered(outage, loop_.now());
}

void KeyedFollower::SetLongPoll(bool long_poll) {
  long_poll_ = long_poll;
  if (long_poll_ || wait_in_flight_ < options_.long_poll_wait ||
      !fetch_.active() || fetch_.receiving())
    return;
  fetch_.Cancel();
  ReadNext();
}

void KeyedFollower::ReadNow() {
  if (wait_in_flight_ == Milliseconds(0) || !fetch_.active() ||
      fetch_.receiving() || loop_.now() < next_read_now_)
    return;
  next_read_now_ = loop_.now() + kReadNowInterval;
  fetch_.Cancel();
  Read(Milliseconds(0));
}

void KeyedFollower::SetPaused(bool paused) {
  paused_ = paused && caught_up_;
  if (!paused_ && std::exchange(idle_, false))
    ReadNext();
}

std::size_t KeyedFollower::MergePeerRecords(
    const std::vector<KeyedRecord>& records) {
  std::size_t merged = 0;
  for (const KeyedRecord& record : records)
    merged += Apply(record) ? 1 : 0;
  return merged;
}

void KeyedFollower::NoteRecordsAsOf(MonotonicTime time) {
  records_as_of_ = std::max(records_as_of_.value_or(time), time);
}

void KeyedFollower::OnAnswer() {
  const MonotonicTime previous_answer = last_answer_.value_or(started_);
  last_answer_ = loop_.now();
  retry_delay_ = Milliseconds(0);
  extra_timeout_ = Milliseconds(0);
  if (!std::exchange(log_lost_, false))
    return;
  sink_.OnLogRecovered(
      std::chrono::duration_cast<Milliseconds>(loop_.now() - previous_answer),
      loop_.now());
}

void KeyedFollower::OnFailure(const FetchOutcome& outcome,
                              std::string_view reason) {
  const auto elapsed =
      std::chrono::duration_cast<Milliseconds>(loop_.now() - request_sent_at_);
  LogEvent(LogLevel::kInfo, "log_read_failed",
           {{"stream", stream_.value()},
            {"from", next_.value()},
            {"reason", reason},
            {"received", outcome.received},
            {"ms", elapsed.count()}});
  if (!std::exchange(log_lost_, true))
    sink_.OnLogLost(reason);
  retry_delay_ = retry_delay_ == Milliseconds(0)
                     ? options_.initial_retry_delay
                     : std::min(options_.max_retry_delay, retry_delay_ * 2);
  if (!outcome.status && outcome.received == 0)
    ExtendTimeout();
  // Restarts the snapshot: the pages already read may be outdated when the log
  // is back.
  page_token_.reset();
  snapshot_end_.reset();
  snapshot_keys_.clear();
  ScheduleRead(retry_delay_, caught_up_ ? &KeyedFollower::ReadNext
                                        : &KeyedFollower::ReadPage);
}

void KeyedFollower::ExtendTimeout() {
  // A read must detect an unresponsive log within the time in which a change
  // must be in force.
  const Milliseconds max_extra =
      caught_up_ ? options_.timeout_margin : kMaxPageTimeout - kPageTimeout;
  const Milliseconds first =
      caught_up_ ? options_.timeout_margin : kPageTimeout;
  extra_timeout_ = std::min(max_extra, std::max(2 * extra_timeout_, first));
}

void KeyedFollower::ScheduleRead(Milliseconds wait,
                                 void (KeyedFollower::*read)()) {
  if (stopped_)
    return;
  idle_ = paused_ && caught_up_;
  if (idle_)
    return;
  timer_ =
      loop_.AddTimer(loop_.now() + wait, [this, read] { (this->*read)(); });
}

}  // namespace carobshift
