#include "carobshift/gateway/keyed_follower.h"

#include <algorithm>
#include <set>
#include <utility>

#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

// Answers without waiting take some milliseconds; under a slow log some
// hundreds.
constexpr Milliseconds kPageTimeout{1500};
constexpr Milliseconds kConnectTimeout{400};
// A call that was made while the log was silent never ends, and the list must
// be there soon after the log is back.
constexpr Milliseconds kMostTimeForPage{2000};
// Between two answers of the log to those that tell of it; beyond it entries
// may have run out unseen.
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

FetchOptions KeyedFollower::CallOptions(Milliseconds wait) const {
  FetchOptions options;
  options.call.connect_timeout = kConnectTimeout;
  options.timeout = wait + more_time_;
  return options;
}

void KeyedFollower::ReadPage() {
  if (stopped_)
    return;
  asked_ = loop_.now();
  reads_patiently_ = false;
  fetch_.Start(
      client_, loop_, log_,
      SerializeRequest(dialect_.EncodeNewest(stream_, after_), log_, ""),
      CallOptions(kPageTimeout),
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
  // The first page's end: what is written while later pages are read lies
  // behind it and is read after them.
  if (!snapshot_end_)
    snapshot_end_ = page.value().end;
  for (const KeyedRecord& record : page.value().records) {
    present_.push_back(record.key);
    Tell(record);
  }
  after_ = page.value().more_after;
  if (after_) {
    ReadPage();
    return;
  }
  next_ = *std::exchange(snapshot_end_, std::nullopt);
  caught_up_ = true;
  NoteMissing();
  sink_.OnSnapshot(std::exchange(present_, {}), loop_.now());
  ReadOn();
}

void KeyedFollower::ReadOn() {
  if (stopped_)
    return;
  asked_ = loop_.now();
  const LogOffset from = next_;
  reads_patiently_ = patient_;
  const Milliseconds wait = patient_ ? options_.patient_wait : wait_;
  fetch_.Start(
      client_, loop_, log_,
      SerializeRequest(dialect_.EncodeRead(stream_, next_, wait), log_, ""),
      CallOptions(wait + options_.slack),
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
      Tell(keyed.value());
    } else {
      LogEvent(
          LogLevel::kWarning, "log_record_unreadable",
          {{"stream", stream_.value()}, {"offset", record.offset.value()}});
    }
  }
  next_ = std::max(next_, batch.value().next);
  const auto passed =
      std::chrono::duration_cast<Milliseconds>(loop_.now() - asked_);
  Again(std::max(Milliseconds(0), options_.pace - passed),
        &KeyedFollower::ReadOn);
}

bool KeyedFollower::Tell(const KeyedRecord& record) {
  const auto [found, first] =
      newest_.emplace(record.key, Known{record, record.offset});
  Known& known = found->second;
  if (!first) {
    if (record.offset <= known.record.offset)
      return false;
    known.record = record;
  }
  if (sink_.OnRecord(record, loop_.now()))
    known.changed = record.offset;
  if (!record.value)
    ForgetOldRemovals();
  return true;
}

// Keys that the newest records lack were removed while nothing was read.
void KeyedFollower::NoteMissing() {
  const std::set<std::string> present(present_.begin(), present_.end());
  const LogOffset last(next_.value() == 0 ? 0 : next_.value() - 1);
  for (auto& [key, known] : newest_) {
    if (present.contains(key) || known.record.offset > last)
      continue;
    known.record.value.reset();
    known.record.offset = last;
    // Whoever has heard of all before next_ has not heard of this.
    known.changed = next_;
  }
}

// Keys that were removed are remembered so that no peer brings them back; after
// kRemovalsKept further records of the stream every peer has heard of it.
void KeyedFollower::ForgetOldRemovals() {
  constexpr std::uint64_t kRemovalsKept = 5000;
  std::erase_if(newest_, [this](const auto& entry) {
    const KeyedRecord& record = entry.second.record;
    return !record.value &&
           record.offset.value() + kRemovalsKept < next_.value();
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

void KeyedFollower::OnHeard(LogOffset next, MonotonicTime answered) {
  next_ = std::max(next_, next);
  const MonotonicTime before = last_answer_.value_or(started_);
  if (answered <= before)
    return;
  last_answer_ = answered;
  const auto away = std::chrono::duration_cast<Milliseconds>(answered - before);
  if (!lost_ && away < kNoticeableGap)
    return;
  if (!std::exchange(lost_, false))
    sink_.OnLogLost("no instance tells of it");
  sink_.OnLogBack(away, loop_.now());
}

void KeyedFollower::SetPatient(bool patient) {
  patient_ = patient;
  if (patient_ || !reads_patiently_ || !fetch_.active() || fetch_.receiving())
    return;
  fetch_.Cancel();
  ReadOn();
}

void KeyedFollower::SetResting(bool resting) {
  resting_ = resting && caught_up_;
  if (!resting_ && std::exchange(idle_, false))
    ReadOn();
}

std::size_t KeyedFollower::Learn(const std::vector<KeyedRecord>& records) {
  std::size_t learnt = 0;
  for (const KeyedRecord& record : records)
    learnt += Tell(record) ? 1 : 0;
  return learnt;
}

void KeyedFollower::OnAnswer() {
  const MonotonicTime before = last_answer_.value_or(started_);
  last_answer_ = loop_.now();
  retry_ = Milliseconds(0);
  more_time_ = Milliseconds(0);
  if (!std::exchange(lost_, false))
    return;
  sink_.OnLogBack(
      std::chrono::duration_cast<Milliseconds>(loop_.now() - before),
      loop_.now());
}

void KeyedFollower::OnFailure(const FetchOutcome& outcome,
                              std::string_view reason) {
  const auto passed =
      std::chrono::duration_cast<Milliseconds>(loop_.now() - asked_);
  LogEvent(LogLevel::kInfo, "log_read_failed",
           {{"stream", stream_.value()},
            {"from", next_.value()},
            {"reason", reason},
            {"received", outcome.received},
            {"ms", passed.count()}});
  if (!std::exchange(lost_, true))
    sink_.OnLogLost(reason);
  retry_ = retry_ == Milliseconds(0)
               ? options_.first_retry
               : std::min(options_.longest_retry, retry_ * 2);
  if (!outcome.status && outcome.received == 0)
    GiveMoreTime();
  // Pages begin anew: what was read of them may be outdated when the log is
  // back.
  after_.reset();
  snapshot_end_.reset();
  present_.clear();
  Again(retry_, caught_up_ ? &KeyedFollower::ReadOn : &KeyedFollower::ReadPage);
}

void KeyedFollower::GiveMoreTime() {
  // A read must notice a silent log within the time in which a change must be
  // in force.
  const Milliseconds most =
      caught_up_ ? options_.slack : kMostTimeForPage - kPageTimeout;
  const Milliseconds first = caught_up_ ? options_.slack : kPageTimeout;
  more_time_ = std::min(most, std::max(2 * more_time_, first));
}

void KeyedFollower::Again(Milliseconds wait, void (KeyedFollower::*read)()) {
  if (stopped_)
    return;
  idle_ = resting_ && caught_up_;
  if (idle_)
    return;
  timer_ =
      loop_.AddTimer(loop_.now() + wait, [this, read] { (this->*read)(); });
}

}  // namespace carobshift
