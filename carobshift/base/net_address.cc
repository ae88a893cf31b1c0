#include "carobshift/base/net_address.h"

#include <charconv>

namespace carobshift {

std::string NetAddress::ToString() const {
  return host + ":" + std::to_string(port);
}

std::optional<NetAddress> ParseNetAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0)
    return std::nullopt;
  const std::string_view digits = text.substr(colon + 1);
  int port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool all_read = end == digits.data() + digits.size();
  if (error != std::errc() || !all_read || port < 1 || port > 65535)
    return std::nullopt;
  return NetAddress{std::string(text.substr(0, colon)),
                    static_cast<std::uint16_t>(port)};
}

}  // namespace carobshift
