// Applies the log records of the operator and of the endpoints to the
// configuration and to the endpoint registry.
//
//   OperatorRecords operators(dialects.log, evacuations, listener);
//   KeyedFollower follower(..., operators);
//   EndpointRecords endpoints(dialects.log, registry, listener);

#ifndef CAROBSHIFT_GATEWAY_GATEWAY_STATE_H_
#define CAROBSHIFT_GATEWAY_GATEWAY_STATE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/endpoints/endpoint_registry.h"
#include "carobshift/gateway/endpoints/zone_evacuations.h"
#include "carobshift/gateway/records/keyed_follower.h"
#include "carobshift/gateway/serving_config.h"

namespace carobshift {

// When the operator named weights.
enum class NamingAge {
  // The record arrived while the log was being followed, so that it has just
  // been written.
  kJustNow,
  // The record may be of any age: it arrived before the first snapshot was
  // complete, during an outage of the log, or shortly after one.
  kUnknown,
};

// Callbacks for changes.
struct GatewayStateListener {
  std::function<void(std::shared_ptr<const ServingConfigSnapshot>)> on_config;
  std::function<void(const NamedWeights&, NamingAge)> on_weights;
  std::function<void()> on_endpoints;
  // The evacuation of a zone has begun or ended.
  std::function<void(const ZoneName&, bool evacuated)> on_evacuation;
  // An endpoint's record has arrived that states that the endpoint is cold.
  std::function<void(const EndpointRecord&)> on_cold_endpoint;
};

// Applies configurations, named weights and evacuations. Ignores a
// configuration whose number isn't higher than the one in force, so that a
// configuration is never reverted.
class OperatorRecords : public KeyedFollowerSink {
 public:
  // Time after an outage or a process pause in which records written meanwhile
  // may still arrive: two calls with their longest wait.
  static constexpr Milliseconds kCatchUpTime{2000};

  OperatorRecords(const LogDialect& dialect,
                  ZoneEvacuations& evacuations,
                  const GatewayStateListener& listener)
      : dialect_(dialect), evacuations_(evacuations), listener_(listener) {}

  bool OnRecord(const KeyedRecord& record, MonotonicTime now) override;
  void OnSnapshot(const std::vector<std::string>& present,
                  MonotonicTime now) override;
  void OnLogLost(std::string_view reason) override;
  void OnLogRecovered(Milliseconds away, MonotonicTime now) override;
  // This process was suspended or delayed until `now`.
  void OnProcessPause(MonotonicTime now) {
    catching_up_until_ = now + kCatchUpTime;
  }

  [[nodiscard]] const std::shared_ptr<const ServingConfigSnapshot>& config()
      const {
    return config_;
  }

 private:
  void SetEvacuated(const ZoneName& zone, bool evacuated, MonotonicTime now);
  void Apply(ServingConfig config, LogOffset offset);

  const LogDialect& dialect_;
  ZoneEvacuations& evacuations_;
  const GatewayStateListener& listener_;
  std::shared_ptr<const ServingConfigSnapshot> config_;
  // True if a record that arrives at `now` has just been written.
  [[nodiscard]] bool IsFollowing(MonotonicTime now) const {
    return snapshot_read_ && !log_lost_ && now >= catching_up_until_;
  }

  bool snapshot_read_ = false;
  bool log_lost_ = false;
  // Records that arrive before this time may have been written during an
  // outage.
  MonotonicTime catching_up_until_{};
};

// Applies the endpoints' own records to the registry.
class EndpointRecords : public KeyedFollowerSink {
 public:
  // Entries may have expired during an outage of the log of at least this
  // length: an entry expires after three missed heartbeats.
  static constexpr Milliseconds kEntryExpiryOutage{1500};

  // Beyond this number, endpoints are forgotten that are gone for long.
  static constexpr std::size_t kMaxListed = 4096;

  // A snapshot that is read until `shows_all_until` shows all endpoints that
  // there ever were, as the deployment has just started for the first time.
  EndpointRecords(const LogDialect& dialect,
                  EndpointRegistry& registry,
                  const GatewayStateListener& listener,
                  MonotonicTime shows_all_until = {})
      : dialect_(dialect),
        registry_(registry),
        listener_(listener),
        shows_all_until_(shows_all_until) {}

  bool OnRecord(const KeyedRecord& record, MonotonicTime now) override;
  void OnSnapshot(const std::vector<std::string>& present,
                  MonotonicTime now) override;
  void OnLogLost(std::string_view reason) override;
  void OnLogRecovered(Milliseconds away, MonotonicTime now) override;
  void Expire(MonotonicTime now);

 private:
  void Put(const EndpointRecord& endpoint, MonotonicTime now);
  // Removes an entry. The time at which it takes effect depends on when the log
  // last recovered. Returns true if the registry changed.
  bool Remove(const EndpointId& id, MonotonicTime now);
  // Record since when no endpoint can have been missed.
  void NoteRemoval(const EndpointId& id, MonotonicTime now);
  void NoteSnapshot(MonotonicTime now);

  const LogDialect& dialect_;
  EndpointRegistry& registry_;
  const GatewayStateListener& listener_;
  const MonotonicTime shows_all_until_;
  bool snapshot_read_ = false;
  struct Listed {
    EndpointRecord record;
    MonotonicTime time;
  };
  // What each endpoint last wrote, and when, also those that are gone.
  std::map<EndpointId, Listed> listed_;
  // When the log last recovered from an outage of at least kEntryExpiryOutage.
  // Entries that are missing within EndpointRegistry::kOutageGracePeriod after
  // it may still reappear.
  std::optional<MonotonicTime> log_recovered_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_GATEWAY_STATE_H_
