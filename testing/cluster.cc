#include "testing/cluster.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

#include "carobshift/base/digest.h"
#include "carobshift/base/operator_key.h"
#include "carobshift/config/config_record.h"
#include "carobshift/external/http_log_service.h"
#include "testing/http_client.h"

namespace carobshift {
namespace {

using nlohmann::json;

constexpr char kSecret[] = "loopback deployment secret";
constexpr char kListen[] = "127.0.0.1:0";

std::string InstanceId(const std::string& kind, std::size_t i) {
  return kind + "-" + std::to_string(i);
}

void AppendFlags(std::vector<std::string>& flags,
                 const std::vector<std::string>& more) {
  flags.insert(flags.end(), more.begin(), more.end());
}

void RequireOk(const HttpAnswer& answer, const std::string& what) {
  constexpr int kOk = 200;
  if (answer.status != kOk)
    throw std::runtime_error(what + " failed: " + answer.failure + answer.body);
}

// Returns whether the entry can reach an engine that answers. The prompt is
// shorter than a block, so the probe leaves nothing in the prefix cache of the
// engine.
bool AnswersProbe(const Process& entry) {
  const json body = {
      {"model", kModelService}, {"prompt", "probe"}, {"max_tokens", 1}};
  const std::string credentials = "Bearer " + std::string(kAccountKey);
  return HttpSend(
             entry.address(), "POST", "/v1/completions",
             {.body = body.dump(), .headers = {{"Authorization", credentials}}})
             .status == 200;
}

}  // namespace

Cluster::Cluster(const ClusterOptions& options) : options_(options) {
  const std::string& dir = directory_.path();
  secret_file_ = dir + "/secret";
  std::ofstream(secret_file_) << kSecret;
  log_ =
      std::make_unique<Process>("standin_log", std::vector<std::string>{}, dir);
  instance_list_ = std::make_unique<Process>("standin_list",
                                             std::vector<std::string>{}, dir);
  weights_ = std::make_unique<Process>("standin_weights",
                                       std::vector<std::string>{}, dir);
  for (int i = 0; i < options.stores; ++i) {
    stores_.push_back(
        std::make_unique<Process>("standin_store", options.store_flags, dir));
    UpdateInstance(InstanceId("store", stores_.size() - 1),
                   {{"kind", "store"},
                    {"zone", Zone(stores_.size() - 1)},
                    {"address", stores_.back()->address().ToString()}});
  }
  for (int i = 0; i < options.plain_services; ++i) {
    plain_services_.push_back(std::make_unique<Process>(
        "standin_plain", std::vector<std::string>{}, dir));
    UpdateInstance(InstanceId("desk", plain_services_.size() - 1),
                   {{"kind", "plain"},
                    {"pool", "desks"},
                    {"zone", Zone(plain_services_.size() - 1)},
                    {"address", plain_services_.back()->address().ToString()}});
  }
  for (int i = 0; i < options.engines; ++i)
    engines_.push_back(StartEngine(engines_.size()));
  for (int i = 0; i < options.entries; ++i)
    entries_.push_back(StartEntry(entries_.size()));
  if (options.publish) {
    Publish("first", DeclarationText(kFirstVersion), std::nullopt);
    WaitUntilServing();
  }
}

Cluster::~Cluster() = default;

std::vector<NetAddress> Cluster::EntryAddresses() const {
  std::vector<NetAddress> addresses;
  for (const auto& entry : entries_)
    addresses.push_back(entry->address());
  return addresses;
}

void Cluster::RestartEntry(std::size_t i) {
  entries_.at(i) = StartEntry(i);
}

void Cluster::RestartEngine(std::size_t i) {
  engines_.at(i) = StartEngine(i);
}

std::unique_ptr<Process> Cluster::StartEntry(std::size_t i) {
  std::vector<std::string> flags = {
      "--entry=" + InstanceId("entry", i),
      "--zone=" + Zone(i),
      "--listen=127.0.0.1:0",
      "--log=" + log_->address().ToString(),
      "--instance_list=" + instance_list_->address().ToString(),
      "--secret_file=" + secret_file_,
      "--address_ttl_ms=1000",
      "--list_poll_interval_ms=100",
      "--status_poll_interval_ms=50",
      "--platform_timeout_ms=1000"};
  AppendFlags(flags, options_.entry_flags);
  auto entry =
      std::make_unique<Process>("carobshiftd", flags, directory_.path());
  UpdateInstance(InstanceId("entry", i),
                 {{"kind", "entry"},
                  {"state", "live"},
                  {"zone", Zone(i)},
                  {"address", entry->address().ToString()}});
  return entry;
}

std::unique_ptr<Process> Cluster::StartEngine(std::size_t i) {
  std::vector<std::string> flags = {
      "--listen=" + std::string(kListen),
      "--weights=" + weights_->address().ToString(), "--weight-bytes=200000",
      "--step-us=2000"};
  AppendFlags(flags, options_.engine_flags);
  auto engine =
      std::make_unique<Process>("standin_engine", flags, directory_.path());
  UpdateInstance(InstanceId("engine", i),
                 {{"kind", "engine"},
                  {"state", "live"},
                  {"pool", "accelerators"},
                  {"zone", Zone(i)},
                  {"address", engine->address().ToString()}});
  return engine;
}

std::string Cluster::Zone(std::size_t i) const {
  const auto zone = i % static_cast<std::size_t>(options_.zones);
  return std::string(1, static_cast<char>('a' + zone));
}

void Cluster::UpdateInstance(const std::string& id, const json& fields) {
  RequireOk(HttpSend(instance_list_->address(), "PUT", "/instances/" + id,
                     {.body = fields.dump()}),
            "updating instance " + id);
}

void Cluster::RemoveInstance(const std::string& id) {
  RequireOk(HttpSend(instance_list_->address(), "DELETE", "/instances/" + id),
            "removing instance " + id);
}

std::string Cluster::DeclarationText(const std::string& version) const {
  std::ostringstream text;
  text << "format: 1\n"
       << "models:\n  - {name: " << kModel << ", kv_bytes_per_token: 1024}\n"
       << "pools:\n  - {name: accelerators}\n"
       << "  - {name: desks, kind: plain}\n"
       << "services:\n  - name: " << kModelService
       << "\n    pool: accelerators\n    model: " << kModel
       << "\n    weights: " << version << "\n    replicas: " << options_.engines
       << "\n    floor: " << options_.engines / 2 << "\n"
       << options_.service_fields << "  - {name: " << kPlainService
       << ", kind: plain, pool: desks, replicas: " << options_.plain_services
       << "}\n";
  if (options_.stores > 0)
    text << "stores:\n";
  for (int i = 0; i < options_.stores; ++i) {
    text << "  - {id: " << InstanceId("store", static_cast<std::size_t>(i))
         << ", link_bytes_per_second: 100000000}\n";
  }
  text << "accounts:\n  - {id: lahore, key_sha256: [" << Sha256Hex(kAccountKey)
       << "], weight: 2, max_in_flight: 2000}\n  - {id: karachi, key_sha256: ["
       << Sha256Hex(kOtherAccountKey) << "]}\n";
  return text.str();
}

std::uint64_t Cluster::Publish(const std::string& edit,
                               const std::string& text,
                               std::optional<std::uint64_t> base) {
  EditRecord record{EditId(edit), std::nullopt, text};
  if (base)
    record.base = ConfigVersion(*base);
  HttpLogService log(log_->address(), HttpOptions());
  const auto offset =
      log.Append(LogStream(kConfigStream), EncodeConfigRecord(record).value());
  if (!offset.ok())
    throw std::runtime_error("publish failed: " + offset.error().message);
  return offset.value().value();
}

void Cluster::WaitUntilServing() {
  const bool ready = WaitUntil([this] {
    for (const auto& engine : engines_) {
      const json status = HttpSend(engine->address(), "GET", "/status").Json();
      if (status.is_discarded() || status.value("state", "") != "ready")
        return false;
    }
    for (const auto& entry : entries_) {
      if (HttpSend(entry->address(), "GET", "/readyz").status != 200 ||
          !AnswersProbe(*entry))
        return false;
    }
    return true;
  });
  if (!ready)
    throw std::runtime_error("deployment not ready: " + entries_[0]->Output());
}

json Cluster::OperatorGet(std::size_t entry, const std::string& path) const {
  return HttpSend(
             entries_.at(entry)->address(), "GET", path,
             {.headers = {{"Authorization", "Bearer " + OperatorKey(kSecret)}}})
      .Json();
}

int Cluster::Runs(const std::string& body) const {
  int runs = 0;
  for (const auto& service : plain_services_) {
    const json answer = HttpSend(service->address(), "GET", "/runs").Json();
    if (answer.is_object())
      runs += answer.at("by_body").value(body, 0);
  }
  return runs;
}

void SetFaults(const Process& standin, const json& faults) {
  RequireOk(
      HttpSend(standin.address(), "POST", "/faults", {.body = faults.dump()}),
      "setting faults");
}

}  // namespace carobshift
