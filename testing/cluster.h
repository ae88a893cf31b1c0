// A small deployment on loopback: the log, the instance list, the weight store,
// engines, plain services, KV stores and entries run as child processes, with a
// declaration (the configuration) in force.
//
//   Cluster cluster({.entries = 3, .engines = 2});
//   Caller caller(cluster.EntryAddresses(), kAccountKey);
//   cluster.engine(0).Kill();

#ifndef TESTING_CLUSTER_H_
#define TESTING_CLUSTER_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "testing/process.h"

namespace carobshift {

inline constexpr char kAccountKey[] = "key-of-lahore-club";
inline constexpr char kOtherAccountKey[] = "key-of-karachi-club";
inline constexpr char kModelService[] = "assistant";
inline constexpr char kPlainService[] = "tee-desk";
inline constexpr char kModel[] = "caddie";
inline constexpr char kFirstVersion[] = "v1";

struct ClusterOptions {
  int entries = 3;
  int engines = 2;
  int plain_services = 1;
  int stores = 1;
  // Number of availability zones (a, b, c, ...). Instances are assigned
  // round-robin.
  int zones = 3;
  std::vector<std::string> engine_flags{};
  std::vector<std::string> store_flags{};
  std::vector<std::string> entry_flags{};
  // If false, no declaration is published and the entries start without one.
  bool publish = true;
  // Additional YAML fields of the model service, besides weights, replicas and
  // floor.
  std::string service_fields{};
};

// Not thread-safe. The constructor throws std::runtime_error if a process does
// not start or the deployment is not ready in time.
class Cluster {
 public:
  explicit Cluster(const ClusterOptions& options);
  ~Cluster();

  Process& log() { return *log_; }
  Process& instance_list() { return *instance_list_; }
  Process& entry(std::size_t i) { return *entries_.at(i); }
  Process& engine(std::size_t i) { return *engines_.at(i); }
  Process& plain_service(std::size_t i) { return *plain_services_.at(i); }
  Process& store(std::size_t i) { return *stores_.at(i); }
  [[nodiscard]] std::size_t entries() const { return entries_.size(); }
  [[nodiscard]] std::size_t engines() const { return engines_.size(); }
  [[nodiscard]] std::size_t plain_services() const {
    return plain_services_.size();
  }
  [[nodiscard]] std::size_t stores() const { return stores_.size(); }
  [[nodiscard]] std::vector<NetAddress> EntryAddresses() const;
  [[nodiscard]] const std::string& secret_file() const { return secret_file_; }

  // Starts a new process in place of a dead one and updates its address in the
  // instance list.
  void RestartEntry(std::size_t i);
  void RestartEngine(std::size_t i);

  // Merges `fields`, such as {"state":"leaving"}, into the record of an
  // instance in the instance list.
  void UpdateInstance(const std::string& id, const nlohmann::json& fields);
  void RemoveInstance(const std::string& id);

  // Returns the YAML text of the declaration with this weight version.
  [[nodiscard]] std::string DeclarationText(const std::string& version) const;
  // Appends an edit to the log and returns its offset. Throws
  // std::runtime_error if the append fails.
  std::uint64_t Publish(const std::string& edit,
                        const std::string& text,
                        std::optional<std::uint64_t> base);
  void WaitUntilServing();

  // Sends a GET with the operator key and returns the JSON body.
  [[nodiscard]] nlohmann::json OperatorGet(std::size_t entry,
                                           const std::string& path) const;
  [[nodiscard]] nlohmann::json State(std::size_t entry) const {
    return OperatorGet(entry, "/debug/state");
  }
  // Returns how many times a plain call with this body has run, summed over all
  // plain services.
  [[nodiscard]] int Runs(const std::string& body) const;

 private:
  [[nodiscard]] std::string Zone(std::size_t i) const;
  std::unique_ptr<Process> StartEntry(std::size_t i);
  std::unique_ptr<Process> StartEngine(std::size_t i);

  const ClusterOptions options_;
  TemporaryDirectory directory_;
  std::string secret_file_;
  std::unique_ptr<Process> log_;
  std::unique_ptr<Process> instance_list_;
  std::unique_ptr<Process> weights_;
  std::vector<std::unique_ptr<Process>> stores_;
  std::vector<std::unique_ptr<Process>> plain_services_;
  std::vector<std::unique_ptr<Process>> engines_;
  std::vector<std::unique_ptr<Process>> entries_;
};

// Sets fault injection fields of a stand-in. Throws std::runtime_error if the
// request fails.
void SetFaults(const Process& standin, const nlohmann::json& faults);

}  // namespace carobshift

#endif  // TESTING_CLUSTER_H_
