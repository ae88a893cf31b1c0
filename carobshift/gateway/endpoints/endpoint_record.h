// An endpoint's own record in the log: one entry of the instance list.

#ifndef CAROBSHIFT_GATEWAY_ENDPOINTS_ENDPOINT_RECORD_H_
#define CAROBSHIFT_GATEWAY_ENDPOINTS_ENDPOINT_RECORD_H_

#include <cstdint>
#include <map>
#include <optional>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/units.h"

namespace carobshift {

// The start time that an endpoint reports. An endpoint that restarts under its
// old id has another start time and has lost all its previous state.
using EndpointStartTime = StrongType<struct EndpointBirthTag, std::int64_t>;

// Counts the heartbeats of an incarnation.
using HeartbeatNumber = StrongType<struct HeartbeatNumberTag, std::uint64_t>;

struct EndpointRecord {
  EndpointId id;
  EndpointStartTime start_time{};
  ServiceName service;
  NetAddress address;
  ZoneName zone;
  SoftwareVersion software;
  int slots = 1;
  // True if the endpoint has announced that it is stopping.
  bool leaving = false;
  std::map<ModelName, WeightNumber> weights;
  // How long the endpoint stays cold, counted from when it wrote the record.
  Milliseconds cold_remaining{0};
  // The record states a time that isn't a valid one; it counts as zero.
  bool bad_cold_time = false;

  // The heartbeat that wrote the record; empty if it states no number.
  std::optional<HeartbeatNumber> heartbeat{};

  friend bool operator==(const EndpointRecord&,
                         const EndpointRecord&) = default;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINTS_ENDPOINT_RECORD_H_
