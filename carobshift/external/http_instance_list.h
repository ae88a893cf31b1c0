// HttpInstanceList reads the platform's instance list over HTTP.
// docs/PLATFORM.md describes the route.
//
//   HttpInstanceList list(address, HttpOptions());
//   Result<std::vector<ListedInstance>> instances = list.Fetch();

#ifndef CAROBSHIFT_EXTERNAL_HTTP_INSTANCE_LIST_H_
#define CAROBSHIFT_EXTERNAL_HTTP_INSTANCE_LIST_H_

#include <memory>
#include <vector>

#include "carobshift/base/net_address.h"
#include "carobshift/external/http_options.h"
#include "carobshift/external/instance_list.h"

namespace carobshift {

class HttpExchange;

// Thread-safe. Instances of unknown kind or with a malformed address are
// omitted.
class HttpInstanceList : public InstanceList {
 public:
  HttpInstanceList(NetAddress address, const HttpOptions& options);
  ~HttpInstanceList() override;

  Result<std::vector<ListedInstance>> Fetch() override;

 private:
  const NetAddress address_;
  const std::unique_ptr<HttpExchange> http_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_EXTERNAL_HTTP_INSTANCE_LIST_H_
