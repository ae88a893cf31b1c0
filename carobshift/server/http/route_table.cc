#include "carobshift/server/http/route_table.h"

#include <utility>

namespace carobshift {
namespace {

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> segments;
  std::size_t begin = 1;
  while (begin <= path.size()) {
    const std::size_t end = std::min(path.find('/', begin), path.size());
    segments.emplace_back(path.substr(begin, end - begin));
    begin = end + 1;
  }
  return segments;
}

bool IsPlaceholder(const std::string& segment) {
  return segment.starts_with('{');
}

// The segments that match placeholders; empty if the path does not match.
std::optional<std::vector<std::string>> MatchSegments(
    const std::vector<std::string>& pattern,
    const std::vector<std::string>& segments) {
  if (pattern.size() != segments.size())
    return std::nullopt;
  std::vector<std::string> arguments;
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    if (IsPlaceholder(pattern[i])) {
      arguments.push_back(segments[i]);
    } else if (pattern[i] != segments[i]) {
      return std::nullopt;
    }
  }
  return arguments;
}

}  // namespace

void RouteTable::Add(std::string method,
                     std::string_view pattern,
                     RouteHandler& handler) {
  routes_.push_back({std::move(method), SplitPath(pattern), &handler});
}

std::optional<RouteMatch> RouteTable::Find(std::string_view method,
                                           std::string_view path) const {
  const std::vector<std::string> segments = SplitPath(path);
  for (const Route& route : routes_) {
    if (route.method != method)
      continue;
    auto arguments = MatchSegments(route.segments, segments);
    if (arguments)
      return RouteMatch{route.handler, std::move(*arguments)};
  }
  return std::nullopt;
}

}  // namespace carobshift
