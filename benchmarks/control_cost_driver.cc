// Measures the idle cost of the control plane: CPU time, memory and traffic per
// entry of real processes, with 3, 5 and 7 entries and 4 or 12 engines. Also
// measures the time from publishing an edit until it is in force on all seven
// entries, with a healthy log and with a slow one. Prints lines "name value
// unit".
//
// Traffic is read from the counters of the loopback interface, so no other
// process may use that interface during a run.

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "testing/cluster.h"
#include "testing/http_client.h"

namespace carobshift {
namespace {

constexpr Seconds kWarmUp{4};
constexpr Seconds kMeasurementTime{10};
constexpr int kEdits = 100;
constexpr Milliseconds kPollInterval{1};
constexpr Milliseconds kSlowLogDelay{300};
// Without a pause the first samples would include the time of earlier edits.
constexpr Milliseconds kPauseBetweenEdits{20};

void Print(const std::string& name, double value, const std::string& unit) {
  std::cout << name << ' ' << value << ' ' << unit << std::endl;
}

// Bytes sent on the loopback interface since boot.
std::int64_t LoopbackBytes() {
  std::ifstream in("/proc/net/dev");
  std::string line;
  while (std::getline(in, line)) {
    const std::size_t at = line.find("lo:");
    if (at == std::string::npos)
      continue;
    std::istringstream fields(line.substr(at + 3));
    std::int64_t value = 0;
    constexpr int kSentBytesColumn = 9;
    for (int column = 0; column < kSentBytesColumn; ++column)
      fields >> value;
    return value;
  }
  return 0;
}

Microseconds EntriesCpu(Cluster& cluster) {
  Microseconds sum{0};
  for (std::size_t i = 0; i < cluster.entries(); ++i)
    sum += cluster.entry(i).CpuTime();
  return sum;
}

void MeasureIdle(int entries, int engines) {
  Cluster cluster({.entries = entries, .engines = engines});
  std::this_thread::sleep_for(kWarmUp);
  const Microseconds cpu = EntriesCpu(cluster);
  const std::int64_t bytes = LoopbackBytes();
  std::this_thread::sleep_for(kMeasurementTime);
  const double seconds =
      static_cast<double>(kMeasurementTime.count()) * entries;
  const std::string at = "/entries:" + std::to_string(entries) +
                         "/engines:" + std::to_string(engines);
  Print(
      "idle_cpu" + at,
      static_cast<double>((EntriesCpu(cluster) - cpu).count()) / 1e4 / seconds,
      "percent_of_a_core_per_entry");
  Print("idle_traffic" + at,
        static_cast<double>(LoopbackBytes() - bytes) / 1e3 / seconds,
        "kB_per_second_per_entry");
  Print("idle_memory" + at,
        static_cast<double>(cluster.entry(0).ResidentBytes()) / 1e6, "MB");
}

bool InForceEverywhere(Cluster& cluster, std::uint64_t version) {
  for (std::size_t i = 0; i < cluster.entries(); ++i) {
    const auto ready =
        HttpSend(cluster.entry(i).address(), "GET", "/readyz").Json();
    if (ready.is_discarded() ||
        !ready.value("config_version", nlohmann::json()).is_number_unsigned() ||
        ready["config_version"].get<std::uint64_t>() < version) {
      return false;
    }
  }
  return true;
}

double Quantile(std::vector<double> values, double q) {
  std::ranges::sort(values);
  const auto at = static_cast<std::size_t>(q * (values.size() - 1) + 0.5);
  return values.at(at);
}

void MeasurePublish(const std::string& name, Cluster& cluster, int edits) {
  std::vector<double> times;
  const std::string text = cluster.DeclarationText(kFirstVersion);
  std::uint64_t base = cluster.State(0)["config"]["version"];
  for (int i = 0; i < edits; ++i) {
    const auto begin = std::chrono::steady_clock::now();
    base = cluster.Publish(name + std::to_string(i),
                           text + "# " + std::to_string(i) + "\n", base);
    while (!InForceEverywhere(cluster, base))
      std::this_thread::sleep_for(kPollInterval);
    times.push_back(std::chrono::duration<double, std::milli>(
                        std::chrono::steady_clock::now() - begin)
                        .count());
    std::this_thread::sleep_for(kPauseBetweenEdits);
  }
  Print("publish_to_in_force_" + name + "_p50", Quantile(times, 0.5), "ms");
  Print("publish_to_in_force_" + name + "_p99", Quantile(times, 0.99), "ms");
  Print("publish_to_in_force_" + name + "_samples", edits, "edits");
}

void MeasurePublishing() {
  Cluster cluster({.entries = 7, .engines = 2});
  MeasurePublish("log_well", cluster, kEdits);
  SetFaults(cluster.log(), {{"delay_ms", kSlowLogDelay.count()}});
  MeasurePublish("log_slow_300ms", cluster, kEdits / 4);
}

}  // namespace
}  // namespace carobshift

int main() {
  for (const int entries : {3, 5, 7})
    carobshift::MeasureIdle(entries, 4);
  carobshift::MeasureIdle(3, 12);
  carobshift::MeasurePublishing();
}
