// Faulty endpoints of a GatewayCluster, and what an instance beside them costs.
//
//   EndlessServer server(EndlessForm::kBody, 40);
//   AddEntries(cluster, server, "spares");
//   ...
//   CHECK(PeakMemory(cluster.gateway(0)) < kSmallestInstance);

#ifndef TESTING_FAULTY_ENDPOINTS_H_
#define TESTING_FAULTY_ENDPOINTS_H_

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "testing/endless_server.h"
#include "testing/gateway_cluster.h"

namespace carobshift {

// The memory of the smallest instance, in KB.
inline constexpr long kSmallestInstance = 88L << 10;

// Returns the largest resident size that the process has had, in KB.
inline long PeakMemory(const Process& process) {
  std::ifstream status("/proc/" + std::to_string(process.pid()) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmHWM:"))
      return std::stol(line.substr(line.find_first_of("0123456789")));
  }
  return 0;
}

// Writes records of engines at the server's addresses. No route leads to
// "spares", so that the only calls to them are the instance's own.
inline void AddEntries(GatewayCluster& cluster,
                       const EndlessServer& server,
                       const std::string& service = "spares",
                       const nlohmann::json& models = nlohmann::json::array()) {
  int index = 0;
  for (const NetAddress& address : server.addresses()) {
    cluster.PutKeyed("keyed.servers", "faulty-" + std::to_string(index++),
                     nlohmann::json{{"service", service},
                                    {"address", address.ToString()},
                                    {"zone", "z1"},
                                    {"version", "v1"},
                                    {"slots", 16},
                                    {"state", "ready"},
                                    {"sequence", 1},
                                    {"born", 0},
                                    {"models", models}}
                         .dump());
  }
}

// What other callers get of a gateway meanwhile.
struct OtherCallers {
  int sent = 0;
  int whole = 0;
  Milliseconds slowest{0};
};

// Sends short requests to a plain service, one after the other.
inline OtherCallers AskPlainService(GatewayCluster& cluster,
                                    int count,
                                    Milliseconds pause) {
  OtherCallers others;
  for (; others.sent < count; ++others.sent) {
    const MonotonicTime begin = MonotonicNow();
    const HttpAnswer answer =
        cluster.Send(0, "POST", "/find/1", {.body = "body"});
    others.whole += answer.status == 200 && answer.body == "done body" ? 1 : 0;
    others.slowest = std::max(
        others.slowest,
        std::chrono::duration_cast<Milliseconds>(MonotonicNow() - begin));
    std::this_thread::sleep_for(pause);
  }
  return others;
}

}  // namespace carobshift

#endif  // TESTING_FAULTY_ENDPOINTS_H_
