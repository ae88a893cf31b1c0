// KeyedFollower follows a log stream that keeps the newest record of each key.
// It reads by HTTP calls in the event loop.
//
//   KeyedFollower follower(loop, client, address, dialect, stream, options,
//                          sink);
//   follower.Start();
//
// It reads a snapshot of the newest records once, then every later record by
// long-poll reads. Failures and how they are handled:
// - The connection becomes unresponsive. A read has a timeout slightly above
//   its wait, so this is detected and the read repeated. The next call has a
//   longer timeout, in case the log is slow rather than unresponsive.
// - The log has dropped the next records (compaction). The snapshot is read
//   again; until it is complete, the known records remain valid.
// - Pages of the newest records are not an atomic snapshot, and reading from
//   their end may return a record twice or an older one after a newer one. For
//   each key, records are applied only in offset order.
// - The log refuses this process or is down. Reads continue at a lower rate,
//   and the sink is told of the loss and of the recovery.

#ifndef CAROBSHIFT_GATEWAY_RECORDS_KEYED_FOLLOWER_H_
#define CAROBSHIFT_GATEWAY_RECORDS_KEYED_FOLLOWER_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/gateway/dialect.h"
#include "carobshift/net/http_fetch.h"

namespace carobshift {

struct KeyedFollowerOptions {
  // How long a read waits for a record. Short enough that, together with the
  // timeout margin, an unresponsive connection is detected well within the time
  // in which a change must be in force.
  Milliseconds wait{800};
  // The wait while another instance would report a new record. The longer wait
  // reduces the number of calls to the log.
  Milliseconds long_poll_wait{20000};
  Milliseconds timeout_margin{300};
  // Minimum interval between two reads. A busy stream is then read in batches,
  // since each call costs money.
  Milliseconds min_read_interval{0};
  // Retry delay after a failure; doubled up to max_retry_delay.
  Milliseconds initial_retry_delay{100};
  Milliseconds max_retry_delay{800};
};

// What a record has done to the state of its reader.
enum class RecordEffect {
  // Other instances are sent the record.
  kChanged,
  // Nothing, as with a heartbeat. Other instances are not sent it.
  kUnchanged,
  // Nothing, as its writer had sent it before one that was written earlier.
  // Other instances are sent the earlier one, and at no time this one.
  kOutOfDate,
};

class KeyedFollowerSink {
 public:
  virtual ~KeyedFollowerSink() = default;
  // Receives a record that is newer, by its offset, than any previous one of
  // its key.
  virtual RecordEffect OnRecord(const KeyedRecord& record,
                                MonotonicTime now) = 0;
  // Called when the snapshot is complete. Keys that are not in `present` are
  // gone. `present` includes keys of newer records that peers have supplied.
  virtual void OnSnapshot(const std::vector<std::string>& present,
                          MonotonicTime now) = 0;
  virtual void OnLogLost(std::string_view reason) = 0;
  // Called when the log answers again, `outage` after its last answer.
  virtual void OnLogRecovered(Milliseconds outage, MonotonicTime now) = 0;
};

class KeyedFollower {
 public:
  // Calls of the log cost money.
  static constexpr Milliseconds kReadNowInterval{300};

  KeyedFollower(EventLoop& loop,
                HttpClient& client,
                const NetAddress& log,
                const LogDialect& dialect,
                LogStream stream,
                const KeyedFollowerOptions& options,
                KeyedFollowerSink& sink);

  void Start();
  void Stop();

  // Returns whether any record is known, from the log or a peer.
  [[nodiscard]] bool has_records() const { return !newest_.empty(); }
  // Merges records from a peer. Returns how many of them were new.
  std::size_t MergePeerRecords(const std::vector<KeyedRecord>& records);
  // Returns the newest record of each key that changed at offset `since` or
  // later. Lacks removals if `since` is before complete_since().
  [[nodiscard]] std::vector<KeyedRecord> ChangedSince(LogOffset since) const;
  // A peer has supplied all changes before `next`. The log last answered the
  // peer at `answered`, and the peer's records are as of `records_as_of`.
  void OnPeerAnswer(LogOffset next,
                    MonotonicTime answered,
                    MonotonicTime records_as_of);
  // While paused, the follower does not read the log, because another instance
  // supplies the changes. It pauses only after it has read the snapshot.
  void SetPaused(bool paused);
  // In long-poll mode reads wait for KeyedFollowerOptions::long_poll_wait.
  // Turning the mode off restarts a read in flight that has received nothing
  // yet.
  void SetLongPoll(bool long_poll);
  // Ends the wait of a read in flight that has received nothing yet, so that
  // the log answers at once with what it has. For a decision that needs records
  // of the present. Does nothing within kReadNowInterval of the last time.
  void ReadNow();
  // Shortens the wait of a read; nullopt restores the configured wait.
  void SetMaxWait(std::optional<Milliseconds> wait) {
    wait_ = std::min(options_.wait, wait.value_or(options_.wait));
  }

