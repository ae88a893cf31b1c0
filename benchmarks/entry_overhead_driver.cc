// Time that an entry adds to the first token, measured in one run beside
// direct requests to the engines, at 100 requests a second with 500 open
// streams. Prints lines "name value unit".
//
// Each engine tells how long a request waited in it until its first token. A
// caller's own time minus that is what the way cost; the way through the entry
// minus the direct way is what the entry adds. The engines' batching, which
// holds a first token for up to one step, drops out.

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>
#include <vector>

#include "testing/cluster.h"
#include "testing/http_client.h"

namespace carobshift {
namespace {

using nlohmann::json;

constexpr int kRequestsPerSecond = 100;
constexpr int kDirectPerSecond = 20;
constexpr int kTokens = 100;
// Admission raises its limit of an engine by a twentieth in each quarter
// second.
constexpr Seconds kRampUp{20};
constexpr Seconds kMeasured{12};
// A stream lasts five seconds: 100 a second make 500 open ones.
constexpr char kStep[] = "--step-us=50000";

struct Sample {
  std::string prompt;
  std::size_t engine = 0;
  Microseconds first_token{0};
};

// What one way gave.
struct Way {
  std::mutex mutex;
  std::vector<Sample> samples;
  std::atomic<int> open{0};
  std::atomic<int> most_open{0};
  std::atomic<int> refused{0};
  std::atomic<int> cut{0};
};

json DirectBody(const std::string& prompt) {
  return {{"model", kModel},
          {"prompt", prompt},
          {"max_tokens", 1},
          {"carobshift",
           {{"cache_salt", "direct"},
            {"version", kFirstVersion},
            {"adapter", ""},
            {"delivered", json::array()}}}};
}

json EntryBody(const std::string& prompt) {
  return {{"model", kModelService},
          {"prompt", prompt},
          {"max_tokens", kTokens},
          {"stream", true}};
}

// Sends one request and notes when its first token came.
void Send(const NetAddress& address,
          const json& body,
          Sample sample,
          bool measured,
          Way& way) {
  const MonotonicTime begin = MonotonicNow();
  bool whole = false;
  HttpSendOptions options;
  options.body = body.dump();
  options.headers = {{"Authorization", "Bearer " + std::string(kClubKey)}};
  options.timeout = Seconds(30);
  options.on_line = [&](std::string_view line) {
    const bool token = line.find("\"text\":\" ") != std::string_view::npos;
    if (token && sample.first_token.count() == 0)
      sample.first_token = MonotonicNow() - begin;
    whole = whole || line == "data: [DONE]";
    return true;
  };
  way.most_open = std::max(way.most_open.load(), ++way.open);
  const HttpAnswer answer =
      HttpSend(address, "POST", "/v1/completions", options);
  --way.open;
  if (answer.status != 200 && measured)
    ++way.refused;
  else if (answer.status == 200 && !whole)
    ++way.cut;
  if (answer.status != 200 || !measured || sample.first_token.count() == 0)
    return;
  const std::lock_guard lock(way.mutex);
  way.samples.push_back(std::move(sample));
}

// Open-loop arrivals: request i starts at i / rate, whatever became of the
// others. Enough threads that none is late by another's stream.
class Arrivals {
 public:
  Arrivals(MonotonicTime begin,
           int rate,
           int threads,
           std::function<void(int number, bool measured)> send)
      : begin_(begin), rate_(rate), send_(std::move(send)) {
    for (int i = 0; i < threads; ++i)
      threads_.emplace_back([this, i, threads] { Run(i, threads); });
  }

 private:
  void Run(int first, int stride) {
    const int total = rate_ * static_cast<int>((kRampUp + kMeasured).count());
    for (int i = first; i < total; i += stride) {
      const Microseconds at(std::int64_t{1000000} * i / rate_);
      std::this_thread::sleep_until(begin_ + at);
      send_(i, at >= kRampUp);
    }
  }

