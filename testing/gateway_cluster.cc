#include "testing/gateway_cluster.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace carobshift {
namespace {

using nlohmann::json;

// Where the relays of gateway 0 listen, each at the port of its target.
constexpr char kRelayHost[] = "127.0.2.1";

enum PortOffset {
  kFront = 0,
  kReady,
  kDirectory,
  kMetrics,
  kControl,
  kInternal
};

std::string HostOf(std::size_t gateway) {
  return "127.0.1." + std::to_string(gateway + 1);
}

std::vector<std::string> HostsOf(int gateways) {
  std::vector<std::string> hosts;
  for (int i = 0; i < gateways; ++i)
    hosts.push_back(HostOf(static_cast<std::size_t>(i)));
  return hosts;
}

json RouteOf(const std::string& name,
             const std::string& kind,
             const std::string& service,
             bool resumable,
             Milliseconds timeout) {
  return {{"name", name},
          {"host", "api.example"},
          {"path_prefix", "/" + name + "/"},
          {"kind", kind},
          {"timeout_ms", timeout.count()},
          {"target_latency_ms", 800},
          {"priority", 1},
          {"service", service},
          {"attempts", kind == "unsafe" ? 1 : 2},
          {"allow_anonymous", false},
          {"sticky_sessions", service == "engines"},
          {"resumable", resumable}};
}

}  // namespace

GatewayCluster::GatewayCluster(const GatewayClusterOptions& options)
    : options_(options),
      ports_(HostsOf(options.gateways)),
      platform_(std::make_unique<Process>("standin_platform",
                                          std::vector<std::string>{},
                                          directory_.path())) {
  for (int i = 0; i < options.engines; ++i)
    AddReplica("engine-" + std::to_string(i), /*engine=*/true);
  for (int i = 0; i < options.plain_services; ++i)
    AddReplica("desk-" + std::to_string(i), /*engine=*/false);
  PutConfig(1, /*with_key=*/true);
  if (options.relayed)
    StartRelays();
  gateways_.resize(static_cast<std::size_t>(options.gateways));
  for (std::size_t i = 0; i < gateways_.size(); ++i)
    StartGateway(i);
  const bool ready = WaitUntil([this] {
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      if (!Ready(i) || State(i).at("members").size() != gateways_.size() ||
          State(i).at("endpoints").size() != replicas_.size())
        return false;
    }
    return true;
  });
  if (!ready)
    throw std::runtime_error("gateways did not become ready");
}

void GatewayCluster::StartRelays() {
  const auto relay_to = [](const NetAddress& target) {
    return std::make_unique<Relay>(target, NetAddress{kRelayHost, target.port});
  };
  for (const Replica& replica : replicas_)
    endpoint_relays_.push_back(relay_to(replica.process->address()));
}

void GatewayCluster::CutPathsToEndpoints(CutForm form) {
  for (const auto& relay : endpoint_relays_)
    relay->Cut(form);
}

void GatewayCluster::RestorePathsToEndpoints() {
  for (const auto& relay : endpoint_relays_)
    relay->Restore();
}

void GatewayCluster::AddReplica(const std::string& id, bool engine) {
  std::vector<std::string> arguments = {"--id", id};
  const std::vector<std::string>& versions = options_.software;
  const std::string software =
      engine ? versions[replicas_.size() % versions.size()] : "v1";
  if (engine && versions.size() > 1)
    arguments.insert(arguments.end(), {"--software", software});
  if (engine) {
    arguments.insert(
        arguments.end(),
        {"--model", "m1", "--events", std::to_string(options_.events),
         "--event-gap-ms", std::to_string(options_.event_gap.count())});
  }
  replicas_.push_back({id, engine ? "engines" : "desks", engine, software,
                       std::make_unique<Process>("standin_replica", arguments,
                                                 directory_.path()),
                       /*heartbeats=*/0});
  PutReplica(replicas_.size() - 1, "ready");
}

void GatewayCluster::PutKeyed(const std::string& topic,
                              const std::string& key,
                              const std::string& value) {
  std::string record;
  record.push_back(static_cast<char>(key.size()));
  PutRaw(topic, record + key + value);
}

void GatewayCluster::PutRaw(const std::string& topic,
                            const std::string& record) {
  constexpr int kBitsPerByte = 8;
  std::string body;
  for (int shift = 24; shift >= 0; shift -= kBitsPerByte)
    body.push_back(static_cast<char>(record.size() >> shift & 0xff));
  const HttpAnswer answer = HttpSend(platform_->address(), "POST",
                                     "/log-append?topic=" + topic + "&part=0",
                                     {.body = body + record});
  if (answer.status != 200)
    throw std::runtime_error(
        "append to the platform log returned HTTP status " +
        std::to_string(answer.status));
}

