// What a component of one instance knows of the instances.

#ifndef CAROBSHIFT_GATEWAY_INSTANCES_LOCAL_INSTANCE_H_
#define CAROBSHIFT_GATEWAY_INSTANCES_LOCAL_INSTANCE_H_

#include <functional>
#include <vector>

#include "carobshift/membership/member.h"

namespace carobshift {

struct LocalInstance {
  Incarnation self;
  // Returns the live instances.
  std::function<std::vector<MemberInfo>()> live;
  // Returns the others that have announced a planned stop and still run; unset
  // for components that don't use them.
  std::function<std::vector<MemberInfo>()> stopping{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_INSTANCES_LOCAL_INSTANCE_H_
