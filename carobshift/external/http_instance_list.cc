#include "carobshift/external/http_instance_list.h"

#include <array>
#include <optional>
#include <string>
#include <utility>

#include "carobshift/external/internal/http_exchange.h"
#include "carobshift/external/internal/http_json.h"

namespace carobshift {
namespace {

constexpr FailureCodes kFailures = {
    .not_sent = ResultCode::kListUnavailable,
    .timed_out = ResultCode::kListUnavailable,
    .broken = ResultCode::kListUnavailable,
    .refused = ResultCode::kListUnavailable,
};

constexpr std::array<std::pair<std::string_view, InstanceKind>, 5> kKinds = {{
    {"entry", InstanceKind::kEntry},
    {"engine", InstanceKind::kEngine},
    {"plain", InstanceKind::kPlainService},
    {"store", InstanceKind::kStore},
    {"weights", InstanceKind::kWeightStore},
}};

std::optional<InstanceKind> KindFromName(std::string_view name) {
  for (const auto& [known, kind] : kKinds) {
    if (known == name)
      return kind;
  }
  return std::nullopt;
}

// Returns nullopt for an unknown kind or a malformed address. Throws
// nlohmann::json::exception if a field is missing.
std::optional<ListedInstance> InstanceFromJson(const nlohmann::json& json) {
  const auto kind = KindFromName(json.at("kind").get<std::string>());
  const auto address = ParseNetAddress(json.at("address").get<std::string>());
  if (!kind || !address)
    return std::nullopt;
  ListedInstance instance;
  instance.id = json.at("id").get<std::string>();
  instance.kind = *kind;
  instance.state = json.value("state", "live") == "leaving"
                       ? InstanceState::kLeaving
                       : InstanceState::kLive;
  instance.pool = PoolName(json.value("pool", ""));
  instance.zone = ZoneName(json.value("zone", ""));
  instance.address = *address;
  return instance;
}

}  // namespace

HttpInstanceList::HttpInstanceList(NetAddress address,
                                   const HttpOptions& options)
    : address_(std::move(address)),
      http_(std::make_unique<HttpExchange>(options)) {}
HttpInstanceList::~HttpInstanceList() = default;

Result<std::vector<ListedInstance>> HttpInstanceList::Fetch() {
  HttpCall call;
  call.peer = address_;
  call.path = "/instances";
  call.progress_timeout = http_->options().request_timeout;
  call.total_timeout = http_->options().request_timeout;
  const Result<nlohmann::json> answer = JsonAnswer(http_->Run(call), kFailures);
  if (!answer.ok())
    return answer.error();
  try {
    std::vector<ListedInstance> instances;
    for (const nlohmann::json& json : answer.value().at("instances")) {
      if (std::optional<ListedInstance> instance = InstanceFromJson(json))
        instances.push_back(*std::move(instance));
    }
    return instances;
  } catch (const nlohmann::json::exception& error) {
    return Error{ResultCode::kListUnavailable, error.what()};
  }
}

}  // namespace carobshift
