// Command-line flags of the stand-in engine.
//
//   const EngineOptions options = ParseEngineOptions(argc, argv);

#ifndef TESTING_ENGINE_OPTIONS_H_
#define TESTING_ENGINE_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "carobshift/base/net_address.h"
#include "carobshift/base/units.h"
#include "testing/engine_core.h"

namespace carobshift {

struct EngineOptions {
  std::string listen;
  EngineCosts costs;
  std::size_t cache_blocks = 0;
  bool checks_fencing = false;
  std::optional<NetAddress> weights;
  std::int64_t weight_bytes = 0;
  Milliseconds load_time{100};
  std::string model;
  std::string version;
  std::string role;
};

// Throws cxxopts::exceptions::exception for an unknown flag.
[[nodiscard]] EngineOptions ParseEngineOptions(int argc, char** argv);

}  // namespace carobshift

#endif  // TESTING_ENGINE_OPTIONS_H_
