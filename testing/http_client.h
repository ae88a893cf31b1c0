// Sends single HTTP requests from tests and stand-ins.
//
//   HttpAnswer answer = HttpSend(address, "POST", "/faults", {.body = "{}"});
//   REQUIRE(answer.status == 200);

#ifndef TESTING_HTTP_CLIENT_H_
#define TESTING_HTTP_CLIENT_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "carobshift/base/net_address.h"
#include "carobshift/base/units.h"

namespace carobshift {

struct HttpSendOptions {
  std::string body{};
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers{};
  Milliseconds timeout{5000};
  // If set, receives each line of an event stream as it arrives. Returning
  // false closes the connection.
  std::function<bool(std::string_view line)> on_line{};
};

struct HttpAnswer {
  // 0 if there was no response, or not the whole head of one.
  int status = 0;
  std::string body{};
  std::vector<std::pair<std::string, std::string>> headers{};
  // Set if the connection failed or ended before the response was complete by
  // its framing. `body` is the part that arrived then.
  std::string failure;

  [[nodiscard]] std::string Header(std::string_view name) const;
  // Returns the body as JSON, or a discarded value if it is not valid JSON.
  [[nodiscard]] nlohmann::json Json() const;
};

// Opens a new connection for each call. Connection errors are reported in
// HttpAnswer::failure. Thread-safe.
[[nodiscard]] HttpAnswer HttpSend(const NetAddress& address,
                                  const std::string& method,
                                  const std::string& path,
                                  const HttpSendOptions& options = {});

}  // namespace carobshift

#endif  // TESTING_HTTP_CLIENT_H_
