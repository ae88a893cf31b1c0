// Stand-in for the weight store. Two concurrent fetches run at full rate; more
// share that bandwidth. POST /fetches {"bytes":N} responds once N bytes would
// have been transferred.

#include <cxxopts.hpp>

#include "testing/standin_server.h"

int main(int argc, char** argv) {
  cxxopts::Options options = carobshift::StandinOptions("standin_weights");
  options.add_options()("bytes-per-second", "of one fetch",
                        cxxopts::value<double>()->default_value("1000000"));
  const auto flags = options.parse(argc, argv);
  const double rate = flags["bytes-per-second"].as<double>();
  constexpr double kFullRateFetches = 2;
  constexpr int kChunks = 50;
  carobshift::RateLimiter shared(kFullRateFetches * rate);
  carobshift::StandinServer server;
  server.Route("POST", "/fetches", [&](carobshift::StandinExchange& x) {
    carobshift::RateLimiter own(rate);
    const double bytes = x.Json().at("bytes").get<double>();
    for (int i = 0; i < kChunks; ++i) {
      own.Acquire(bytes / kChunks);
      shared.Acquire(bytes / kChunks);
    }
    x.Reply({{"ok", true}});
  });
  return server.Run(flags["listen"].as<std::string>());
}
