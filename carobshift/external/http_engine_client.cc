#include "carobshift/external/http_engine_client.h"

#include <array>
#include <string>
#include <utility>

#include "carobshift/external/internal/engine_stream.h"
#include "carobshift/external/internal/http_exchange.h"
#include "carobshift/external/internal/http_json.h"

namespace carobshift {
namespace {

using nlohmann::json;

// An export is sent over a rate-limited link before it is sealed.
constexpr Milliseconds kExportTimeout{60000};

constexpr FailureCodes kRunFailures = {
    .not_sent = ResultCode::kNoEndpoint,
    .timed_out = ResultCode::kEndpointTimeout,
    .broken = ResultCode::kEndpointFailed,
    .refused = ResultCode::kEndpointRefused,
};

constexpr std::array<std::string_view, 4> kOrderNames = {"load", "unload",
                                                         "set_role", "drain"};

json TextsOf(const std::vector<AdapterName>& adapters) {
  json texts = json::array();
  for (const AdapterName& adapter : adapters)
    texts.push_back(adapter.value());
  return texts;
}

json ToJson(const GenerateRequest& request) {
  json extension = {{"request", request.request.value()},
                    {"attempt", request.attempt.value()},
                    {"cache_salt", request.cache_namespace.value()},
                    {"version", request.version.value()},
                    {"adapter", request.adapter.value()},
                    {"delivered", request.delivered}};
  if (request.import) {
    extension["import"] = ToJson(*request.import);
    extension["import_from"] = request.import_from.ToString();
  }
  return {
      {"model", request.model.value()},   {"prompt", request.prompt},
      {"max_tokens", request.max_tokens}, {"stream", true},
      {"priority", request.priority},     {"carobshift", std::move(extension)}};
}

EngineState StateFromName(std::string_view name) {
  if (name == "ready")
    return EngineState::kReady;
  if (name == "loading")
    return EngineState::kLoading;
  return name == "leaving" ? EngineState::kLeaving : EngineState::kIdle;
}

EngineStatus StatusFromJson(const json& body) {
  EngineStatus status;
  status.incarnation = body.at("incarnation").get<std::uint64_t>();
  status.state = StateFromName(body.at("state").get<std::string>());
  status.model = ModelName(body.at("model").get<std::string>());
  status.version = WeightVersion(body.at("version").get<std::string>());
  for (const json& adapter : body.at("adapters"))
    status.adapters.emplace_back(adapter.get<std::string>());
  status.role = ServiceName(body.at("role").get<std::string>());
  status.running = body.at("running").get<int>();
  status.queued = body.at("queued").get<int>();
  status.queued_prefill_tokens = body.at("queued_prefill_tokens").get<Tokens>();
  status.kv_used = body.at("kv_used").get<Bytes>();
  status.kv_capacity = body.at("kv_capacity").get<Bytes>();
  status.fencing = FencingNumber(body.at("fencing").get<std::uint64_t>());
  return status;
}

CacheEventBatch EventsFromJson(const json& body) {
  CacheEventBatch batch;
  batch.incarnation = body.at("incarnation").get<std::uint64_t>();
  batch.first_sequence = body.at("first_sequence").get<std::uint64_t>();
  batch.next_sequence = body.at("next_sequence").get<std::uint64_t>();
  for (const json& item : body.at("events")) {
    CacheEvent event;
    event.sequence = item.at("sequence").get<std::uint64_t>();
    event.kind = item.at("kind").get<std::string>() == "stored"
                     ? CacheEvent::Kind::kStored
                     : CacheEvent::Kind::kEvicted;
    const auto block = BlockHashFromHex(item.at("block").get<std::string>());
    event.block = block.value_or(BlockHash{});
    batch.events.push_back(event);
  }
  return batch;
}

HttpCall CallTo(const NetAddress& engine, Milliseconds timeout) {
  HttpCall call;
  call.peer = engine;
  call.progress_timeout = timeout;
  call.total_timeout = timeout;
  return call;
}

// Sends a GET request and parses its reply. A missing field is reported as
// kEndpointFailed.
template <typename T>
Result<T> FetchAs(HttpExchange& http,
                  const NetAddress& engine,
                  std::string path,
                  T (*parse)(const json&)) {
  HttpCall call = CallTo(engine, http.options().request_timeout);
  call.path = std::move(path);
  const Result<json> answer = JsonAnswer(http.Run(call), kRunFailures);
  if (!answer.ok())
    return answer.error();
  try {
    return parse(answer.value());
  } catch (const json::exception& error) {
    return Error{ResultCode::kEndpointFailed, error.what()};
  }
}

}  // namespace

HttpEngineClient::HttpEngineClient(const HttpOptions& options)
    : http_(std::make_unique<HttpExchange>(options)) {}
HttpEngineClient::~HttpEngineClient() = default;

Status HttpEngineClient::Generate(const NetAddress& engine,
                                  const GenerateRequest& request,
                                  TokenSink& sink) {
  HttpCall call = CallTo(engine, request.progress_timeout);
  call.total_timeout = Milliseconds(0);
  call.method = "POST";
  call.path = "/v1/completions";
  call.body = ToJson(request).dump();
  EngineStream stream(sink);
  const HttpReply reply = http_->Stream(
      call, [&stream](std::string_view line) { return stream.OnLine(line); });
  if (stream.error())
    return *stream.error();
  // The reply is complete once its final event has arrived, regardless of later
  // failures of the connection.
  if (stream.ended())
    return {};
  if (reply.cancelled)
    return Error{ResultCode::kCancelled, "cancelled by the receiver"};
  if (std::optional<Error> failure = FailureOf(reply, kRunFailures))
    return *std::move(failure);
  return Error{ResultCode::kEndpointFailed, "stream ended early"};
}

Result<EngineStatus> HttpEngineClient::FetchStatus(const NetAddress& engine) {
  return FetchAs<EngineStatus>(*http_, engine, "/status", StatusFromJson);
}

Result<CacheEventBatch> HttpEngineClient::FetchEvents(
    const NetAddress& engine,
    std::uint64_t from_sequence) {
  return FetchAs<CacheEventBatch>(
      *http_, engine, "/events?from=" + std::to_string(from_sequence),
      EventsFromJson);
}

Result<CacheEventBatch> HttpEngineClient::ListBlocks(const NetAddress& engine) {
  return FetchAs<CacheEventBatch>(*http_, engine, "/blocks", EventsFromJson);
}

Status HttpEngineClient::Order(const NetAddress& engine,
                               const EngineOrder& order) {
  HttpCall call = CallTo(engine, http_->options().request_timeout);
  call.method = "POST";
  call.path = "/orders";
  call.body = json{{"fencing", order.fencing.value()},
                   {"kind", kOrderNames[static_cast<std::size_t>(order.kind)]},
                   {"model", order.model.value()},
                   {"version", order.version.value()},
                   {"adapters", TextsOf(order.adapters)},
                   {"role", order.role.value()}}
                  .dump();
  if (std::optional<Error> failure = FailureOf(http_->Run(call), kRunFailures))
    return *std::move(failure);
  return {};
}

Result<BlockHandle> HttpEngineClient::Export(const NetAddress& engine,
                                             const ExportRequest& request) {
  json blocks = json::array();
  for (const BlockHash& block : request.blocks)
    blocks.push_back(ToHex(block));
  HttpCall call = CallTo(engine, kExportTimeout);
  call.method = "POST";
  call.path = "/exports";
  call.body = json{{"cache_salt", request.cache_namespace.value()},
                   {"blocks", std::move(blocks)},
                   {"store", request.store.value()},
                   {"store_address", request.store_address.ToString()},
                   {"bytes_per_token", request.bytes_per_token}}
                  .dump();
  const Result<json> answer = JsonAnswer(http_->Run(call), kRunFailures);
  if (!answer.ok())
    return answer.error();
  try {
    return BlockHandleFromJson(answer.value());
  } catch (const json::exception& error) {
    return Error{ResultCode::kEndpointFailed, error.what()};
  }
}

}  // namespace carobshift
