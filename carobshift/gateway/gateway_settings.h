// Settings of one gateway process: its identity, addresses, ports and time
// bounds.

#ifndef CAROBSHIFT_GATEWAY_GATEWAY_SETTINGS_H_
#define CAROBSHIFT_GATEWAY_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/endpoints/cold_start_limits.h"
#include "carobshift/gateway/request/retry_allowance.h"

namespace carobshift {

struct GatewaySettings {
  EntryId entry;
  ZoneName zone;
  // The region of each availability zone.
  std::map<ZoneName, RegionName> regions;
  std::string host;
  // Listening addresses for callers' requests, for readiness checks and for
  // address queries.
  NetAddress callers;
  NetAddress readiness;
  NetAddress directory;
  // The same on all instances.
  std::uint16_t gossip_port = 0;
  std::uint16_t peer_port = 0;
  // Where instances accept requests that other instances hand over.
  std::uint16_t handoff_port = 0;
  // Hosts of instances through which this instance joins the membership.
  std::vector<std::string> seed_hosts;
  NetAddress log;
  // The whole deployment starts for the first time.
  bool first_start = false;
  // Port for metrics and the state dump; 0 disables it.
  std::uint16_t metrics_port = 0;

  RetryLimits retries;
  ColdStartOptions cold_start;
  Milliseconds lease{3000};
  // Once new weights are named, the time after which no request may start on
  // older weights.
  Milliseconds weights_replacement_bound{15000};
  // Engines reject orders with a lower fencing number than the highest that
  // they have seen.
  bool engines_check_fencing = true;
  // Time between the announcement of a stop and the forced end of the process.
  Milliseconds stop_grace{8000};
  // Memory that the process may take.
  Bytes memory_limit{160 << 20};
  // Descriptors that the process may have open.
  int file_descriptors = 4096;
  // Maximum time for which callers may cache an address answer.
  Milliseconds max_address_ttl{5000};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_GATEWAY_SETTINGS_H_
