// Finds the handler of a method and path.
//
//   RouteTable routes;
//   routes.Add("POST", "/v1/services/{name}/call", call_command);
//   std::optional<RouteMatch> match = routes.Find("POST", path);

#ifndef CAROBSHIFT_SERVER_HTTP_ROUTE_TABLE_H_
#define CAROBSHIFT_SERVER_HTTP_ROUTE_TABLE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/server/http/route_handler.h"

namespace carobshift {

struct RouteMatch {
  RouteHandler* handler = nullptr;
  std::vector<std::string> path_arguments;
};

// Filled before the HTTP server starts, read-only afterwards.
class RouteTable {
 public:
  // `pattern` is a path in which a segment in braces matches any one segment.
  // `handler` must outlive the table.
  void Add(std::string method, std::string_view pattern, RouteHandler& handler);

  [[nodiscard]] std::optional<RouteMatch> Find(std::string_view method,
                                               std::string_view path) const;

 private:
  struct Route {
    std::string method;
    std::vector<std::string> segments;
    RouteHandler* handler;
  };
  std::vector<Route> routes_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_HTTP_ROUTE_TABLE_H_
