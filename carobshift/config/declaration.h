// The operators' declaration as values: the services, what each depends on,
// and everything else that `config publish` may change. A Declaration that
// exists has passed all checks (see declaration_parser.h); readers need not
// check again.
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

// A label that the instance list puts on instances of one make.
using PoolName = StrongType<struct PoolNameTag, std::string>;

enum class ServiceKind { kModel, kPlain };

struct ModelSpec {
  ModelName name;
  // KV cache bytes that one token takes, on the accelerator and on a link.
  Bytes kv_bytes_per_token = 131072;
  Tokens max_context_tokens = 32768;
};

struct PoolSpec {
  PoolName name;
  ServiceKind kind = ServiceKind::kModel;
  // True if the endpoints refuse an order that carries a fencing number lower
  // than one they have seen.
  bool checks_fencing = false;
};

struct ServiceSpec {
  ServiceName name;
  ServiceKind kind = ServiceKind::kModel;
  PoolName pool;
  // Started and kept above their floors before this one.
  std::vector<ServiceName> depends_on;
  int replicas = 1;
  // Planned stops never leave fewer ready replicas than this.
  int floor = 0;

  // For model services.
  ModelName model;
  WeightVersion weights;
  std::vector<AdapterName> adapters;
  // Target of the admission control for the time to first token.
  Milliseconds first_token_target{590};
  Tokens max_output_tokens = 4096;

  // For plain services: whether a call may be sent again after a failure
  // that leaves its outcome open. A caller's header may only tighten this.
  bool idempotent = false;

  // An attempt is given up when an endpoint makes no progress for this long.
  Milliseconds progress_timeout{5000};
};

struct StoreSpec {
  StoreId id;
  // Budget of the link towards the store, shared by all that use it.
  Bytes link_bytes_per_second = 0;
};

struct AccountSpec {
  AccountId id;
  // SHA-256 of each bearer key, in hexadecimal.
  std::vector<std::string> key_sha256;
  // Share of the capacity under contention, relative to the other accounts.
  double weight = 1.0;
  // Requests in progress at one entry; more are refused at once.
  int max_in_flight = 256;
  // Services the account may call; empty means all.
  std::vector<ServiceName> services;
};

struct Declaration {
  // Whether an edit that names no base version may be accepted.
  bool allow_blind_writes = false;
  std::vector<ModelSpec> models;
  std::vector<PoolSpec> pools;
  // In the order of the text; dependencies may come later in it.
  std::vector<ServiceSpec> services;
  std::vector<StoreSpec> stores;
  std::vector<AccountSpec> accounts;

  // Each returns null if there is no entry of that name.
  [[nodiscard]] const ServiceSpec* FindService(const ServiceName& name) const;
  [[nodiscard]] const ModelSpec* FindModel(const ModelName& name) const;
  [[nodiscard]] const PoolSpec* FindPool(const PoolName& name) const;
  [[nodiscard]] const StoreSpec* FindStore(const StoreId& id) const;
  [[nodiscard]] const AccountSpec* FindAccount(const AccountId& id) const;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CONFIG_DECLARATION_H_
