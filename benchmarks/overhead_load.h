// Shared by the drivers that measure added latency: generates open-loop
// arrivals of streamed requests, through the process under test and directly to
// the engines, and collects the results.
//
//   PathStats through;
//   plan.send_through = [&](int i, bool measured) {
//     SendStream(entry, CallOf(i), measured, through);
//   };
//   const ResourceUsage usage = RunOverhead(plan, process, through);

#ifndef BENCHMARKS_OVERHEAD_LOAD_H_
#define BENCHMARKS_OVERHEAD_LOAD_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/net_address.h"
#include "carobshift/base/units.h"
#include "testing/http_client.h"
#include "testing/process.h"

namespace carobshift {

// `ramp_up` applies load until all adaptive limits have settled; `measured` is
// the measurement that follows.
struct OverheadPhases {
  Seconds ramp_up{20};
  Seconds measured{12};
};

struct OverheadSample {
  std::string name;
  Microseconds first_token{0};
};

// Results of the requests on one path, through the process under test or
// direct. Thread-safe: lock `mutex` to use `samples`.
struct PathStats {
  std::mutex mutex;
  std::vector<OverheadSample> samples;
  std::atomic<int> open{0};
  std::atomic<int> most_open{0};
  std::atomic<int> refused{0};
  std::atomic<int> truncated{0};
};

// One streamed request and the predicates that parse its response.
struct OverheadCall {
  // Identifies the request's sample.
  std::string name;
  std::string path;
  HttpSendOptions options;
  std::function<bool(std::string_view line)> is_token;
  std::function<bool(std::string_view line)> is_end;
};

// Sends one request and reads its response to the end. Adds a sample to `stats`
// if `measured` is true and a first token arrived with status 200.
void SendStream(const NetAddress& address,
                OverheadCall call,
                bool measured,
                PathStats& stats);

// Resource usage of the process under test during the measurement.
struct ResourceUsage {
  Microseconds cpu_time{0};
  Bytes resident_bytes{0};
  int open_at_end = 0;
};

// Rates and send functions of the requests through the process under test and
// of the direct requests.
struct OverheadPlan {
  OverheadPhases phases;
  int through_per_second = 100;
  int direct_per_second = 20;
  // Threads that send direct requests. Requests through the process under test
  // have kThreads threads.
  int direct_threads = 40;
  std::function<void(int number, bool measured)> send_through;
  std::function<void(int number, bool measured)> send_direct;
};

// Runs the plan until all requests have ended. Returns the process's usage
// during the measured phase.
[[nodiscard]] ResourceUsage RunOverhead(const OverheadPlan& plan,
                                        const Process& process,
                                        const PathStats& through);

// Runs `run` and returns the exit code of the driver. An exception is printed
// to standard error and gives 1.
[[nodiscard]] int RunDriver(void (*run)());

// Prints lines "NAME_quantity value unit". The times are path latencies in
// milliseconds, in any order.
void PrintOverhead(const std::string& name,
                   const PathStats& through,
                   std::vector<double> through_times,
                   std::vector<double> direct_times,
                   const ResourceUsage& usage,
                   const OverheadPhases& phases);

}  // namespace carobshift

#endif  // BENCHMARKS_OVERHEAD_LOAD_H_