void GatewayCluster::PutConfig(int number, const ConfigChange& change) {
  json accounts = json::array(
      {{{"name", "north"},
        {"api_keys", change.with_key ? json::array({kKey}) : json::array()}},
       {{"name", "south"},
        {"api_keys", {"key-of-south"}},
        {"isolated", change.south_isolated}}});
  if (!change.with_accounts)
    accounts = json::array();
  const auto route = [timeout = change.timeout.value_or(options_.timeout)](
                         const char* name, const char* kind,
                         const std::string& service, bool resumable) {
    return RouteOf(name, kind, service, resumable, timeout);
  };
  json config = {
      {"version", number},
      {"routes",
       {route("review", "streaming", change.review_service, true),
        route("ask", "streaming", "engines", false),
        route("book", "unsafe", "desks", false),
        route("find", "safe", "desks", false)}},
      {"services",
       {{{"name", "engines"},
         {"connection_limit", 100},
         {"engine",
          {{"slots", 16},
           {"kv_cache_tokens", 100000},
           {"max_concurrent", 8},
           {"models", {{{"name", "m1"}}}}}}},
        {{"name", "desks"}, {"connection_limit", 100}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", options_.max_body_bytes},
        {"header_timeout_ms", options_.header_timeout.count()},
        {"idle_timeout_ms",
         change.idle_timeout.value_or(options_.idle_timeout).count()}}},
      {"tenants", accounts}};
  if (options_.spares) {
    json spares = config.at("services").at(0);
    spares["name"] = "spares";
    config["services"].push_back(std::move(spares));
  }
  PutKeyed("keyed.op", "config", config.dump());
}

void GatewayCluster::PublishWeightVersion(int number) {
  PutKeyed("keyed.op", "version/m1",
           json{{"model", "m1"}, {"version", number}}.dump());
}

void GatewayCluster::PutReplica(std::size_t index,
                                const std::string& state,
                                int start_time) {
  PutReplicaRecord(
      index, state.empty() ? "" : NextHeartbeat(index, state, start_time));
}

void GatewayCluster::PutReplicaRecord(std::size_t index,
                                      const std::string& record) {
  PutKeyed("keyed.servers", replicas_[index].id, record);
}

std::string GatewayCluster::NextHeartbeat(std::size_t index,
                                          const std::string& state,
                                          int start_time) {
  Replica& replica = replicas_[index];
  json record = {{"service", replica.service},
                 {"address", replica.process->address().ToString()},
                 {"zone", "z1"},
                 {"version", replica.software},
                 {"slots", options_.slots},
                 {"state", state},
                 {"sequence", ++replica.heartbeats},
                 {"born", start_time},
                 {"models", json::array()}};
  if (replica.engine) {
    const json weights = RunsOf(index).at("weights");
    record["models"].push_back({{"name", "m1"}, {"version", weights}});
  }
  return record.dump();
}

NetAddress GatewayCluster::AddressOf(std::size_t gateway, int offset) const {
  return {HostOf(gateway), static_cast<std::uint16_t>(ports_.first() + offset)};
}

NetAddress GatewayCluster::FrontAddress(std::size_t index) const {
  return AddressOf(index, kFront);
}

NetAddress GatewayCluster::DirectoryAddress(std::size_t index) const {
  return AddressOf(index, kDirectory);
}

NetAddress GatewayCluster::ReadyAddress(std::size_t index) const {
  return AddressOf(index, kReady);
}

NetAddress GatewayCluster::HandoffAddress(std::size_t index) const {
  constexpr int kHandoff = kInternal + 2;
  return AddressOf(index, kHandoff);
}

std::string GatewayCluster::WriteSettings(std::size_t gateway,
                                          bool first_start) const {
  const auto address = [&](PortOffset port) {
    return AddressOf(gateway, port).ToString();
  };
  const int first_internal_port = ports_.first() + kInternal;
  const std::string path =
      directory_.path() + "/gateway-" + std::to_string(gateway) + ".yaml";
  std::ofstream out(path);
  out << "node_name: gateway-" << gateway
      << "\nzone: z1\nip: " << HostOf(gateway)
      << "\nlisten_addresses:\n  front: " << address(kFront)
      << "\n  ready: " << address(kReady)
      << "\n  directory: " << address(kDirectory) << "\ninternal_port_range: ["
      << first_internal_port << ", " << first_internal_port + 2
      << "]\nseeds: [\"" << AddressOf(0, kControl).ToString()
      << "\"]\nbounds: {lease_ms: " << options_.lease.count()
      << ", version_ms: " << options_.weights_replacement_bound.count()
      << ", grace_period_s: 6, retry_budget_ratio: 0.2, retry_budget_extra: "
      << options_.retry_budget_extra << "}"
      << "\nlimits: {memory_mb: " << options_.memory_mb;
  if (options_.file_descriptors > 0)
    out << ", file_descriptors: " << options_.file_descriptors;
  out << "}"
      << "\nfirst_start: " << (first_start ? "true" : "false")
      << "\nplatform: {address: \"" << platform_->address().ToString()
      << "\"}\n";
  return path;
}

void GatewayCluster::StartGateway(std::size_t index) {
  const bool first_start = gateways_[index] == nullptr;
  const std::string settings = WriteSettings(index, first_start);
  const std::string metrics_port = std::to_string(ports_.first() + kMetrics);
  if (options_.relayed && index == 0) {
    gateways_[index] = std::make_unique<Process>(
        "relayed_gateway",
        std::vector<std::string>{"--settings", settings, "--metrics-port",
                                 metrics_port, "--relay-host", kRelayHost},
        directory_.path());
    return;
  }
  gateways_[index] = std::make_unique<Process>(
      "carobshiftd",
      std::vector<std::string>{"gateway", "--print-address", "--settings",
                               settings, "--metrics-port", metrics_port},
      directory_.path());
}

HttpAnswer GatewayCluster::Send(std::size_t index,
                                const std::string& method,
                                const std::string& path,
                                HttpSendOptions options) {
  ++requests_;
  auto& headers = options.headers;
  headers.insert(headers.begin(),
                 {{"Host", "api.example"}, {"Request-Id", LastRequestId()}});
  const auto add_default = [&headers](const std::string& name,
                                      const std::string& value) {
    const bool given =
        std::any_of(headers.begin(), headers.end(),
                    [&name](const auto& field) { return field.first == name; });
    if (!given)
      headers.emplace_back(name, value);
  };
  add_default("Deadline-Ms", "5000");
  add_default("X-Api-Key", kKey);
  if (path.starts_with("/review") || path.starts_with("/ask")) {
    add_default("Model", "m1");
    add_default("Token-Counts", "300,50");
    add_default("Prompt-Prefix", "aa:100,bb:100,cc:100");
  }
  return HttpSend(FrontAddress(index), method, path, options);
}

HttpSendOptions GatewayCluster::StreamRequestOptions(
    const std::string& request) {
  HttpSendOptions options;
  options.headers = {{"Host", "api.example"},
                     {"Request-Id", request},
                     {"Deadline-Ms", "15000"},
                     {"X-Api-Key", kKey},
                     {"Model", "m1"},
                     {"Token-Counts", "300,100"},
                     {"Prompt-Prefix", "aa:100," + request + ":200"}};
  return options;
}

HttpSendOptions GatewayCluster::EngineRequestOptions(
    std::size_t engine,
    const std::string& request) {
  HttpSendOptions options = StreamRequestOptions(request);
  options.headers.emplace_back("Expect-Instance",
                               "engine-" + std::to_string(engine));
  return options;
}

std::string GatewayCluster::LastRequestId() const {
  return "request-" + std::to_string(requests_);
}

json GatewayCluster::Addresses(std::size_t index) const {
  return HttpSend(AddressOf(index, kDirectory), "GET",
                  "/resolution?name=api.example&region=r&zone=z1")
      .Json();
}

bool GatewayCluster::Ready(std::size_t index) const {
  return HttpSend(AddressOf(index, kReady), "GET", "/readiness").status == 200;
}

json GatewayCluster::State(std::size_t index) const {
  return HttpSend(AddressOf(index, kMetrics), "GET", "/debug/state").Json();
}

json GatewayCluster::RunsOf(std::size_t replica) const {
  return HttpSend(replicas_[replica].process->address(), "GET", "/runs").Json();
}

std::vector<json> GatewayCluster::LogLines(const std::string& field,
                                           const json& value) const {
  std::vector<json> lines;
  for (const auto& gateway : gateways_) {
    std::istringstream output(gateway->Output());
    for (std::string text; std::getline(output, text);) {
      const json line = json::parse(text, nullptr, /*allow_exceptions=*/false);
      if (line.is_object() && line.contains(field) && line.at(field) == value)
        lines.push_back(line);
    }
  }
  return lines;
}

int GatewayCluster::TotalRuns() const {
  int runs = 0;
  for (std::size_t i = 0; i < replicas_.size(); ++i)
    runs += static_cast<int>(RunsOf(i).at("runs").size());
  return runs;
}

}  // namespace carobshift
