// The interface between the HTTP server and the handlers of its routes.
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
#include "carobshift/server/http/caller_connections.h"

namespace carobshift {

// One HTTP request and its response, used on one worker thread.
struct RequestExchange {
  Poco::Net::HTTPServerRequest& request;
  Poco::Net::HTTPServerResponse& response;
  RequestId id;
  MonotonicTime received;
  // Of what the request makes the entry hold.
  RequestRoom& room;
  // Decoded path segments that matched the {placeholders} of the route.
  std::vector<std::string> path_arguments;
};

// Handles a route. Called on many threads concurrently; may block. An exception
// is answered with an internal error, or closes the connection if the response
// has begun.
class RouteHandler {
 public:
  virtual ~RouteHandler() = default;
  virtual void Handle(RequestExchange& exchange) = 0;
};

// Send a whole response.
void SendText(Poco::Net::HTTPServerResponse& response,
              int status,
              const std::string& content_type,
              const std::string& body);
void SendJson(Poco::Net::HTTPServerResponse& response,
              int status,
              const nlohmann::json& body);

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_HTTP_ROUTE_HANDLER_H_
