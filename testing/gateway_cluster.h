// A deployment of gateway processes on loopback, with stand-ins for the
// surrounding platform: its log, and the replicas (engines and plain services)
// behind the gateways.
//
//   GatewayCluster cluster({.gateways = 2, .engines = 2});
//   HttpAnswer answer = cluster.Send(0, "POST", "/book/1", {});
//
// Every gateway has its own loopback address and all use the same ports, as on
// the platform.

#ifndef TESTING_GATEWAY_CLUSTER_H_
#define TESTING_GATEWAY_CLUSTER_H_

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/net_address.h"
#include "testing/http_client.h"
#include "testing/port_block.h"
#include "testing/process.h"
#include "testing/relay.h"

namespace carobshift {

struct GatewayClusterOptions {
  int gateways = 2;
  int engines = 2;
  int plain_services = 2;
  // Software versions of the engines, in turn. Their events state the version
  // if there is more than one.
  std::vector<std::string> software = {"v1"};
  // Slots that the record of each replica states.
  int slots = 16;
  int events = 5;
  Milliseconds event_gap{20};
  // Request timeout of every route.
  Milliseconds timeout{5000};
  Milliseconds lease{1000};
  // Retries in ten seconds, beyond a fifth of the requests.
  int retry_budget_extra = 50;
  // Time limit of a weight rollout: from the publication of a new weight
  // version until no request may start on an older one.
  Milliseconds weights_replacement_bound{15000};
  // Gateway 0 reaches the endpoints through relays, so that its paths to the
  // endpoints can be cut.
  bool relayed = false;
  // Limit of a request's body, and of the memory of a gateway.
  int max_body_bytes = 65536;
  int memory_mb = 160;
  // Descriptors that a gateway's settings allow it; none stated if 0.
  int file_descriptors = 0;
  // Limits of the time that a request's head may take, and a connection idle.
  Milliseconds header_timeout{1000};
  Milliseconds idle_timeout{5000};
  // A further service of engines, "spares", to which no route leads.
  bool spares = false;
};

// Configured routes: /review/ (a resumable stream), /ask/ (a stream that is not
// resumable), /book/ (runs at most once), /find/ (idempotent).
class GatewayCluster {
 public:
  static constexpr char kKey[] = "key-of-north";

  explicit GatewayCluster(const GatewayClusterOptions& options);

  // Sends a request to gateway `index` with a new request id. Adds a deadline,
  // the API key and a small prompt unless `options` sets them.
  [[nodiscard]] HttpAnswer Send(std::size_t index,
                                const std::string& method,
                                const std::string& path,
                                HttpSendOptions options = {});
  // Returns the headers of a client request with the API key, 300 input tokens
  // and 100 output tokens. All such requests share one prompt part; the rest of
  // the prompt is unique to the request.
  [[nodiscard]] static HttpSendOptions StreamRequestOptions(
      const std::string& request);
  // Returns the same headers as a gateway would send them to engine `engine`.
  [[nodiscard]] static HttpSendOptions EngineRequestOptions(
      std::size_t engine,
      const std::string& request);
  // Returns the address at which gateway `index` accepts client requests.
  [[nodiscard]] NetAddress FrontAddress(std::size_t index) const;
  // Returns the addresses at which gateway `index` answers address lookups and
  // readiness checks, and accepts requests that other gateways hand over.
  [[nodiscard]] NetAddress DirectoryAddress(std::size_t index) const;
  [[nodiscard]] NetAddress ReadyAddress(std::size_t index) const;
  [[nodiscard]] NetAddress HandoffAddress(std::size_t index) const;
  // Returns the response of gateway `index` to an address lookup.
  [[nodiscard]] nlohmann::json Addresses(std::size_t index) const;
  [[nodiscard]] bool Ready(std::size_t index) const;
  [[nodiscard]] nlohmann::json State(std::size_t index) const;

