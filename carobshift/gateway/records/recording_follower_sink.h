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
  RecordEffect OnRecord(const KeyedRecord& record, MonotonicTime) override {
    records.push_back(record.key + "=" + record.value.value_or("(removed)"));
    return effect;
  }
  void OnSnapshot(const std::vector<std::string>& present,
                  MonotonicTime) override {
    snapshots.push_back(present);
  }
  void OnLogLost(std::string_view) override { ++lost; }
  void OnLogRecovered(Milliseconds, MonotonicTime) override { ++back; }

  std::vector<std::string> records;
  std::vector<std::vector<std::string>> snapshots;
  // The return value of OnRecord().
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
