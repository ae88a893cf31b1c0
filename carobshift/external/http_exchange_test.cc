// HttpExchange with replies that break off, and with bytes that are no reply.

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "carobshift/external/internal/http_exchange.h"
#include "carobshift/net/cut_replies.h"

namespace carobshift {
namespace {

HttpCall CallTo(const CutReplyServer& server) {
  HttpCall call;
  call.peer = server.address();
  call.path = "/";
  return call;
}

// Makes a call whose reply ends after `size` bytes of `form`.
HttpReply CallWithCut(HttpExchange& http,
                      CutReplyServer& server,
                      const ReplyForm& form,
                      std::size_t size,
                      bool reset,
                      bool kept) {
  CutReplyServer::Connection script{.cut = form.bytes.substr(0, size),
                                    .reset = reset};
  if (kept)
    script.first = CutReplyServer::kFirstReply;
  server.Script(script);
  if (kept) {
    REQUIRE(http.Run(CallTo(server)).body == "ok");
    REQUIRE(http.IdleConnections(server.address()) == 1);
  }
  return http.Run(CallTo(server));
}

// Guards against a reply whose peer closes or resets the connection within its
// head or body, and which is taken for complete.
TEST_CASE("a reply that breaks off is never taken for a complete one") {
  const bool reset = GENERATE(false, true);
  const bool kept = GENERATE(false, true);
  CutReplyServer server;
  for (const ReplyForm& form : ReplyForms()) {
    HttpExchange http({});
    for (std::size_t size = 0; size <= form.bytes.size(); ++size) {
      CAPTURE(form.name, size, form.head_size, reset, kept);
      const HttpReply reply =
          CallWithCut(http, server, form, size, reset, kept);
      CHECK(reply.delivery != DeliveryState::kNotSent);
      if (reply.delivery == DeliveryState::kAnswered) {
        CHECK(form.MayBeComplete(size, reset));
        CHECK(reply.status == 200);
        CHECK(reply.body == form.BodyWithin(size));
      } else {
        CHECK(reply.delivery == DeliveryState::kMayHaveArrived);
        CHECK_FALSE(reply.failure.empty());
        // A reset may overtake the last bytes.
        CHECK((reset || !form.MayBeComplete(size, reset)));
        CHECK(http.IdleConnections(server.address()) == 0);
      }
    }
  }
}

// Guards against a stream whose connection ends within a chunk, or without the
// last one, and which is taken for complete.
TEST_CASE("a stream of events that breaks off is never taken for complete") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  const std::string events = "data: 1\r\n\ndata: 2\n\n";
  const std::string chunked =
      head + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\r\n\r\na\r\n\n" +
      "data: 2\n\n\r\n0\r\n\r\n";
  const std::string with_length =
      head + "Content-Length: " + std::to_string(events.size()) + "\r\n\r\n" +
      events;
  const std::string bytes = GENERATE_COPY(chunked, with_length);
  CutReplyServer server;
  HttpExchange http({});
  for (std::size_t size = 0; size <= bytes.size(); ++size) {
    CAPTURE(bytes, size);
    server.Script({.cut = bytes.substr(0, size)});
    std::vector<std::string> lines;
    const HttpReply reply =
        http.Stream(CallTo(server), [&lines](std::string_view line) {
          lines.emplace_back(line);
          return true;
        });
    const bool complete = reply.delivery == DeliveryState::kAnswered;
    CHECK(complete == (size == bytes.size()));
    const std::vector<std::string> expected = {"data: 1", "", "data: 2", ""};
    CHECK(lines.size() <= expected.size());
    CHECK(std::equal(lines.begin(), lines.end(), expected.begin()));
    CHECK((!complete || lines == expected));
  }
}

// Guards against bytes behind a reply that answer the next call.
TEST_CASE("bytes behind a reply don't answer the next call") {
  CutReplyServer server;
  HttpExchange http({});
  const std::string stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
  server.Script({.first = std::string(CutReplyServer::kFirstReply) + stray,
                 .cut = std::string(CutReplyServer::kFirstReply)});
  CHECK(http.Run(CallTo(server)).body == "ok");
  CHECK(http.IdleConnections(server.address()) == 0);
  server.Script({.cut = std::string(CutReplyServer::kFirstReply)});
  CHECK(http.Run(CallTo(server)).body == "ok");
}

// Guards against a reply that two parsers could read differently.
TEST_CASE("a reply with contradicting framing is a failure") {
  const std::string framing = GENERATE(
      as<std::string>{}, "Content-Length: 2\r\nContent-Length: 3\r\n",
      "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
      "Content-Length: 2x\r\n", "Content-Length: -1\r\n", "X-A : b\r\n");
  CutReplyServer server;
  HttpExchange http({});
  server.Script({.cut = "HTTP/1.1 200 OK\r\n" + framing + "\r\nok"});
  const HttpReply reply = http.Run(CallTo(server));
  CHECK(reply.delivery == DeliveryState::kMayHaveArrived);
}

}  // namespace
}  // namespace carobshift
