#include "benchmarks/overhead_load.h"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <iostream>
#include <thread>
#include <utility>
#include <vector>

namespace carobshift {
namespace {

constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;
// Enough threads that no request is delayed by an open stream on its thread.
constexpr int kThreads = 800;

double Quantile(const std::vector<double>& sorted, double share) {
  if (sorted.empty())
    return 0;
  const auto at =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[at];
}

// Open-loop arrivals: request i starts at i / rate, independent of the progress
// of other requests. The destructor waits for all responses.
class Arrivals {
 public:
  Arrivals(MonotonicTime begin,
           int rate,
           int threads,
           const OverheadPhases& phases,
           const std::function<void(int number, bool measured)>& send)
      : begin_(begin), rate_(rate), phases_(phases), send_(send) {
    for (int i = 0; i < threads; ++i)
      threads_.emplace_back([this, i, threads] { Run(i, threads); });
  }

 private:
  void Run(int first, int stride) {
    const int total =
        rate_ * static_cast<int>((phases_.ramp_up + phases_.measured).count());
    for (int i = first; i < total; i += stride) {
      const Microseconds at(std::int64_t{1000000} * i / rate_);
      std::this_thread::sleep_until(begin_ + at);
      send_(i, at >= phases_.ramp_up);
    }
  }

  const MonotonicTime begin_;
  const int rate_;
  const OverheadPhases phases_;
  const std::function<void(int, bool)>& send_;
  std::vector<std::jthread> threads_;
};

}  // namespace

void SendStream(const NetAddress& address,
                OverheadCall call,
                bool measured,
                PathStats& stats) {
  const MonotonicTime begin = MonotonicNow();
  OverheadSample sample{call.name};
  bool complete = false;
  call.options.timeout = Seconds(30);
  call.options.on_line = [&](std::string_view line) {
    if (sample.first_token.count() == 0 && call.is_token(line))
      sample.first_token = MonotonicNow() - begin;
    complete = complete || call.is_end(line);
    return true;
  };
  stats.most_open = std::max(stats.most_open.load(), ++stats.open);
  const HttpAnswer answer = HttpSend(address, "POST", call.path, call.options);
  --stats.open;
  if (answer.status != 200 && measured)
    ++stats.refused;
  else if (answer.status == 200 && !complete)
    ++stats.truncated;
  if (answer.status != 200 || !measured || sample.first_token.count() == 0)
    return;
  const std::lock_guard lock(stats.mutex);
  stats.samples.push_back(std::move(sample));
}

ResourceUsage RunOverhead(const OverheadPlan& plan,
                          const Process& process,
                          const PathStats& through) {
  const OverheadPhases& phases = plan.phases;
  const MonotonicTime begin = MonotonicNow() + Milliseconds(500);
  const Arrivals load(begin, plan.through_per_second, kThreads, phases,
                      plan.send_through);
  const Arrivals probes(begin, plan.direct_per_second, plan.direct_threads,
                        phases, plan.send_direct);
  std::this_thread::sleep_until(begin + phases.ramp_up);
  const Microseconds before = process.CpuTime();
  std::this_thread::sleep_until(begin + phases.ramp_up + phases.measured);
  return {process.CpuTime() - before, process.ResidentBytes(), through.open};
}

int RunDriver(void (*run)()) {
  try {
    run();
  } catch (const std::exception& error) {
    std::cerr << "driver failed: " << error.what() << std::endl;
    return 1;
  }
  return 0;
}

void PrintOverhead(const std::string& name,
                   const PathStats& through,
                   std::vector<double> through_times,
                   std::vector<double> direct_times,
                   const ResourceUsage& usage,
                   const OverheadPhases& phases) {
  std::sort(through_times.begin(), through_times.end());
  std::sort(direct_times.begin(), direct_times.end());
  const auto print = [&name](const char* quantity, double value,
                             const char* unit) {
    std::printf("%s_%s %.3f %s\n", name.c_str(), quantity, value, unit);
  };
  print("samples", static_cast<double>(through_times.size()), "requests");
  print("open_streams_at_end", usage.open_at_end, "streams");
  print("open_streams_most", through.most_open, "streams");
  print("refused", through.refused, "requests");
  print("cut", through.truncated, "requests");
  const double direct_median = Quantile(direct_times, kMedian);
  const double direct_tail = Quantile(direct_times, kTail);
  const double through_median = Quantile(through_times, kMedian);
  const double through_tail = Quantile(through_times, kTail);
  print("direct_median", direct_median, "ms");
  print("direct_p99", direct_tail, "ms");
  print("through_median", through_median, "ms");
  print("through_p99", through_tail, "ms");
  print("added_median", through_median - direct_median, "ms");
  print("added_p99", through_tail - direct_tail, "ms");
  const Microseconds measured = phases.measured;
  print("cpu",
        100.0 * static_cast<double>(usage.cpu_time.count()) /
            static_cast<double>(measured.count()),
        "percent_of_a_core");
  constexpr double kBytesPerMb = 1e6;
  print("resident", static_cast<double>(usage.resident_bytes) / kBytesPerMb,
        "MB");
}

}  // namespace carobshift
