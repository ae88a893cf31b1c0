// The interface between the HTTP front and what answers a route.
//
//   class HealthQuery : public RouteHandler {
//     void Handle(RequestExchange& exchange) override;
//   };

#ifndef CAROBSHIFT_SERVER_HTTP_ROUTE_HANDLER_H_
#define CAROBSHIFT_SERVER_HTTP_ROUTE_HANDLER_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

// One HTTP request on its worker thread.
struct RequestExchange {
  Poco::Net::HTTPServerRequest& request;
  Poco::Net::HTTPServerResponse& response;
  RequestId id;
  MonotonicTime received;
  // Decoded path segments that stood for {placeholders} of the route.
  std::vector<std::string> path_arguments;
};

// Handles a route. Called on many threads at once; may block. Exceptions end
// as an internal error towards the caller, or as a closed connection if the
// response has begun.
class RouteHandler {
 public:
  virtual ~RouteHandler() = default;
  virtual void Handle(RequestExchange& exchange) = 0;
};

// Sends a whole response.
void SendText(Poco::Net::HTTPServerResponse& response,
              int status,
              const std::string& content_type,
              const std::string& body);
void SendJson(Poco::Net::HTTPServerResponse& response,
              int status,
              const nlohmann::json& body);

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_HTTP_ROUTE_HANDLER_H_
