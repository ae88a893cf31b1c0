// The streams that this instance was told of, and those that it began: where
// each may go on.
//
//   StreamTable table;
//   table.Put(record, now);
//   const StreamEvidence known = table.Find(key, now);
//   table.Expire(now);
//
// Bounded in number and age: a record is kept for its life, which is at most
// kMaxLife, and the oldest one yields when kMaxStreams are held.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_STREAMS_STREAM_TABLE_H_
#define CAROBSHIFT_GATEWAY_STREAMS_STREAM_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "carobshift/gateway/streams/stream_beginning.h"

namespace carobshift {

class StreamTable {
 public:
  // Ten times the streams of an instance in a deployment of 420 instances with
  // 45,000 streams a second that last 15 s, each held by four instances.
  static constexpr std::size_t kMaxStreams = 65'536;
  static constexpr Milliseconds kMaxLife{120'000};

  explicit StreamTable(std::size_t max_streams = kMaxStreams)
      : max_streams_(max_streams) {}

  void Put(const StreamRecord& record, MonotonicTime now);
  // Returns empty evidence if the stream isn't known.
  [[nodiscard]] StreamEvidence Find(StreamKey key, MonotonicTime now) const;
  void Expire(MonotonicTime now);
  // Returns all records that are still alive and not contradictory, with the
  // rest of their lives.
  [[nodiscard]] std::vector<StreamRecord> All(MonotonicTime now) const;

  [[nodiscard]] std::size_t size() const { return streams_.size(); }
  // Number of records that yielded to newer ones before their lives ended.
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  struct Entry {
    StreamEvidence evidence;
    MonotonicTime expires{};
  };
  struct KeyHash {
    std::size_t operator()(StreamKey key) const { return key.value(); }
  };

  void DropOldest();

  const std::size_t max_streams_;
  std::unordered_map<StreamKey, Entry, KeyHash> streams_;
  // In the order in which they became known; may hold keys that are gone.
  std::deque<StreamKey> order_;
  std::uint64_t dropped_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_STREAMS_STREAM_TABLE_H_
