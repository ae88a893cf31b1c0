// The operators' declaration as a value type: the services, their dependencies
// and everything else that `config publish` may change. declaration_parser.h
// creates a Declaration only if all checks pass, so readers don't validate it
// again.
//
//   const ServiceSpec* service = declaration.FindService(name);

#ifndef CAROBSHIFT_CONFIG_DECLARATION_H_
#define CAROBSHIFT_CONFIG_DECLARATION_H_

#include <optional>
#include <string>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

// Label in the instance list for instances of the same hardware and software.
using PoolName = StrongType<struct PoolNameTag, std::string>;

enum class ServiceKind { kModel, kPlain };

struct ModelSpec {
  ModelName name;
  // Size of one token's KV cache, in the accelerator's memory and on a link.
  Bytes kv_bytes_per_token = 131072;
  Tokens max_context_tokens = 32768;
};

struct PoolSpec {
  PoolName name;
  ServiceKind kind = ServiceKind::kModel;
  // Whether the endpoints reject an order with a lower fencing number than the
  // highest one they have received.
  bool checks_fencing = false;
};

struct ServiceSpec {
  ServiceName name;
  ServiceKind kind = ServiceKind::kModel;
  PoolName pool;
  // Services that are started and kept at or above their floors before this
  // one.
  std::vector<ServiceName> depends_on;
  int replicas = 1;
  // Planned stops leave at least this many replicas ready.
  int floor = 0;

  // For model services.
  ModelName model;
  WeightVersion weights;
  std::vector<AdapterName> adapters;
  // Time to first token that admission control aims for.
  Milliseconds first_token_target{590};
  Tokens max_output_tokens = 4096;

  // For plain services: whether a call may be retried after a failure that
  // leaves its outcome unknown. A caller's header can restrict this but not
  // relax it.
  bool idempotent = false;

  // An attempt is abandoned if the endpoint makes no progress for this long.
  Milliseconds progress_timeout{5000};
};

struct StoreSpec {
  StoreId id;
  // Budget of the link to the store, shared by all users of the link.
  Bytes link_bytes_per_second = 0;
};

struct AccountSpec {
  AccountId id;
  // SHA-256 digests of the bearer keys, in hexadecimal.
  std::vector<std::string> key_sha256;
  // Share of the capacity under contention, relative to the other accounts.
  double weight = 1.0;
  // Maximum number of requests in progress at one entry; further ones are
  // rejected immediately.
  int max_in_flight = 256;
  // Services the account may call; empty means all.
  std::vector<ServiceName> services;
};

struct Declaration {
  // Whether an edit without a base version may be accepted.
  bool allow_blind_writes = false;
  std::vector<ModelSpec> models;
  std::vector<PoolSpec> pools;
  // In the order of the text. A service may depend on one that comes later.
  std::vector<ServiceSpec> services;
  std::vector<StoreSpec> stores;
  std::vector<AccountSpec> accounts;

  // Each returns null if nothing of that name is declared.
  [[nodiscard]] const ServiceSpec* FindService(const ServiceName& name) const;
  [[nodiscard]] const ModelSpec* FindModel(const ModelName& name) const;
  [[nodiscard]] const PoolSpec* FindPool(const PoolName& name) const;
  [[nodiscard]] const StoreSpec* FindStore(const StoreId& id) const;
  [[nodiscard]] const AccountSpec* FindAccount(const AccountId& id) const;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CONFIG_DECLARATION_H_
