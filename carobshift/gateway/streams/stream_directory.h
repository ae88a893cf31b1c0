// Answers where a stream began, at any instance.
//
//   directory.Publish(record);
//   directory.Find(key, question, [](const StreamLookup& lookup) { ... });
//   directory.FindSoleVersion(question, [](const auto& version, auto now) {});

#ifndef CAROBSHIFT_GATEWAY_STREAMS_STREAM_DIRECTORY_H_
#define CAROBSHIFT_GATEWAY_STREAMS_STREAM_DIRECTORY_H_

#include <functional>
#include <optional>
#include <string_view>

#include "carobshift/gateway/streams/stream_beginning.h"

namespace carobshift {

// From where it is known, for logs and metrics.
enum class StreamSource {
  kUnknown,
  // This instance's own table.
  kOwnTable,
  // Another instance answered.
  kPeer,
  // The request was handed over, and the other instance knew it.
  kHandoff,
  // The service has had one software version only for long enough.
  kSoleVersion,
};

[[nodiscard]] std::string_view StreamSourceName(StreamSource source);

struct StreamLookup {
  // nullopt if no instance that answered knows.
  std::optional<StreamBeginning> beginning{};
  StreamSource source = StreamSource::kUnknown;
  // The only version that the service has had for longer than a stream lives,
  // if an instance that answered can say that.
  std::optional<SoftwareVersion> sole_version{};
};

// Whether a service has had one software version only.
struct SoleVersionQuestion {
  ServiceName service;
  // For how long, up to now.
  Milliseconds span{0};
};

class StreamDirectory {
 public:
  virtual ~StreamDirectory() = default;
  // Records where a stream begins, before its first event leaves for the
  // caller.
  virtual void Publish(const StreamRecord& record) = 0;
  using Done = std::function<void(const StreamLookup&)>;
  // Calls `done` with what is known of a stream that a route to
  // `question.service` continues, at once if it is known here.
  virtual void Find(StreamKey key,
                    const SoleVersionQuestion& question,
                    Done done) = 0;
  using SoleVersionDone =
      std::function<void(const std::optional<SoftwareVersion>& sole_version,
                         MonotonicTime now)>;
  // Asks other instances only, and calls `done` with what they say, or with
  // nullopt if none of them can say it.
  virtual void FindSoleVersion(const SoleVersionQuestion& question,
                               SoleVersionDone done) = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_STREAMS_STREAM_DIRECTORY_H_
