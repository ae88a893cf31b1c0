// A network address: host and port.
//
//   std::optional<NetAddress> address = ParseNetAddress("127.0.0.1:8080");

#ifndef CAROBSHIFT_BASE_NET_ADDRESS_H_
#define CAROBSHIFT_BASE_NET_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobshift {

struct NetAddress {
  std::string host;
  std::uint16_t port = 0;

  [[nodiscard]] std::string ToString() const;
  friend auto operator<=>(const NetAddress&, const NetAddress&) = default;
};

// Parses "HOST:PORT" with a port from 1 to 65535. Returns nullopt for any other
// text.
[[nodiscard]] std::optional<NetAddress> ParseNetAddress(std::string_view text);

}  // namespace carobshift

#endif  // CAROBSHIFT_BASE_NET_ADDRESS_H_