  // What a configuration may change.
  struct ConfigChange {
    bool with_key = true;
    // Whether the list of accounts has any.
    bool with_accounts = true;
    // Whether the account "south" shares no cached parts.
    bool south_isolated = false;
    // Timeout of every route; that of the options if it isn't set.
    std::optional<Milliseconds> timeout{};
    // Of callers' connections; that of the options if it isn't set.
    std::optional<Milliseconds> idle_timeout{};
    // The service to which /review/ leads.
    std::string review_service = "engines";
  };
  // Writes records of the operator: a configuration with this version, or a new
  // weight version of the model.
  void PutConfig(int number, const ConfigChange& change);
  void PutConfig(int number, bool with_key) {
    PutConfig(number, ConfigChange{.with_key = with_key});
  }
  void PublishWeightVersion(int number);
  // Writes the record that an endpoint publishes about itself. An empty `state`
  // removes it. `start_time` tells its incarnations apart.
  void PutReplica(std::size_t index,
                  const std::string& state,
                  int start_time = 0);
  // Appends bytes to a keyed topic as one record: any bytes at all, or a key of
  // at most 255 bytes with its value.
  void PutRaw(const std::string& topic, const std::string& record);
  void PutKeyed(const std::string& topic,
                const std::string& key,
                const std::string& value);
  // Returns the record of the endpoint's next heartbeat, for a log that writes
  // it later.
  [[nodiscard]] std::string NextHeartbeat(std::size_t index,
                                          const std::string& state,
                                          int start_time = 0);
  void PutReplicaRecord(std::size_t index, const std::string& record);

  // Cuts the paths of gateway 0 to all endpoints. Its callers, the other
  // gateways and the log still reach it, and it reaches them.
  void CutPathsToEndpoints(CutForm form);
  void RestorePathsToEndpoints();

  void StartGateway(std::size_t index);
  [[nodiscard]] Process& gateway(std::size_t index) {
    return *gateways_[index];
  }
  [[nodiscard]] std::size_t gateways() const { return gateways_.size(); }
  [[nodiscard]] Process& platform() { return *platform_; }
  // Engines first, then plain services.
  [[nodiscard]] Process& replica(std::size_t index) {
    return *replicas_[index].process;
  }
  [[nodiscard]] std::size_t replicas() const { return replicas_.size(); }
  [[nodiscard]] std::size_t engines() const {
    return static_cast<std::size_t>(options_.engines);
  }
  [[nodiscard]] nlohmann::json RunsOf(std::size_t replica) const;
  [[nodiscard]] int TotalRuns() const;
  // Returns the lines written so far to the logs of all gateways in which
  // `field` equals `value`, as `grep '"request":"ID"'` would find them.
  [[nodiscard]] std::vector<nlohmann::json> LogLines(
      const std::string& field,
      const nlohmann::json& value) const;
  [[nodiscard]] std::string LastRequestId() const;

 private:
  struct Replica {
    std::string id;
    std::string service;
    bool engine = false;
    std::string software;
    std::unique_ptr<Process> process;
    int heartbeats = 0;
  };

  void AddReplica(const std::string& id, bool engine);
  void StartRelays();
  // Returns the address of a gateway's port, counted from the first of the
  // block.
  [[nodiscard]] NetAddress AddressOf(std::size_t gateway, int offset) const;
  // `first_start`: the deployment has never run before.
  [[nodiscard]] std::string WriteSettings(std::size_t gateway,
                                          bool first_start) const;

  GatewayClusterOptions options_;
  TemporaryDirectory directory_;
  PortBlock ports_;
  std::unique_ptr<Process> platform_;
  std::vector<Replica> replicas_;
  std::vector<std::unique_ptr<Relay>> endpoint_relays_;
  std::vector<std::unique_ptr<Process>> gateways_;
  int requests_ = 0;
};

}  // namespace carobshift

#endif  // TESTING_GATEWAY_CLUSTER_H_
