#include "carobshift/gateway/serving_config.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace carobshift {
namespace {

std::string LowerHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon != std::string_view::npos)
    host = host.substr(0, colon);
  std::string out(host);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return out;
}

}  // namespace

const DeclaredService* ServingConfig::FindService(
    const ServiceName& name) const {
  const auto found = services.find(name);
  return found == services.end() ? nullptr : &found->second;
}

PrefixTable::PrefixTable(const std::vector<Route>& routes) {
  for (const Route& route : routes)
    routes_[LowerHost(route.host)][route.path_prefix] = &route;
}

const Route* PrefixTable::Find(std::string_view host,
                               std::string_view path) const {
  const auto of_host = routes_.find(LowerHost(host));
  if (of_host == routes_.end())
    return nullptr;
  path = path.substr(0, path.find('?'));
  // Every prefix ends with a slash, so only substrings that end with one need a
  // lookup.
  std::size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    const auto found =
        of_host->second.find(std::string(path.substr(0, slash + 1)));
    if (found != of_host->second.end())
      return found->second;
    if (slash == 0)
      break;
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

ServingConfigSnapshot::ServingConfigSnapshot(ServingConfig config)
    : config_(std::move(config)), routes_(config_.routes) {
  for (const Account& account : config_.accounts) {
    for (const std::string& key : account.keys) {
      const auto [found, inserted] = accounts_.try_emplace(key, &account);
      if (!inserted && found->second != &account)
        found->second = nullptr;
    }
  }
}

const Account* ServingConfigSnapshot::AccountOfKey(
    const std::string& key) const {
  const auto found = accounts_.find(key);
  return found == accounts_.end() ? nullptr : found->second;
}

const ServiceName& ChooseService(const Route& route, std::uint64_t token) {
  double total = 0;
  for (const WeightedService& choice : route.services)
    total += choice.weight;
  constexpr std::uint64_t kSteps = std::uint64_t{1} << 32;
  double remaining =
      total * static_cast<double>(token % kSteps) / static_cast<double>(kSteps);
  for (const WeightedService& choice : route.services) {
    if (remaining < choice.weight)
      return choice.service;
    remaining -= choice.weight;
  }
  return route.services.back().service;
}

}  // namespace carobshift
