// The state that the commands, queries and tasks of one entry share. All
// members are thread-safe and outlive their users.
//
//   CompleteCommand command(context);

#ifndef CAROBSHIFT_SERVER_ENTRY_CONTEXT_H_
#define CAROBSHIFT_SERVER_ENTRY_CONTEXT_H_

#include <string>

#include "carobshift/base/ids.h"
#include "carobshift/external/engine.h"
#include "carobshift/external/instance_list.h"
#include "carobshift/external/log_service.h"
#include "carobshift/external/plain_service.h"
#include "carobshift/external/store.h"
#include "carobshift/server/settings.h"
#include "carobshift/server/tables/cache_table.h"
#include "carobshift/server/tables/config_table.h"
#include "carobshift/server/tables/endpoint_table.h"
#include "carobshift/server/tables/lease_table.h"
#include "carobshift/server/tables/load_table.h"
#include "carobshift/server/tables/membership_table.h"
#include "carobshift/server/tables/request_journal.h"
#include "carobshift/telemetry/metrics.h"

namespace carobshift {

// Clients of the platform's services and of the instances.
struct PlatformClients {
  LogService& log;
  InstanceList& list;
  EngineClient& engines;
  StoreClient& stores;
  PlainServiceClient& plain_services;
  // Used for orders only. Its request timeout is the setting
  // `order_timeout_ms`.
  EngineClient& orders;
};

struct EntryContext {
  const Settings& settings;
  // The deployment's shared secret.
  const std::string& secret;
  const Incarnation incarnation;
  PlatformClients platform;
  ConfigTable& config;
  EndpointTable& endpoints;
  LoadTable& load;
  CacheTable& cache;
  RequestJournal& journal;
  Metrics& metrics;
  StateDump& state_dump;
  MembershipTable& membership;
  LeaseTable& lease;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_ENTRY_CONTEXT_H_
