// Replies that break off, at HttpClient and at BlockingHttpCall.

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "carobshift/net/blocking_http_call.h"
#include "carobshift/net/cut_replies.h"
#include "carobshift/net/http_test_calls.h"
#include "carobshift/net/line_splitter.h"

namespace carobshift {
namespace {

CutReplyServer::Connection ScriptOf(const ReplyForm& form,
                                    std::size_t size,
                                    bool reset,
                                    bool kept) {
  return {.first = kept ? std::string(CutReplyServer::kFirstReply) : "",
          .cut = form.bytes.substr(0, size),
          .reset = reset};
}

// Makes a call and runs it to its end.
void Call(EventLoop& loop,
          HttpClient& client,
          const NetAddress& address,
          TestListener& listener) {
  const auto call = client.Start(address, Get("/"), {}, &listener);
  RunUntil(loop, [&] { return listener.over(); });
}

// Guards against a reply whose peer closes or resets the connection within its
// head or body, and which is taken for complete.
TEST_CASE("a client takes no reply that breaks off for a complete one") {
  const bool reset = GENERATE(false, true);
  const bool kept = GENERATE(false, true);
  CutReplyServer server;
  EventLoop loop;
  for (const ReplyForm& form : ReplyForms()) {
    HttpClient client(loop, {});
    for (std::size_t size = 0; size <= form.bytes.size(); ++size) {
      CAPTURE(form.name, size, form.head_size, reset, kept);
      server.Script(ScriptOf(form, size, reset, kept));
      TestListener first;
      if (kept) {
        Call(loop, client, server.address(), first);
        REQUIRE(first.body == "ok");
      }
      TestListener listener;
      Call(loop, client, server.address(), listener);
      if (listener.ended) {
        CHECK(form.MayBeComplete(size, reset));
        CHECK(listener.status == 200);
        CHECK(listener.body == form.BodyWithin(size));
      } else {
        CHECK(listener.failure->fault == CallFault::kBroken);
        CHECK(listener.failure->sent);
        CHECK(listener.failure->reused == kept);
        CHECK((reset || !form.MayBeComplete(size, reset)));
        CHECK(client.OpenConnections(server.address()) == 0);
      }
    }
  }
}

TEST_CASE("a blocking call takes no reply that breaks off for a complete one") {
  const bool reset = GENERATE(false, true);
  CutReplyServer server;
  for (const ReplyForm& form : ReplyForms()) {
    for (std::size_t size = 0; size <= form.bytes.size(); ++size) {
      CAPTURE(form.name, size, form.head_size, reset);
      server.Script(ScriptOf(form, size, reset, /*kept=*/false));
      HttpHead request;
      request.method = "GET";
      request.target = "/";
      bool complete = false;
      try {
        const BlockingHttpReply reply = FetchBlocking(
            server.address(), request, "", Milliseconds(5000), 1000);
        complete = true;
        CHECK(form.MayBeComplete(size, reset));
        CHECK(reply.head.status == 200);
        CHECK(reply.body == form.BodyWithin(size));
      } catch (const Poco::IOException&) {
      }
      CHECK((complete || reset || !form.MayBeComplete(size, reset)));
    }
  }
}

// Guards against a reset that reaches a client which still sends, whose failed
// write takes the error, and which then looks like a normal end.
TEST_CASE("a reset during the request ends no reply") {
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  const std::jthread server([&listener] {
    Poco::Net::StreamSocket socket = listener.acceptConnection();
    char byte = 0;
    socket.receiveBytes(&byte, 1);
    const std::string reply =
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf an ans";
    socket.sendBytes(reply.data(), static_cast<int>(reply.size()));
    // Closing with unread bytes resets the connection.
    socket.close();
  });
  HttpHead request;
  request.method = "POST";
  request.target = "/";
  const std::string body(std::size_t{32} << 20, 'x');
  CHECK_THROWS_AS(FetchBlocking({"127.0.0.1", listener.address().port()},
                                request, body, Milliseconds(5000), 1000),
                  Poco::IOException);
}

TEST_CASE("lines are split however their bytes are cut") {
  const std::string text = "one\r\n\ntwo three\nrest";
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    std::vector<std::string> lines;
    LineSplitter splitter([&lines](std::string_view line) {
      lines.emplace_back(line);
      return true;
    });
    for (std::size_t at = 0; at < text.size(); at += piece)
      CHECK(splitter.Feed(text.substr(at, piece)) ==
            LineSplitter::State::kOpen);
    CHECK(lines == std::vector<std::string>{"one", "", "two three"});
    splitter.FeedEnd();
    CHECK(lines.back() == "rest");
  }
}

TEST_CASE(
    "a line that is too long, or whose reader stops, ends the splitting") {
  const auto go_on = [](std::string_view) { return true; };
  LineSplitter endless(go_on);
  CHECK(endless.Feed(std::string(LineSplitter::kMaxLineBytes + 1, 'x')) ==
        LineSplitter::State::kTooLong);
  LineSplitter stopped([](std::string_view) { return false; });
  CHECK(stopped.Feed("a\nb\n") == LineSplitter::State::kStopped);
}

}  // namespace
}  // namespace carobshift