  // When the log last answered; nullopt before the first answer.
  [[nodiscard]] std::optional<MonotonicTime> last_answer() const {
    return last_answer_;
  }
  // All records that the log held at this time are known; nullopt before the
  // first snapshot. An answer that was on its way while this process stood
  // still tells nothing of that time.
  [[nodiscard]] std::optional<MonotonicTime> records_as_of() const {
    return records_as_of_;
  }
  [[nodiscard]] LogOffset next() const { return next_; }
  // All removals from this offset on are known. Keys that came and went before
  // the last snapshot, unread, have never been known, and old removals are
  // forgotten.
  [[nodiscard]] LogOffset complete_since() const { return complete_since_; }
  // Bytes received from the log so far, including failed reads.
  [[nodiscard]] std::uint64_t bytes_read() const { return bytes_read_; }
  // Returns whether an answer from the log is being received at the moment,
  // however long it takes.
  [[nodiscard]] bool receiving() const { return fetch_.receiving(); }
  // Returns whether a snapshot has been read completely.
  [[nodiscard]] bool caught_up() const { return caught_up_; }

 private:
  struct Known {
    KeyedRecord record;
    // Offset of its last change.
    LogOffset changed;
  };

  void ReadPage();
  void OnPage(const FetchOutcome& outcome);
  void ReadNext();
  // Reads what follows; the log waits for as long if there is nothing.
  void Read(Milliseconds wait);
  // `from` is the offset at which the read began. A peer's answer may have
  // advanced next_ meanwhile, and the records are numbered from `from`.
  void OnBatch(const FetchOutcome& outcome, LogOffset from);
  void OnAnswer();
  void NoteRecordsAsOf(MonotonicTime time);
  void OnFailure(const FetchOutcome& outcome, std::string_view reason);
  // Extends the timeout after a call that received no byte of an answer.
  void ExtendTimeout();
  void ScheduleRead(Milliseconds wait, void (KeyedFollower::*read)());
  // Applies a record. Returns false if it is not newer than the known record of
  // its key.
  bool Apply(const KeyedRecord& record);
  void MarkMissingRemoved();
  [[nodiscard]] std::vector<std::string> PresentKeys() const;
  void PruneTombstones();
  [[nodiscard]] FetchOptions ReadOptions(Milliseconds wait) const;

  EventLoop& loop_;
  HttpClient& client_;
  NetAddress log_;
  const LogDialect& dialect_;
  LogStream stream_;
  KeyedFollowerOptions options_;
  KeyedFollowerSink& sink_;
  HttpFetch fetch_;
  TimerId timer_;
  Milliseconds wait_;
  bool stopped_ = false;
  bool paused_ = false;
  bool long_poll_ = false;
  // State of the read in flight.
  Milliseconds wait_in_flight_{0};
  MonotonicTime next_read_now_{};
  // True if no read is in flight or scheduled.
  bool idle_ = false;
  bool caught_up_ = false;
  bool log_lost_ = false;
  // State of the snapshot being read.
  std::optional<std::string> page_token_;
  std::optional<LogOffset> snapshot_end_;
  std::vector<std::string> snapshot_keys_;
  LogOffset next_;
  LogOffset complete_since_;
  std::map<std::string, Known> newest_;
  std::optional<MonotonicTime> last_answer_;
  // When the first page of the snapshot in progress was asked for.
  MonotonicTime snapshot_sent_at_{};
  std::optional<MonotonicTime> records_as_of_;
  MonotonicTime started_{};
  // State of the read in flight.
  MonotonicTime request_sent_at_{};
  std::uint64_t bytes_read_ = 0;
  Milliseconds retry_delay_{0};
  // Added to the timeout of a call.
  Milliseconds extra_timeout_{0};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_RECORDS_KEYED_FOLLOWER_H_
