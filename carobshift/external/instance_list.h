// InstanceList is the interface to the platform's list of instances. The list
// lags: it may contain an instance that is gone and miss a new one for a while.
//
//   Result<std::vector<ListedInstance>> instances = list.Fetch();

#ifndef CAROBSHIFT_EXTERNAL_INSTANCE_LIST_H_
#define CAROBSHIFT_EXTERNAL_INSTANCE_LIST_H_

#include <string>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/result.h"
#include "carobshift/config/declaration.h"

namespace carobshift {

enum class InstanceKind {
  kEntry,
  kEngine,
  kPlainService,
  kStore,
  kWeightStore
};
enum class InstanceState { kLive, kLeaving };

struct ListedInstance {
  std::string id;
  InstanceKind kind = InstanceKind::kEngine;
  InstanceState state = InstanceState::kLive;
  PoolName pool;
  ZoneName zone;
  NetAddress address;
};

class InstanceList {
 public:
  virtual ~InstanceList() = default;

  // Returns the complete list, or kListUnavailable. Thread-safe; blocks up to
  // the implementation's request timeout.
  virtual Result<std::vector<ListedInstance>> Fetch() = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_EXTERNAL_INSTANCE_LIST_H_
