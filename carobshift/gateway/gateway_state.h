// What the operator and the endpoints have written, applied to the tables by
// which requests are served.
//
//   OperatorRecords operators(dialects.log, listener);
//   KeyedFollower follower(..., operators);
//   EndpointRecords endpoints(dialects.log, registry, listener);

#ifndef CAROBSHIFT_GATEWAY_GATEWAY_STATE_H_
#define CAROBSHIFT_GATEWAY_GATEWAY_STATE_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/endpoint_registry.h"
#include "carobshift/gateway/keyed_follower.h"
#include "carobshift/gateway/serving_config.h"

namespace carobshift {

// When weights were named.
enum class NamingTime {
  // Just now: the record came while the log was being followed.
  kJustNow,
  // At any time before this process had read the newest records once, or while
  // it didn't hear the log.
  kUnknown,
};

// Who wants to know of changes.
struct GatewayStateListener {
  std::function<void(std::shared_ptr<const ConfigInForce>)> on_config;
  std::function<void(const NamedWeights&, NamingTime)> on_weights;
  std::function<void()> on_endpoints;
};

// Configuration and named weights. A configuration with a number that isn't
// higher than the one in force is left out, so that none is ever taken back.
class OperatorRecords : public KeyedFollowerSink {
 public:
  // After an absence, for which records that were missed may still come: two
  // calls with their longest wait.
  static constexpr Milliseconds kCatchUp{2000};

  OperatorRecords(const LogDialect& dialect,
                  const GatewayStateListener& listener)
      : dialect_(dialect), listener_(listener) {}

  bool OnRecord(const KeyedRecord& record, MonotonicTime now) override;
  void OnSnapshot(const std::vector<std::string>&, MonotonicTime) override {
    caught_up_ = true;
  }
  void OnLogLost(std::string_view reason) override;
  void OnLogBack(Milliseconds away, MonotonicTime now) override;
  // This process was suspended, or held up, until `now`.
  void OnGap(MonotonicTime now) { missed_until_ = now + kCatchUp; }

  [[nodiscard]] const std::shared_ptr<const ConfigInForce>& config() const {
    return config_;
  }

 private:
  void Apply(ServingConfig config, LogOffset offset);

  const LogDialect& dialect_;
  const GatewayStateListener& listener_;
  std::shared_ptr<const ConfigInForce> config_;
  // Whether the record that comes now was written just now.
  [[nodiscard]] bool Follows(MonotonicTime now) const {
    return caught_up_ && !lost_ && now >= missed_until_;
  }

  bool caught_up_ = false;
  bool lost_ = false;
  // Records that come before this may have been written during an absence.
  MonotonicTime missed_until_{};
};

// The endpoints' own records.
class EndpointRecords : public KeyedFollowerSink {
 public:
  // An absence of the log that is longer than this may have let entries run
  // out: they do after three heartbeats.
  static constexpr Milliseconds kNoticeableAbsence{1500};

  EndpointRecords(const LogDialect& dialect,
                  EndpointRegistry& registry,
                  const GatewayStateListener& listener)
      : dialect_(dialect), registry_(registry), listener_(listener) {}

  bool OnRecord(const KeyedRecord& record, MonotonicTime now) override;
  void OnSnapshot(const std::vector<std::string>& present,
                  MonotonicTime now) override;
  void OnLogLost(std::string_view reason) override;
  void OnLogBack(Milliseconds away, MonotonicTime now) override;
  void Expire(MonotonicTime now);

 private:
  // What happens to an entry that is missing depends on when the log came
  // back. True if the registry changed.
  bool Remove(const EndpointId& id, MonotonicTime now);

  const LogDialect& dialect_;
  EndpointRegistry& registry_;
  const GatewayStateListener& listener_;
  // The log's last return after a noticeable absence. Entries that are missing
  // within EndpointRegistry::kReturnGrace from then on may be back any moment.
  std::optional<MonotonicTime> returned_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_GATEWAY_STATE_H_