  const MonotonicTime begin_;
  const int rate_;
  const std::function<void(int, bool)> send_;
  std::vector<std::jthread> threads_;
};

// Time on the way of each sample, in ms, sorted.
std::vector<double> WayTimes(const Way& way,
                             const std::map<std::string, double>& in_engine) {
  constexpr double kMicrosecondsPerMs = 1000;
  std::vector<double> times;
  for (const Sample& sample : way.samples) {
    const auto engine = in_engine.find(sample.prompt);
    if (engine == in_engine.end())
      continue;
    times.push_back(
        (static_cast<double>(sample.first_token.count()) - engine->second) /
        kMicrosecondsPerMs);
  }
  std::sort(times.begin(), times.end());
  return times;
}

double Quantile(const std::vector<double>& sorted, double share) {
  if (sorted.empty())
    return 0;
  const auto at =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[at];
}

void Print(const char* name, double value, const char* unit) {
  std::printf("entry_overhead_%s %.3f %s\n", name, value, unit);
}

std::map<std::string, double> TimesInEngines(Cluster& cluster) {
  std::map<std::string, double> times;
  for (std::size_t i = 0; i < cluster.engines(); ++i) {
    const json traces =
        HttpSend(cluster.engine(i).address(), "GET", "/traces").Json();
    for (const auto& [prompt, time] : traces.items())
      times[prompt] = time.get<double>();
  }
  return times;
}

int Run() {
  constexpr int kEngines = 10;
  Cluster cluster({.entries = 1,
                   .engines = kEngines,
                   .stores = 0,
                   .engine_flags = {kStep, "--max-running=400", "--decode-us=1",
                                    "--prefill-us=1"}});
  for (std::size_t i = 0; i < kEngines; ++i)
    SetFaults(cluster.engine(i), {{"trace", true}});
  Way through;
  Way direct;
  const MonotonicTime begin = MonotonicNow() + Milliseconds(500);
  const NetAddress entry = cluster.entry(0).address();
  std::optional<Arrivals> load;
  std::optional<Arrivals> probes;
  load.emplace(begin, kRequestsPerSecond, 800, [&](int i, bool measured) {
    const std::string prompt = "[long] through " + std::to_string(i);
    Send(entry, EntryBody(prompt), {prompt}, measured, through);
  });
  probes.emplace(begin, kDirectPerSecond, 40, [&](int i, bool measured) {
    const std::string prompt = "direct " + std::to_string(i);
    const auto at = static_cast<std::size_t>(i % kEngines);
    Send(cluster.engine(at).address(), DirectBody(prompt), {prompt}, measured,
         direct);
  });
  std::this_thread::sleep_until(begin + kRampUp);
  const Microseconds cpu_before = cluster.entry(0).CpuTime();
  std::this_thread::sleep_until(begin + kRampUp + kMeasured);
  const Microseconds cpu = cluster.entry(0).CpuTime() - cpu_before;
  const Bytes resident = cluster.entry(0).ResidentBytes();
  const int open = through.open;
  load.reset();
  probes.reset();

  const auto in_engine = TimesInEngines(cluster);
  const auto through_times = WayTimes(through, in_engine);
  const auto direct_times = WayTimes(direct, in_engine);
  constexpr double kMedian = 0.5;
  constexpr double kTail = 0.99;
  Print("samples", static_cast<double>(through_times.size()), "requests");
  Print("open_streams_at_end", open, "streams");
  Print("open_streams_most", through.most_open, "streams");
  Print("refused", through.refused, "requests");
  Print("cut", through.cut, "requests");
  Print("direct_median", Quantile(direct_times, kMedian), "ms");
  Print("direct_p99", Quantile(direct_times, kTail), "ms");
  Print("through_median", Quantile(through_times, kMedian), "ms");
  Print("through_p99", Quantile(through_times, kTail), "ms");
  Print("added_median",
        Quantile(through_times, kMedian) - Quantile(direct_times, kMedian),
        "ms");
  Print("added_p99",
        Quantile(through_times, kTail) - Quantile(direct_times, kTail), "ms");
  const Microseconds measured = kMeasured;
  Print("entry_cpu",
        100.0 * static_cast<double>(cpu.count()) /
            static_cast<double>(measured.count()),
        "percent_of_a_core");
  constexpr double kBytesPerMb = 1e6;
  Print("entry_resident", static_cast<double>(resident) / kBytesPerMb, "MB");
  return 0;
}

}  // namespace
}  // namespace carobshift

int main() {
  try {
    return carobshift::Run();
  } catch (const std::exception& error) {
    std::cerr << "driver failed: " << error.what() << std::endl;
    return 1;
  }
}
