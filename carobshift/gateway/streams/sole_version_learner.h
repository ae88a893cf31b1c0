// Learns from other instances which services have had one software version only
// since before this instance began to follow their records.
//
//   SoleVersionLearner learner(registry, directory);
//   learner.OnTick(config, now);
//
// Load pattern: all instances are restarted one after another, and each of them
// within the time that a stream may take. Then none has followed the records
// for long enough, and streams that callers take up again would be refused
// though there is no choice of versions. What one instance knows passes on to
// those that start while it runs; after a restart of all at once it is lost.
//
// Asks about the services of resumable routes, each at most once in kInterval,
// and only until this instance's own records reach back far enough.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_STREAMS_SOLE_VERSION_LEARNER_H_
#define CAROBSHIFT_GATEWAY_STREAMS_SOLE_VERSION_LEARNER_H_

#include "carobshift/gateway/endpoints/endpoint_registry.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/gateway/streams/stream_directory.h"

namespace carobshift {

class SoleVersionLearner {
 public:
  static constexpr Milliseconds kInterval{1000};

  // Both must outlive this object.
  SoleVersionLearner(EndpointRegistry& registry, StreamDirectory& directory)
      : registry_(registry), directory_(directory) {}

  // Call at short intervals while the records of endpoints are current. `span`
  // is the longest that a stream may have been under way.
  void OnTick(const ServingConfig& config,
              Milliseconds span,
              MonotonicTime now);

 private:
  void Ask(const SoleVersionQuestion& question, MonotonicTime now);

  EndpointRegistry& registry_;
  StreamDirectory& directory_;
  MonotonicTime next_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_STREAMS_SOLE_VERSION_LEARNER_H_
