#include "testing/engine_options.h"

#include <cxxopts.hpp>

#include "testing/standin_server.h"

namespace carobshift {
namespace {

std::int64_t Number(const cxxopts::ParseResult& flags, const char* name) {
  return static_cast<std::int64_t>(flags[name].as<double>());
}

EngineOptions OptionsFrom(const cxxopts::ParseResult& flags) {
  EngineOptions options;
  options.listen = flags["listen"].as<std::string>();
  options.costs.step = Microseconds(Number(flags, "step-us"));
  options.costs.prefill = Microseconds(Number(flags, "prefill-us"));
  options.costs.decode = Microseconds(Number(flags, "decode-us"));
  options.costs.max_running =
      static_cast<std::size_t>(Number(flags, "max-running"));
  options.cache_blocks =
      static_cast<std::size_t>(Number(flags, "cache-blocks"));
  options.checks_fencing = flags["checks-fencing"].as<bool>();
  options.weights = ParseNetAddress(flags["weights"].as<std::string>());
  options.weight_bytes = Number(flags, "weight-bytes");
  options.load_time = Milliseconds(Number(flags, "load-ms"));
  options.model = flags["model"].as<std::string>();
  options.version = flags["version"].as<std::string>();
  options.role = flags["role"].as<std::string>();
  return options;
}

cxxopts::ParseResult ParseFlags(int argc, char** argv) {
  cxxopts::Options options = StandinOptions("standin_engine");
  const auto text = [](const char* fallback) {
    return cxxopts::value<std::string>()->default_value(fallback);
  };
  const auto number = [](const char* fallback) {
    return cxxopts::value<double>()->default_value(fallback);
  };
  auto add = options.add_options();
  add("step-us", "base time of a step", number("8000"));
  add("prefill-us", "time of a prefilled token", number("100"));
  add("decode-us", "time of a decoding sequence in a step", number("20"));
  add("max-running", "sequences in a batch", number("64"));
  add("cache-blocks", "prefix cache size", number("2000"));
  add("checks-fencing", "refuse orders with an old fencing number");
  add("weights", "HOST:PORT of the weight store", text(""));
  add("weight-bytes", "size of a weight set", number("1000000"));
  add("load-ms", "time of a load besides the fetch", number("100"));
  add("model", "loaded at start", text(""));
  add("version", "loaded at start", text(""));
  add("role", "service at start", text(""));
  return options.parse(argc, argv);
}

}  // namespace

EngineOptions ParseEngineOptions(int argc, char** argv) {
  return OptionsFrom(ParseFlags(argc, argv));
}

}  // namespace carobshift
