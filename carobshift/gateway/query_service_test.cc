#include "carobshift/gateway/query_service.h"

#include <catch2/catch.hpp>
#include <string>

#include "carobshift/net/http_client.h"
#include "carobshift/net/http_test_calls.h"
#include "carobshift/net/loopback_server.h"

namespace carobshift {
namespace {

// Guards against questions whose bodies use up the memory of an instance.
TEST_CASE("a question with a large body is refused") {
  EventLoop loop;
  int asked = 0;
  QueryService service(loop, [&asked](const HttpHead&) {
    ++asked;
    return QueryAnswer{200, "text/plain", "ok"};
  });
  REQUIRE(service.Listen({"127.0.0.1", 0}).ok());
  HttpClient client(loop, {});
  TestListener listener;
  const auto call = client.Start(
      {"127.0.0.1", service.port()},
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n", {},
      &listener);
  RunUntil(loop, [&] { return listener.over(); });
  CHECK(listener.status == 413);
  CHECK(asked == 0);
  TestListener next;
  const auto question =
      client.Start({"127.0.0.1", service.port()}, Get("/"), {}, &next);
  RunUntil(loop, [&] { return next.over(); });
  CHECK(next.body == "ok");
  service.Close();
}

}  // namespace
}  // namespace carobshift
