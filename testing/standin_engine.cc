// Stand-in for a model engine. Output follows testing/answer_function.h and
// timing follows testing/engine_core.h. Faults besides the common ones:
// `slowdown` (factor), `crash_on` (text; a prompt that contains it ends the
// process), `event_lag_ms` and `load_lag_ms` (staleness of cache events and of
// the load report), `drop_events` (how many times unread cache events are
// lost), `stall_streams` (true: streams send nothing more), `leaving`,
// `wrong_version` (text reported as the weight version), `crash_in_export`
// (true: the process ends in the middle of an export), `trace` (true: GET
// /traces returns the time to first token of each prompt).

#include <cstdlib>
#include <set>

#include "testing/engine_core.h"
#include "testing/engine_options.h"
#include "testing/engine_transfer.h"
#include "testing/http_client.h"
#include "testing/standin_server.h"

namespace carobshift {
namespace {

using nlohmann::json;

// Block size for the reported cache usage. It is independent of the size of an
// exported block.
constexpr std::size_t kNominalBlockBytes = 64 * 1024;

// The model that is loaded, and the state of the engine.
struct LoadedModel {
  std::string model;
  std::string version;
  json adapters = json::array();
  std::string role;
  bool loading = false;
  bool leaving = false;
  std::uint64_t fencing = 0;
};

class Engine {
 public:
  Engine(Faults& faults, const EngineOptions& options)
      : faults_(faults),
        options_(options),
        core_(options.costs, options.cache_blocks) {
    loaded_.model = options.model;
    loaded_.version = options.version;
    loaded_.role = options.role;
  }

  void Complete(StandinExchange& exchange);
  void Order(StandinExchange& exchange);
  void Export(StandinExchange& exchange);
  void Status(StandinExchange& exchange);
  void Events(StandinExchange& exchange);
  void Blocks(StandinExchange& exchange);
  void Traces(StandinExchange& exchange);

 private:
  struct Refusal {
    ResultCode code;
    std::string message;
  };

  std::optional<Refusal> RefusalFor(const json& request);
  std::shared_ptr<EngineSequence> MakeSequence(const json& request) const;
  Tokens Import(const json& extension);
  void Stream(StandinExchange& exchange,
              const std::shared_ptr<EngineSequence>& sequence,
              const std::string& version,
              Tokens max_tokens,
              MonotonicTime received);
  void Load(const json& order);
  void Trace(const std::string& prompt, MonotonicTime received);
  [[nodiscard]] LoadedModel loaded() const {
    const std::lock_guard lock(mutex_);
    return loaded_;
  }
  [[nodiscard]] json BatchToJson(const CacheEventBatch& batch) const;

