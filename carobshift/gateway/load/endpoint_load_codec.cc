#include "carobshift/gateway/load/endpoint_load_codec.h"

#include <algorithm>
#include <cstdint>

namespace carobshift {
namespace {

std::uint32_t Whole(double value) {
  return static_cast<std::uint32_t>(std::max(0.0, value));
}

}  // namespace

void WriteEndpointLoad(DatagramOutput& archive, const EndpointLoad& load) {
  const auto& levels = load.tokens_by_priority;
  archive(Whole(load.tokens), static_cast<std::uint16_t>(Whole(load.requests)),
          Whole(load.prefill_tokens),
          static_cast<std::uint8_t>(
              std::count_if(levels.begin(), levels.end(),
                            [](double tokens) { return tokens >= 1; })));
  for (std::size_t level = 0; level < levels.size(); ++level) {
    if (levels[level] >= 1)
      archive(static_cast<std::uint8_t>(level), Whole(levels[level]));
  }
}

EndpointLoad ReadEndpointLoad(DatagramInput& archive) {
  std::uint32_t tokens = 0;
  std::uint16_t requests = 0;
  std::uint32_t prefill_tokens = 0;
  std::uint8_t levels = 0;
  archive(tokens, requests, prefill_tokens, levels);
  EndpointLoad load{static_cast<double>(tokens),
                    static_cast<double>(requests),
                    static_cast<double>(prefill_tokens),
                    {}};
  for (std::uint8_t i = 0; i < levels; ++i) {
    std::uint8_t level = 0;
    std::uint32_t level_tokens = 0;
    archive(level, level_tokens);
    load.tokens_by_priority[std::min<std::size_t>(
        level, load.tokens_by_priority.size() - 1)] +=
        static_cast<double>(level_tokens);
  }
  return load;
}

}  // namespace carobshift
