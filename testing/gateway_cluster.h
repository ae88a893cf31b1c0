// Gateways as processes on loopback, before stand-ins of the users' platform.
//
//   GatewayCluster cluster({.gateways = 2, .engines = 2});
//   HttpAnswer answer = cluster.Send(0, "POST", "/book/1", {});
//
// Every gateway has a loopback address of its own and the same ports, as on the
// platform.

#ifndef TESTING_GATEWAY_CLUSTER_H_
#define TESTING_GATEWAY_CLUSTER_H_

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/net_address.h"
#include "testing/http_client.h"
#include "testing/process.h"

namespace carobshift {

struct GatewayClusterOptions {
  int gateways = 2;
  int engines = 2;
  int desks = 2;
  int events = 5;
  Milliseconds event_gap{20};
  // Of every route.
  Milliseconds timeout{5000};
  Milliseconds lease{1000};
  // From the naming of new weights until nothing may begin on older ones.
  Milliseconds weights_bound{15000};
};

// Routes of its configuration: /review/ (a stream that may be resumed), /ask/
// (a plain stream), /book/ (runs once), /find/ (idempotent).
class GatewayCluster {
 public:
  static constexpr char kKey[] = "key-of-north";

  explicit GatewayCluster(const GatewayClusterOptions& options);

  // To gateway `index`, with a fresh request id, and with the key and a small
  // prompt where `options` doesn't give others.
  [[nodiscard]] HttpAnswer Send(std::size_t index,
                                const std::string& method,
                                const std::string& path,
                                HttpSendOptions options = {});
  // The fields of a caller's question with the key, of 300 tokens in and 100
  // out: a session of its own behind one part that all such questions share.
  [[nodiscard]] static HttpSendOptions Question(const std::string& request);
  // The same as a gateway would send it to engine `index`.
  [[nodiscard]] static HttpSendOptions QuestionTo(std::size_t engine,
                                                  const std::string& request);
  // Where gateway `index` takes callers' requests.
  [[nodiscard]] NetAddress CallersOf(std::size_t index) const {
    return {HostOf(index), base_port_};
  }
  // What the instance answers to "which addresses".
  [[nodiscard]] nlohmann::json Addresses(std::size_t index) const;
  [[nodiscard]] bool Ready(std::size_t index) const;
  [[nodiscard]] nlohmann::json State(std::size_t index) const;

  // The operator's records.
  void PutConfig(int number, bool with_key);
  void NameWeights(int number);
  // An endpoint's own record; removed if `state` is empty.
  void PutReplica(std::size_t index, const std::string& state);

  void StartGateway(std::size_t index);
  [[nodiscard]] Process& gateway(std::size_t index) {
    return *gateways_[index];
  }
  [[nodiscard]] std::size_t gateways() const { return gateways_.size(); }
  [[nodiscard]] Process& platform() { return *platform_; }
  // Engines first, then desks.
  [[nodiscard]] Process& replica(std::size_t index) {
    return *replicas_[index].process;
  }
  [[nodiscard]] std::size_t replicas() const { return replicas_.size(); }
  [[nodiscard]] std::size_t engines() const {
    return static_cast<std::size_t>(options_.engines);
  }
  [[nodiscard]] nlohmann::json RunsOf(std::size_t replica) const;
  [[nodiscard]] int TotalRuns() const;
  // The lines of all gateways' logs so far in which `field` is `value`, as
  // `grep '"request":"ID"'` finds them.
  [[nodiscard]] std::vector<nlohmann::json> LogLines(
      const std::string& field,
      const nlohmann::json& value) const;
  [[nodiscard]] std::string LastRequestId() const;

 private:
  struct Replica {
    std::string id;
    std::string service;
    bool engine = false;
    std::unique_ptr<Process> process;
  };

  void AddReplica(const std::string& id, bool engine);
  void PutKeyed(const std::string& topic,
                const std::string& key,
                const std::string& value);
  [[nodiscard]] std::string HostOf(std::size_t gateway) const;
  [[nodiscard]] std::string WriteSettings(std::size_t gateway) const;

  GatewayClusterOptions options_;
  TemporaryDirectory directory_;
  std::uint16_t base_port_;
  std::unique_ptr<Process> platform_;
  std::vector<Replica> replicas_;
  std::vector<std::unique_ptr<Process>> gateways_;
  int requests_ = 0;
};

}  // namespace carobshift

#endif  // TESTING_GATEWAY_CLUSTER_H_
