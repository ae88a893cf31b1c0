// Where a stream began, as instances tell each other. A caller whose stream
// broke may take it up at any instance and names only its own earlier request;
// the stream must go on at the software version that began it.
//
//   StreamEvidence evidence;
//   evidence.Merge({service, SoftwareVersion("v1")});
//   if (const auto beginning = evidence.beginning()) ...

#ifndef CAROBSHIFT_GATEWAY_STREAMS_STREAM_BEGINNING_H_
#define CAROBSHIFT_GATEWAY_STREAMS_STREAM_BEGINNING_H_

#include <cstdint>
#include <optional>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

// A digest of the client account and the id of the request that began the
// stream. It contains the account, so that a request of one account learns
// nothing of another's streams by naming their ids.
using StreamKey = StrongType<struct StreamKeyTag, std::uint64_t>;

// `account` is nullopt for a caller without an account.
[[nodiscard]] StreamKey StreamKeyOf(const std::optional<AccountId>& account,
                                    const RequestId& request);

struct StreamBeginning {
  ServiceName service;
  SoftwareVersion software;

  friend bool operator==(const StreamBeginning&,
                         const StreamBeginning&) = default;
};

// What is known of one stream. Statements may be merged in any order and more
// than once.
class StreamEvidence {
 public:
  void Merge(const StreamBeginning& beginning);
  void Merge(const StreamEvidence& other);
  // Returns nullopt if nothing is known, or if statements contradict each other
  // because the caller has used one id for two streams.
  [[nodiscard]] std::optional<StreamBeginning> beginning() const {
    return contradictory_ ? std::nullopt : stated_;
  }
  [[nodiscard]] bool contradictory() const { return contradictory_; }

  [[nodiscard]] static StreamEvidence Contradictory();

 private:
  std::optional<StreamBeginning> stated_;
  bool contradictory_ = false;
};

// What one instance tells others about a stream.
struct StreamRecord {
  StreamKey key;
  StreamBeginning beginning;
  // For how long the caller may take the stream up again.
  Milliseconds life{0};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_STREAMS_STREAM_BEGINNING_H_
