// A whole cut-down deployment on loopback: log, list, weight store, engines,
// plain services, stores and entries as child processes, with a declaration in
// force.
//
//   Cluster cluster({.entries = 3, .engines = 2});
//   Caller caller(cluster.entry(0).address(), kClubKey);
//   cluster.engine(0).Kill();

#ifndef TESTING_CLUSTER_H_
#define TESTING_CLUSTER_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "testing/process.h"

namespace carobshift {

inline constexpr char kClubKey[] = "key-of-lahore-club";
inline constexpr char kOtherClubKey[] = "key-of-karachi-club";
inline constexpr char kModelService[] = "assistant";
inline constexpr char kPlainService[] = "tee-desk";
inline constexpr char kModel[] = "caddie";
inline constexpr char kFirstVersion[] = "v1";

struct ClusterOptions {
  int entries = 3;
  int engines = 2;
  int plain_services = 1;
  int stores = 1;
  // Availability zones a, b, c, ... taken in turn.
  int zones = 3;
  std::vector<std::string> engine_flags{};
  std::vector<std::string> store_flags{};
  std::vector<std::string> entry_flags{};
  // Entries come up without a declaration if false.
  bool publish = true;
  // Fields besides weights, replicas and floor of the model service.
  std::string service_fields{};
};

// Throws std::runtime_error where a process doesn't start or the deployment
// isn't ready in time. Not thread-safe.
class Cluster {
 public:
  explicit Cluster(const ClusterOptions& options);
  ~Cluster();

  Process& log() { return *log_; }
  Process& list() { return *list_; }
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

  // Starts and lists a new process in the place of a dead one.
  void RestartEntry(std::size_t i);
  void RestartEngine(std::size_t i);

  // Changes the list's row of an instance, such as {"state":"leaving"}.
  void Relist(const std::string& id, const nlohmann::json& fields);
  void Unlist(const std::string& id);

  // The declaration with this weight version.
  [[nodiscard]] std::string DeclarationText(const std::string& version) const;
  // Appends an edit; returns its offset. Throws if the log refuses it.
  std::uint64_t Publish(const std::string& edit,
                        const std::string& text,
                        std::optional<std::uint64_t> base);
  void WaitUntilServing();

  // GET with the operators' key.
  [[nodiscard]] nlohmann::json OperatorGet(std::size_t entry,
                                           const std::string& path) const;
  [[nodiscard]] nlohmann::json State(std::size_t entry) const {
    return OperatorGet(entry, "/debug/state");
  }
  // How often a plain call with this body has run, over all plain services.
  [[nodiscard]] int Runs(const std::string& body) const;

 private:
  [[nodiscard]] std::string Zone(std::size_t i) const;
  std::unique_ptr<Process> StartEntry(std::size_t i);
  std::unique_ptr<Process> StartEngine(std::size_t i);

  const ClusterOptions options_;
  TemporaryDirectory directory_;
  std::string secret_file_;
  std::unique_ptr<Process> log_;
  std::unique_ptr<Process> list_;
  std::unique_ptr<Process> weights_;
  std::vector<std::unique_ptr<Process>> stores_;
  std::vector<std::unique_ptr<Process>> plain_services_;
  std::vector<std::unique_ptr<Process>> engines_;
  std::vector<std::unique_ptr<Process>> entries_;
};

// Switches faults of a stand-in; throws if it doesn't answer.
void SetFaults(const Process& standin, const nlohmann::json& faults);

}  // namespace carobshift

#endif  // TESTING_CLUSTER_H_
