// PlainServiceClient is the interface to plain services, which run beside the
// model engines and send one reply per call.
//
//   PlainResult result = client.Call(address, call);
//   if (!result.answer.ok() && !result.may_have_run) ...  // safe to retry

#ifndef CAROBSHIFT_EXTERNAL_PLAIN_SERVICE_H_
#define CAROBSHIFT_EXTERNAL_PLAIN_SERVICE_H_

#include <string>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/result.h"
#include "carobshift/base/units.h"

namespace carobshift {

struct PlainCall {
  RequestId request;
  AccountId account;
  std::string body;
  std::string content_type;
  Milliseconds timeout{5000};
};

struct PlainAnswer {
  int status = 200;
  std::string body;
  std::string content_type;
};

struct PlainResult {
  Result<PlainAnswer> answer;
  // False only if it is proven that the service did not run the call: no byte
  // reached it, or it reported that it rejected the call.
  bool may_have_run = true;
};

class PlainServiceClient {
 public:
  virtual ~PlainServiceClient() = default;

  // Thread-safe; blocks up to `call.timeout`.
  virtual PlainResult Call(const NetAddress& service,
                           const PlainCall& call) = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_EXTERNAL_PLAIN_SERVICE_H_
