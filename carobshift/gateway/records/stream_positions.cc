#include "carobshift/gateway/records/stream_positions.h"

#include <charconv>
#include <cstdint>

namespace carobshift {
namespace {

std::optional<LogOffset> ConsumeOffset(std::string_view& text) {
  if (text.empty() || text.front() != '/')
    return std::nullopt;
  text.remove_prefix(1);
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc())
    return std::nullopt;
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  return LogOffset(value);
}

}  // namespace

std::string ToPathSuffix(const StreamPositions& positions) {
  return '/' + std::to_string(positions.operators.value()) + '/' +
         std::to_string(positions.endpoints.value());
}

std::optional<StreamPositions> ParsePathSuffix(std::string_view text) {
  const auto operators = ConsumeOffset(text);
  if (!operators)
    return std::nullopt;
  const auto endpoints = ConsumeOffset(text);
  if (!endpoints || !text.empty())
    return std::nullopt;
  return StreamPositions{*operators, *endpoints};
}

}  // namespace carobshift
