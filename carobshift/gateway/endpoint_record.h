// What an endpoint says of itself in the log: one entry of the instance list.

#ifndef CAROBSHIFT_GATEWAY_ENDPOINT_RECORD_H_
#define CAROBSHIFT_GATEWAY_ENDPOINT_RECORD_H_

#include <cstdint>
#include <map>
#include <optional>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/units.h"

namespace carobshift {

// The endpoint's own start time. An endpoint that starts again under its old id
// has another one, and holds nothing of what it held before.
using EndpointBirth = StrongType<struct EndpointBirthTag, std::int64_t>;

struct EndpointRecord {
  EndpointId id;
  EndpointBirth born{};
  ServiceName service;
  NetAddress address;
  ZoneName zone;
  int slots = 1;
  // It has announced that it stops.
  bool leaving = false;
  std::map<ModelName, WeightNumber> weights;

  friend bool operator==(const EndpointRecord&,
                         const EndpointRecord&) = default;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_ENDPOINT_RECORD_H_
