#include "carobshift/external/internal/http_json.h"

#include <array>
#include <optional>
#include <string>

namespace carobshift {
namespace {

using nlohmann::json;

constexpr int kFirstErrorStatus = 400;
constexpr int kFirstServerErrorStatus = 500;

// Result codes that engines, stores and the log may report.
constexpr std::array kErrorsFromPeers = {
    ResultCode::kMalformedRequest, ResultCode::kOverloaded,
    ResultCode::kEndpointRefused,  ResultCode::kEndpointFailed,
    ResultCode::kVersionMismatch,  ResultCode::kLogUnavailable,
    ResultCode::kListUnavailable,  ResultCode::kStoreUnavailable,
    ResultCode::kStoreFull,        ResultCode::kBlockRejected,
    ResultCode::kStaleFencing,     ResultCode::kWeightStoreUnavailable,
};

std::optional<Error> NamedError(const json& body) {
  const auto error = body.find("error");
  if (error == body.end() || !error->is_object())
    return std::nullopt;
  const std::string type = error->value("type", "");
  for (const ResultCode code : kErrorsFromPeers) {
    if (ResultCodeName(code) == type)
      return Error{code, error->value("message", type)};
  }
  return std::nullopt;
}

}  // namespace

std::optional<Error> FailureOf(const HttpReply& reply,
                               const FailureCodes& codes) {
  if (reply.delivery == DeliveryState::kNotSent)
    return Error{codes.not_sent, reply.failure};
  if (reply.delivery == DeliveryState::kMayHaveArrived)
    return Error{reply.timed_out ? codes.timed_out : codes.broken,
                 reply.failure};
  if (reply.status < kFirstErrorStatus)
    return std::nullopt;
  const json body = json::parse(reply.body, nullptr, false);
  try {
    if (body.is_object()) {
      if (std::optional<Error> named = NamedError(body))
        return named;
    }
  } catch (const json::exception&) {
    // An error body of another form counts as one without a type.
  }
  const bool server_error = reply.status >= kFirstServerErrorStatus;
  return Error{server_error ? codes.broken : codes.refused,
               "HTTP status " + std::to_string(reply.status)};
}

Result<json> JsonAnswer(const HttpReply& reply, const FailureCodes& codes) {
  if (std::optional<Error> failure = FailureOf(reply, codes))
    return *failure;
  json body = json::parse(reply.body, nullptr, false);
  if (!body.is_object())
    return Error{codes.broken, "answer is not a JSON object"};
  return body;
}

json ToJson(const BlockHandle& handle) {
  return {{"store", handle.store.value()},
          {"generation", handle.generation},
          {"checksum", handle.checksum},
          {"object", handle.object},
          {"last_block", ToHex(handle.last_block)},
          {"tokens", handle.tokens},
          {"bytes", handle.bytes}};
}

BlockHandle BlockHandleFromJson(const json& json) {
  BlockHandle handle;
  handle.store = StoreId(json.at("store").get<std::string>());
  handle.generation = json.at("generation").get<std::uint64_t>();
  handle.checksum = json.at("checksum").get<std::uint64_t>();
  handle.object = json.at("object").get<std::string>();
  handle.last_block = BlockHashFromHex(json.at("last_block").get<std::string>())
                          .value_or(BlockHash{});
  handle.tokens = json.at("tokens").get<Tokens>();
  handle.bytes = json.at("bytes").get<Bytes>();
  return handle;
}

}  // namespace carobshift
