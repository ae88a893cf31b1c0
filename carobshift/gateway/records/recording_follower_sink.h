// For tests: records the notifications of a KeyedFollower in order.
//
//   RecordingFollowerSink sink;
//   KeyedFollower follower(loop, client, log.address(), dialect, stream,
//                          QuickFollowerOptions(), sink);
//   CHECK(sink.records == std::vector<std::string>{"a=1", "b=(removed)"});

#ifndef CAROBSHIFT_GATEWAY_RECORDS_RECORDING_FOLLOWER_SINK_H_
#define CAROBSHIFT_GATEWAY_RECORDS_RECORDING_FOLLOWER_SINK_H_

#include <string>
#include <string_view>
#include <vector>

#include "carobshift/gateway/records/keyed_follower.h"

namespace carobshift {

class RecordingFollowerSink : public KeyedFollowerSink {
 public:
  RecordEffect OnRecord(const KeyedRecord& record, MonotonicTime now) override {
    records.push_back(record.key + "=" + record.value.value_or("(removed)"));
    return forward == nullptr ? effect : forward->OnRecord(record, now);
  }
  void OnSnapshot(const std::vector<std::string>& present,
                  MonotonicTime now) override {
    snapshots.push_back(present);
    if (forward != nullptr)
      forward->OnSnapshot(present, now);
  }
  void OnLogLost(std::string_view reason) override {
    ++lost;
    if (forward != nullptr)
      forward->OnLogLost(reason);
  }
  void OnLogRecovered(Milliseconds outage, MonotonicTime now) override {
    ++back;
    if (forward != nullptr)
      forward->OnLogRecovered(outage, now);
  }

  std::vector<std::string> records;
  std::vector<std::vector<std::string>> snapshots;
  // Told of all as well, if set.
  KeyedFollowerSink* forward = nullptr;
  // The return value of OnRecord() without `forward`.
  RecordEffect effect = RecordEffect::kChanged;
  int lost = 0;
  int back = 0;
};

// Short timeouts, with which an unresponsive log is detected within a fifth of
// a second.
inline KeyedFollowerOptions QuickFollowerOptions() {
  KeyedFollowerOptions options;
  options.wait = Milliseconds(100);
  options.timeout_margin = Milliseconds(100);
  options.min_read_interval = Milliseconds(10);
  options.initial_retry_delay = Milliseconds(20);
  options.max_retry_delay = Milliseconds(40);
  return options;
}

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_RECORDS_RECORDING_FOLLOWER_SINK_H_
