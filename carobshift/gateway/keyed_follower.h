// Follows a log stream that keeps the newest record of each key, by HTTP calls
// in the event loop.
//
//   KeyedFollower follower(loop, client, address, dialect, stream, options,
//                          sink);
//   follower.Start();
//
// It reads the newest records once, then every record from there on by reads
// that wait. What can go wrong, and what is done:
// - The connection goes silent. A read has a time limit a little above its
//   wait, so the silence is noticed and the read made anew. The next call has
//   more time, in case the log is slow and not silent.
// - The log has dropped the records that come next (compaction). The newest
//   records are read again; until they are there, what was known holds.
// - Pages of the newest records are no snapshot, and reading from their end
//   may tell a record twice or an older one after a newer. Records are taken
//   only in the order of their offsets, key by key.
// - The log turns this process away or is down. Reads go on at a slower pace,
//   and the sink is told of the loss and of the return.

#ifndef CAROBSHIFT_GATEWAY_KEYED_FOLLOWER_H_
#define CAROBSHIFT_GATEWAY_KEYED_FOLLOWER_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/gateway/dialect.h"
#include "carobshift/net/http_fetch.h"

namespace carobshift {

struct KeyedFollowerOptions {
  // How long a read waits for a record. Short enough that with the slack a
  // silent connection is noticed well within the time in which a change must be
  // in force.
  Milliseconds wait{800};
  // The same while another instance would tell that a record was written; the
  // log is called the less often.
  Milliseconds patient_wait{20000};
  Milliseconds slack{300};
  // Between two reads, so that a busy stream is read in batches: each call has
  // a price.
  Milliseconds pace{0};
  // After a failure; doubled up to the second.
  Milliseconds first_retry{100};
  Milliseconds longest_retry{800};
};

class KeyedFollowerSink {
 public:
  virtual ~KeyedFollowerSink() = default;
  // A record that is newer than all told of its key. False if nothing has
  // changed by it, as by a heartbeat; then other instances aren't told.
  virtual bool OnRecord(const KeyedRecord& record, MonotonicTime now) = 0;
  // All newest records were told; keys not in `present` are gone.
  virtual void OnSnapshot(const std::vector<std::string>& present,
                          MonotonicTime now) = 0;
  virtual void OnLogLost(std::string_view reason) = 0;
  // After `away` without an answer.
  virtual void OnLogBack(Milliseconds away, MonotonicTime now) = 0;
};

class KeyedFollower {
 public:
  KeyedFollower(EventLoop& loop,
                HttpClient& client,
                const NetAddress& log,
                const LogDialect& dialect,
                LogStream stream,
                const KeyedFollowerOptions& options,
                KeyedFollowerSink& sink);

  void Start();
  void Stop();

  // Whether any record is known, from the log or from another instance.
  [[nodiscard]] bool knows_any() const { return !newest_.empty(); }
  // Takes what another instance knows. Returns how many records were news.
  std::size_t Learn(const std::vector<KeyedRecord>& records);
  // The newest record of each key that has changed at `since` or later.
  [[nodiscard]] std::vector<KeyedRecord> ChangedSince(LogOffset since) const;
  // Another instance has told all changes before `next`, as the log answered it
  // at `answered`.
  void OnHeard(LogOffset next, MonotonicTime answered);
  // While resting it doesn't read the log, as another instance tells what
  // changes there. It rests only once it has read the newest records.
  void SetResting(bool resting);
  // While patient, reads wait for Options::patient_wait. A patient read that
  // brings nothing yet is begun anew when it ends.
  void SetPatient(bool patient);
  // Shortens the wait of a read; nothing for that of the options.
  void SetLongestWait(std::optional<Milliseconds> wait) {
    wait_ = std::min(options_.wait, wait.value_or(options_.wait));
  }

  // When the log last answered; nothing before the first answer.
  [[nodiscard]] std::optional<MonotonicTime> last_answer() const {
    return last_answer_;
  }
  [[nodiscard]] LogOffset next() const { return next_; }
  // Received from the log so far, also by reads that failed.
  [[nodiscard]] std::uint64_t bytes_read() const { return bytes_read_; }
  // The log is telling something now, however long it takes.
  [[nodiscard]] bool receiving() const { return fetch_.receiving(); }
  // Whether the newest records have been read once.
  [[nodiscard]] bool caught_up() const { return caught_up_; }

 private:
  struct Known {
    KeyedRecord record;
    // Where it last changed.
    LogOffset changed;
  };

  void ReadPage();
  void OnPage(const FetchOutcome& outcome);
  void ReadOn();
  // `from`: where the read began. Another instance's word may have moved next_
  // meanwhile, and the records count from where they were read.
  void OnBatch(const FetchOutcome& outcome, LogOffset from);
  void OnAnswer();
  void OnFailure(const FetchOutcome& outcome, std::string_view reason);
  // After a call without a single byte of an answer.
  void GiveMoreTime();
  void Again(Milliseconds wait, void (KeyedFollower::*read)());
  // False if it isn't newer than what was told of its key.
  bool Tell(const KeyedRecord& record);
  void NoteMissing();
  void ForgetOldRemovals();
  [[nodiscard]] FetchOptions CallOptions(Milliseconds wait) const;

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
  bool resting_ = false;
  bool patient_ = false;
  // Of the read that is under way.
  bool reads_patiently_ = false;
  // No read is under way or planned.
  bool idle_ = false;
  bool caught_up_ = false;
  bool lost_ = false;
  // Of the page being read.
  std::optional<std::string> after_;
  std::optional<LogOffset> snapshot_end_;
  std::vector<std::string> present_;
  LogOffset next_;
  std::map<std::string, Known> newest_;
  std::optional<MonotonicTime> last_answer_;
  MonotonicTime started_{};
  // Of the read that is under way.
  MonotonicTime asked_{};
  std::uint64_t bytes_read_ = 0;
  Milliseconds retry_{0};
  // Added to the time limit of a call.
  Milliseconds more_time_{0};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_KEYED_FOLLOWER_H_