  Faults& faults_;
  const EngineOptions options_;
  EngineCore core_;
  const std::uint64_t incarnation_ = RandomUint64();
  mutable std::mutex mutex_;
  LoadedModel loaded_;
  // The last load report, and when it was taken.
  json reported_load_;
  MonotonicTime reported_at_;
  // Per prompt: microseconds from the arrival of the request to its first
  // token. Entries are never removed, so use this only with a bounded number of
  // requests.
  json traces_ = json::object();
};

std::optional<Engine::Refusal> Engine::RefusalFor(const json& request) {
  const LoadedModel model = loaded();
  const json& extension = request.at("carobshift");
  if (model.leaving || faults_.Flag("leaving"))
    return Refusal{ResultCode::kEndpointRefused, "leaving"};
  if (model.loading || model.version.empty())
    return Refusal{ResultCode::kEndpointRefused, "no model loaded"};
  if (request.at("model") != model.model ||
      extension.at("version") != model.version)
    return Refusal{ResultCode::kVersionMismatch, "runs " + model.version};
  const auto adapter = extension.at("adapter").get<std::string>();
  const bool adapter_loaded =
      adapter.empty() || std::find(model.adapters.begin(), model.adapters.end(),
                                   adapter) != model.adapters.end();
  if (!adapter_loaded)
    return Refusal{ResultCode::kEndpointRefused, "adapter not loaded"};
  return std::nullopt;
}

std::shared_ptr<EngineSequence> Engine::MakeSequence(
    const json& request) const {
  const json& extension = request.at("carobshift");
  const auto prompt = request.at("prompt").get<std::string>();
  const auto max_tokens = request.at("max_tokens").get<Tokens>();
  auto sequence = std::make_shared<EngineSequence>();
  sequence->cache_namespace =
      CacheNamespace(extension.at("cache_salt").get<std::string>());
  sequence->prompt = prompt;
  sequence->answer =
      AnswerFunction(prompt, request.at("model").get<std::string>(),
                     extension.at("version").get<std::string>(),
                     extension.at("adapter").get<std::string>());
  for (const json& token : extension.at("delivered"))
    sequence->prompt += token.get<std::string>();
  sequence->next = static_cast<Tokens>(extension.at("delivered").size());
  sequence->end = std::max(sequence->next, sequence->answer.Length(max_tokens));
  sequence->priority = request.value("priority", 0);
  return sequence;
}

// Returns the number of imported tokens. Returns 0 if the object cannot be
// verified; the prefill then recomputes the tokens.
Tokens Engine::Import(const json& extension) {
  if (!extension.contains("import"))
    return 0;
  const std::vector<BlockHash> chain = FetchBlocks(
      extension.at("import"), extension.at("import_from").get<std::string>());
  core_.WithCache([&](PrefixCache& cache) { cache.Insert(chain); });
  return static_cast<Tokens>(chain.size()) * kBlockTokens;
}

void Engine::Complete(StandinExchange& exchange) {
  const MonotonicTime received = MonotonicNow();
  const json request = exchange.Json();
  const std::string crash_on = faults_.Text("crash_on");
  if (!crash_on.empty() && request.at("prompt").get<std::string>().find(
                               crash_on) != std::string::npos)
    std::_Exit(1);
  if (const std::optional<Refusal> refusal = RefusalFor(request))
    return exchange.ReplyError(refusal->code, refusal->message);
  const json& extension = request.at("carobshift");
  core_.set_slowdown(faults_.Number("slowdown", 1));
  const std::shared_ptr<EngineSequence> sequence = MakeSequence(request);
  sequence->imported_blocks = Import(extension) / kBlockTokens;
  core_.Submit(sequence);
  exchange.BeginStream("text/event-stream");
  Stream(exchange, sequence, extension.at("version").get<std::string>(),
         request.at("max_tokens").get<Tokens>(), received);
  core_.Cancel(sequence);
}

void Engine::Stream(StandinExchange& exchange,
                    const std::shared_ptr<EngineSequence>& sequence,
                    const std::string& version,
                    Tokens max_tokens,
                    MonotonicTime received) {
  constexpr Milliseconds kPoll{50};
  bool started = false;
  Tokens sent = 0;
  const Tokens remaining = sequence->end - sequence->next;
  while (!started || sent < remaining) {
    bool prefilled = started;
    const Tokens ready = core_.WaitForTokens(*sequence, sent, kPoll, prefilled);
    if (exchange.PeerClosed())
      return;
    if (faults_.Flag("stall_streams"))
      continue;
    if (prefilled && !started) {
      started = true;
      if (faults_.Flag("trace"))
        Trace(sequence->prompt, received);
      const std::string version_override = faults_.Text("wrong_version");
      const Tokens imported = std::min(sequence->imported_blocks * kBlockTokens,
                                       sequence->cached_tokens);
      if (!exchange.SendEvent(
              {{"start",
                {{"version",
                  version_override.empty() ? version : version_override},
                 {"prompt_tokens", EstimateTokens(sequence->prompt)},
                 {"cached_tokens", sequence->cached_tokens},
                 {"imported_tokens", imported}}}}))
        return;
    }
    for (; sent < ready; ++sent) {
      const Tokens index = sequence->next + sent;
      const json choice = {{"index", 0},
                           {"text", sequence->answer.Token(index)}};
      if (!exchange.SendEvent(
              {{"choices", json::array({choice})}, {"token_index", index}}))
        return;
    }
  }
  const bool complete = sequence->answer.Length(max_tokens + 1) <= max_tokens;
  const json choice = {{"index", 0},
                       {"text", ""},
                       {"finish_reason", complete ? "stop" : "length"}};
  exchange.SendEvent({{"choices", json::array({choice})},
                      {"usage", {{"completion_tokens", sequence->end}}}});
  exchange.SendChunk("data: [DONE]\n\n");
}

void Engine::Order(StandinExchange& exchange) {
  const json order = exchange.Json();
  const auto kind = order.at("kind").get<std::string>();
  const auto fencing = order.at("fencing").get<std::uint64_t>();
  const std::lock_guard lock(mutex_);
  if (options_.checks_fencing) {
    if (fencing < loaded_.fencing)
      return exchange.ReplyError(ResultCode::kStaleFencing, "older order");
    loaded_.fencing = fencing;
  }
  if (kind == "drain") {
    loaded_.leaving = true;
  } else if (kind == "set_role") {
    loaded_.role = order.at("role").get<std::string>();
    loaded_.leaving = false;
  } else if (kind == "unload") {
    loaded_.model.clear();
    loaded_.version.clear();
    core_.WithCache([](PrefixCache& cache) { cache.Clear(); });
  } else if (kind == "load") {
    loaded_.leaving = false;
    const bool already_loaded = loaded_.model == order.at("model") &&
                                loaded_.version == order.at("version") &&
                                loaded_.adapters == order.at("adapters");
    if (!already_loaded && !loaded_.loading) {
      loaded_.loading = true;
      std::thread([this, order] { Load(order); }).detach();
    }
    if (!order.at("role").get<std::string>().empty())
      loaded_.role = order.at("role").get<std::string>();
  }
  exchange.Reply({{"ok", true}});
}

void Engine::Load(const json& order) {
  constexpr Milliseconds kLongestFetch{60000};
  if (options_.weights) {
    const json fetch = {{"bytes", options_.weight_bytes}};
    while (HttpSend(*options_.weights, "POST", "/fetches",
                    {.body = fetch.dump(), .timeout = kLongestFetch})
               .status != 200)
      std::this_thread::sleep_for(options_.load_time);
  }
  std::this_thread::sleep_for(options_.load_time);
  const std::lock_guard lock(mutex_);
  loaded_.model = order.at("model").get<std::string>();
  loaded_.version = order.at("version").get<std::string>();
  loaded_.adapters = order.at("adapters");
  loaded_.loading = false;
  core_.WithCache([](PrefixCache& cache) { cache.Clear(); });
}

void Engine::Export(StandinExchange& exchange) {
  const json request = exchange.Json();
  std::vector<BlockHash> chain;
  for (const json& hex : request.at("blocks"))
    chain.push_back(
        BlockHashFromHex(hex.get<std::string>()).value_or(BlockHash{}));
  std::size_t held = 0;
  core_.WithCache([&](PrefixCache& cache) { held = cache.Match(chain); });
  if (chain.empty() || held < chain.size())
    return exchange.ReplyError(ResultCode::kBlockRejected, "blocks not held");
  const ExportOutcome outcome = StoreBlocks(
      chain, request, [this] { return faults_.Flag("crash_in_export"); });
  if (outcome.error)
    return exchange.ReplyError(*outcome.error, "export failed");
  exchange.Reply(outcome.handle);
}

void Engine::Status(StandinExchange& exchange) {
  const std::lock_guard lock(mutex_);
  const Milliseconds lag(faults_.Number("load_lag_ms"));
  if (reported_load_.is_null() || MonotonicNow() - reported_at_ >= lag) {
    const EngineLoad load = core_.Load();
    reported_at_ = MonotonicNow();
    reported_load_ = {{"running", load.running},
                      {"queued", load.queued},
                      {"queued_prefill_tokens", load.queued_prefill_tokens}};
    core_.WithCache([&](PrefixCache& cache) {
      reported_load_["kv_used"] = cache.size() * kNominalBlockBytes;
      reported_load_["kv_capacity"] = cache.capacity() * kNominalBlockBytes;
    });
  }
  json status = reported_load_;
  const char* state = "ready";
  if (loaded_.leaving || faults_.Flag("leaving"))
    state = "leaving";
  else if (loaded_.loading)
    state = "loading";
  else if (loaded_.version.empty() || loaded_.role.empty())
    state = "idle";
  status.update({{"incarnation", incarnation_},
                 {"state", state},
                 {"model", loaded_.model},
                 {"version", loaded_.version},
                 {"adapters", loaded_.adapters},
                 {"role", loaded_.role},
                 {"fencing", loaded_.fencing}});
  exchange.Reply(status);
}

json Engine::BatchToJson(const CacheEventBatch& batch) const {
  json events = json::array();
  for (const CacheEvent& event : batch.events) {
    const bool stored = event.kind == CacheEvent::Kind::kStored;
    events.push_back({{"sequence", event.sequence},
                      {"kind", stored ? "stored" : "evicted"},
                      {"block", ToHex(event.block)}});
  }
  return {{"incarnation", incarnation_},
          {"first_sequence", batch.first_sequence},
          {"next_sequence", batch.next_sequence},
          {"events", std::move(events)}};
}

void Engine::Events(StandinExchange& exchange) {
  CacheEventBatch batch;
  core_.WithCache([&](PrefixCache& cache) {
    if (faults_.ConsumeOne("drop_events"))
      cache.DropEvents();
    batch = cache.Events(exchange.QueryNumber("from"),
                         Milliseconds(faults_.Number("event_lag_ms")));
  });
  exchange.Reply(BatchToJson(batch));
}

void Engine::Trace(const std::string& prompt, MonotonicTime received) {
  const std::lock_guard lock(mutex_);
  traces_[prompt] = (MonotonicNow() - received).count();
}

void Engine::Traces(StandinExchange& exchange) {
  const std::lock_guard lock(mutex_);
  exchange.Reply(traces_);
}

void Engine::Blocks(StandinExchange& exchange) {
  CacheEventBatch batch;
  core_.WithCache([&](PrefixCache& cache) { batch = cache.AllBlocks(); });
  exchange.Reply(BatchToJson(batch));
}

}  // namespace
}  // namespace carobshift

int main(int argc, char** argv) {
  const carobshift::EngineOptions options =
      carobshift::ParseEngineOptions(argc, argv);
  carobshift::StandinServer server;
  carobshift::Engine engine(server.faults(), options);
  using Exchange = carobshift::StandinExchange;
  server.Route("POST", "/v1/completions",
               [&](Exchange& x) { engine.Complete(x); });
  server.Route("POST", "/orders", [&](Exchange& x) { engine.Order(x); });
  server.Route("POST", "/exports", [&](Exchange& x) { engine.Export(x); });
  server.Route("GET", "/status", [&](Exchange& x) { engine.Status(x); });
  server.Route("GET", "/events", [&](Exchange& x) { engine.Events(x); });
  server.Route("GET", "/traces", [&](Exchange& x) { engine.Traces(x); });
  server.Route("GET", "/blocks", [&](Exchange& x) { engine.Blocks(x); });
  return server.Run(options.listen);
}
