// Interface through which the components of a process contribute to its state
// dump.
//
//   class LeaseTask : public StateSource { ... };
//   dump.Register("lease", lease_task);
//   nlohmann::json state = dump.Collect();

#ifndef CAROBSHIFT_TELEMETRY_STATE_SOURCE_H_
#define CAROBSHIFT_TELEMETRY_STATE_SOURCE_H_

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace carobshift {

// A component with state to dump. Implementations are thread-safe. A dump is
// bounded (long tables are truncated and marked as such) and holds no prompt
// text, key or secret.
class StateSource {
 public:
  virtual ~StateSource() = default;
  [[nodiscard]] virtual nlohmann::json DumpState() const = 0;
};

// Collects the state of all components of a process. Thread-safe. Sources must
// outlive it.
class StateDump {
 public:
  void Register(std::string section, const StateSource& source) {
    const std::lock_guard lock(mutex_);
    sources_[std::move(section)] = &source;
  }

  [[nodiscard]] nlohmann::json Collect() const {
    std::map<std::string, const StateSource*> sources;
    {
      // Released before the sources lock their own mutexes.
      const std::lock_guard lock(mutex_);
      sources = sources_;
    }
    nlohmann::json out = nlohmann::json::object();
    for (const auto& [section, source] : sources)
      out[section] = source->DumpState();
    return out;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, const StateSource*> sources_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_TELEMETRY_STATE_SOURCE_H_
