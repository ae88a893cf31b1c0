// Callers' connections at a RequestService, over loopback in one event loop.

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>

#include "carobshift/gateway/request/request_service.h"
#include "carobshift/gateway/stub_dialects.h"
#include "carobshift/net/loopback_server.h"

namespace carobshift {
namespace {

constexpr char kRequest[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

std::shared_ptr<const ServingConfigSnapshot> ConfigWith(
    int number,
    const CallerLimits& limits) {
  ServingConfig config;
  config.number = DeclarationNumber(number);
  config.limits = limits;
  return std::make_shared<ServingConfigSnapshot>(std::move(config));
}

// A service whose dialect rejects each request, which is an answer too.
struct ServiceUnderTest {
  ServiceUnderTest() {
    auto opened = TcpListener::Open(
        loop, {"127.0.0.1", 0}, [this](const Poco::Net::StreamSocket& socket) {
          service.Accept(socket);
        });
    REQUIRE(opened.ok());
    listener = opened.value();
  }
  ~ServiceUnderTest() { listener->Close(); }

  EventLoop loop;
  HttpClient client{loop, {}};
  StubRequestDialect dialect;
  EndpointRegistry registry;
  CacheContents contents;
  WeightDeadlines deadlines{Milliseconds(15000)};
  ZoneEvacuations evacuations;
  ZoneRegions regions{{}};
  Metrics metrics;
  RequestService service{loop,      client,      dialect, registry, contents,
                         deadlines, evacuations, regions, metrics,  {}};
  std::shared_ptr<TcpListener> listener;
};

// Keeps one connection and sends requests on it.
class PersistentCaller : public TcpConnectionHandler {
 public:
  explicit PersistentCaller(ServiceUnderTest& under_test)
      : loop_(under_test.loop),
        connection_(
            TcpConnection::Connect(loop_,
                                   {"127.0.0.1", under_test.listener->port()},
                                   {},
                                   this)) {}
  ~PersistentCaller() override { connection_->Close(); }

  void Send(const std::string& bytes) {
    connection_->Send(bytes);
    RunFor(loop_, Milliseconds(30));
  }
  // Returns whether the request got an answer.
  bool Ask(const std::string& request = kRequest) {
    received_.clear();
    connection_->Send(request);
    RunUntil(loop_, [this] { return closed_ || !received_.empty(); });
    return !received_.empty();
  }
  [[nodiscard]] const std::string& received() const { return received_; }
  [[nodiscard]] bool closed() const { return closed_; }

  void OnData(std::string_view bytes) override { received_ += bytes; }
  void OnClosed(CloseReason) override { closed_ = true; }

 private:
  EventLoop& loop_;
  std::shared_ptr<TcpConnection> connection_;
  std::string received_;
  bool closed_ = false;
};

// A call that gets no reply.
class PendingCall : public HttpCallListener {
 public:
  PendingCall(HttpClient& client, const NetAddress& address)
      : call_(client.Start(address, "GET /", {}, this)) {}
  ~PendingCall() override { call_->Cancel(); }

  ReplyDisposition OnReplyHead(const HttpHead&,
                               const HttpMessageInfo&) override {
    return ReplyDisposition::kAccept;
  }
  void OnReplyBody(std::string_view) override {}
  void OnReplyEnd() override {}
  void OnCallFailed(const CallFailure&) override {}

 private:
  std::shared_ptr<ClientCall> call_;
};

// Guards against kept connections that are closed by an idle timeout which a
// configuration has raised since they were accepted.
TEST_CASE("a raised idle timeout holds for connections that are open") {
  ServiceUnderTest under_test;
  under_test.service.SetConfig(
      ConfigWith(1, {.idle_timeout = Milliseconds(300)}));
  PersistentCaller caller(under_test);
  REQUIRE(caller.Ask());
  under_test.service.SetConfig(
      ConfigWith(2, {.idle_timeout = Milliseconds(5000)}));
  SECTION("while idle since before the change") {}
  SECTION("when idle again") {
    REQUIRE(caller.Ask());
  }
  RunFor(under_test.loop, Milliseconds(700));
  CHECK(caller.Ask());
}

// Guards against connections that are closed by a lowered idle timeout before
// their callers can have learnt of it.
TEST_CASE("a lowered idle timeout holds once callers have learnt of it") {
  ServiceUnderTest under_test;
  under_test.service.SetConfig(
      ConfigWith(1, {.idle_timeout = Milliseconds(5000)}));
  under_test.service.SetConfig(
      ConfigWith(2, {.idle_timeout = Milliseconds(200)}));
  PersistentCaller caller(under_test);
  REQUIRE(caller.Ask());
  RunFor(under_test.loop, Milliseconds(700));
  REQUIRE(caller.Ask());
  RunFor(under_test.loop, Milliseconds(2100));
  under_test.service.OnTick();
  PersistentCaller later(under_test);
  REQUIRE(later.Ask());
  RunUntil(
      under_test.loop, [&] { return later.closed(); }, Milliseconds(2000));
}

EndpointRecord EndpointAt(const NetAddress& address) {
  EndpointRecord record;
  record.id = EndpointId("e-1");
  record.service = ServiceName("desks");
  record.address = address;
  return record;
}

std::shared_ptr<const ServingConfigSnapshot> ConfigWithConnectionLimit(
    int number,
    int connection_limit) {
  ServingConfig config;
  config.number = DeclarationNumber(number);
  config.services[ServiceName("desks")].connection_limit = connection_limit;
  return std::make_shared<ServingConfigSnapshot>(std::move(config));
}

// Guards against calls that are refused by a connection limit which the
// configuration has dropped.
TEST_CASE("a connection limit that is no longer declared limits nothing") {
  ServiceUnderTest under_test;
  const NetAddress endpoint{"127.0.0.1", under_test.listener->port()};
  under_test.registry.Put(EndpointAt(endpoint), under_test.loop.now());
  under_test.service.SetConfig(ConfigWithConnectionLimit(1, 1));
  PendingCall first(under_test.client, endpoint);
  REQUIRE_FALSE(under_test.client.HasFreeConnection(endpoint));
  SECTION("in a newer configuration") {
    under_test.service.SetConfig(ConfigWithConnectionLimit(2, 0));
  }
  SECTION("as the service is gone") {
    under_test.service.SetConfig(ConfigWith(2, {}));
  }
  CHECK(under_test.client.HasFreeConnection(endpoint));
}

// Guards against a lost request of which nobody can tell who cut it off.
TEST_CASE("the end of a caller's connection is counted by who ended it") {
  ServiceUnderTest under_test;
  under_test.service.SetConfig(
      ConfigWith(1, {.idle_timeout = Milliseconds(300)}));
  auto caller = std::make_unique<PersistentCaller>(under_test);
  REQUIRE(caller->Ask());
  std::string end;
  SECTION("the instance") {
    RunUntil(under_test.loop, [&] { return caller->closed(); });
    end = "idle";
  }
  SECTION("the caller") {
    caller.reset();
    RunFor(under_test.loop, Milliseconds(50));
    end = "caller_ended";
  }
  CHECK(under_test.metrics.PrometheusText().find(
            "carobshift_caller_connections_ended_total{end=\"" + end + "\"}") !=
        std::string::npos);
}

// Guards against requests that come late in the grace period of a planned stop,
// on connections that were opened after its beginning.
TEST_CASE("a connection without a request is closed unread in a planned stop") {
  ServiceUnderTest under_test;
  under_test.service.SetConfig(ConfigWith(1, {}));
  under_test.service.BeginStop(
      ShutdownSchedule(under_test.loop.now(), Milliseconds(8000)));
  PersistentCaller idle(under_test);
  PersistentCaller sending(under_test);
  sending.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n");
  under_test.listener->Close();
  under_test.service.CloseIdleConnections();
  RunUntil(under_test.loop, [&] { return idle.closed(); });
  CHECK(idle.received().empty());
  CHECK(sending.Ask("body"));
  RunUntil(under_test.loop, [&] { return sending.closed(); });
  CHECK(under_test.service.open_connections() == 0);
}

// Guards against proper requests that are rejected since their connection was
// accepted under lower limits.
TEST_CASE("raised limits of a request hold for connections that are open") {
  ServiceUnderTest under_test;
  under_test.service.SetConfig(
      ConfigWith(1, {.head_bytes = 256, .body_bytes = 4}));
  PersistentCaller caller(under_test);
  REQUIRE(caller.Ask());
  under_test.service.SetConfig(
      ConfigWith(2, {.head_bytes = 1024, .body_bytes = 64}));
  std::string rest;
  std::string rejected_for;
  SECTION("a longer body") {
    caller.Send("POST / HTTP/1.1\r\nHost: a\r\n");
    rest = "Content-Length: 9\r\n\r\n123456789";
    rejected_for = " 413 ";
  }
  SECTION("a longer head") {
    caller.Send("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(500, 'x'));
    rest = "\r\n\r\n";
    rejected_for = " 431 ";
  }
  REQUIRE(caller.Ask(rest));
  CHECK(caller.received().find(rejected_for) == std::string::npos);
}

}  // namespace
}  // namespace carobshift
