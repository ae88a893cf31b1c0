// A fake of one log stream in virtual time with fault injection: outages,
// delays, replies that are lost after the append took effect, appends that take
// effect long after their writer timed out, and retention by age.
//
//   FakeLog log(simulation, Seconds(30));
//   log.faults().down = true;
//   log.Append(payload, [](Result<LogOffset> reply) { ... });

#ifndef CAROBSHIFT_FUZZ_FAKE_LOG_H_
#define CAROBSHIFT_FUZZ_FAKE_LOG_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "carobshift/base/result.h"
#include "carobshift/external/log_service.h"
#include "fuzz/simulation.h"

namespace carobshift {

struct LogFaults {
  bool down = false;
  // Reads fail while appends still succeed.
  bool reads_down = false;
  Milliseconds max_delay{10};
  double lost_reply_probability = 0;
  double late_append_probability = 0;
};

class FakeLog {
 public:
  using AppendReply = std::function<void(const Result<LogOffset>&)>;
  using ReadReply = std::function<void(const Result<LogBatch>&)>;

  FakeLog(Simulation& simulation, Milliseconds retention)
      : simulation_(simulation), retention_(retention) {}

  [[nodiscard]] LogFaults& faults() { return faults_; }
  // Fails all requests, or only reads, for `time`.
  void GoDown(Milliseconds time) {
    faults_.down = true;
    simulation_.After(time, [this] { faults_.down = false; });
  }
  void StopReads(Milliseconds time) {
    faults_.reads_down = true;
    simulation_.After(time, [this] { faults_.reads_down = false; });
  }
  // Delays replies, or loses replies and delays appends, until the faults are
  // reset.
  void SlowDown(Milliseconds max_delay_limit) {
    faults_.max_delay =
        simulation_.random().Between(Milliseconds(5), max_delay_limit);
  }
  void LoseReplies(double probability) {
    faults_.lost_reply_probability = probability;
    faults_.late_append_probability = 0.1;
  }
  // All records ever appended, including those dropped by retention.
  [[nodiscard]] const std::vector<std::string>& all() const { return records_; }

  void Append(std::string payload, AppendReply reply) {
    const bool late =
        simulation_.random().Chance(faults_.late_append_probability);
    const bool lost =
        simulation_.random().Chance(faults_.lost_reply_probability);
    if (late || lost)
      simulation_.After(kTimeout, [reply] {
        reply(Error{ResultCode::kLogOutcomeUnknown, "no reply"});
      });
    const Milliseconds arrival = late ? kTimeout * 4 : Delay();
    simulation_.After(arrival, [this, payload = std::move(payload),
                                replies = !late && !lost, reply] {
      const bool down = faults_.down;
      if (!down) {
        records_.push_back(payload);
        append_times_.push_back(simulation_.now());
      }
      if (!replies)
        return;
      const LogOffset offset(records_.size() - 1);
      simulation_.After(Delay(), [reply, down, offset] {
        if (down)
          reply(Error{ResultCode::kLogUnavailable, "down"});
        else
          reply(offset);
      });
    });
  }

  void Read(LogOffset from, std::size_t max_records, ReadReply reply) {
    simulation_.After(Delay(), [this, from, max_records, reply] {
      if (faults_.down || faults_.reads_down) {
        reply(Error{ResultCode::kLogUnavailable, "down"});
        return;
      }
      const LogBatch batch = MakeBatch(from.value(), max_records);
      simulation_.After(Delay(), [reply, batch] { reply(batch); });
    });
  }

 private:
  static constexpr Milliseconds kTimeout{500};

  Milliseconds Delay() {
    return simulation_.random().Between(Milliseconds(1), faults_.max_delay);
  }

  LogBatch MakeBatch(std::uint64_t from, std::size_t max_records) {
    while (first_retained_ < append_times_.size() &&
           append_times_[first_retained_] + retention_ < simulation_.now())
      ++first_retained_;
    LogBatch batch;
    batch.first_retained = LogOffset(first_retained_);
    std::uint64_t at = std::max(from, first_retained_);
    for (; at < records_.size() && batch.records.size() < max_records; ++at)
      batch.records.push_back({LogOffset(at), records_[at]});
    batch.next = LogOffset(at);
    return batch;
  }

  Simulation& simulation_;
  Milliseconds retention_;
  LogFaults faults_;
  std::vector<std::string> records_;
  std::vector<MonotonicTime> append_times_;
  std::uint64_t first_retained_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_FUZZ_FAKE_LOG_H_
