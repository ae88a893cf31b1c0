// Requests that wait for room at an endpoint, with one instance, callers and an
// engine on one event loop.

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "carobshift/gateway/request/request_service.h"
#include "carobshift/gateway/stub_dialects.h"
#include "carobshift/net/loopback_server.h"

namespace carobshift {
namespace {

const ServiceName kEngines("engines");
const EndpointId kEngine("e1");
const ModelName kModel("m");
constexpr Tokens kMemory = 20'000;

// Each request is a prompt of 6,000 tokens.
class PromptDialect : public StubRequestDialect {
 public:
  [[nodiscard]] Result<CallerRequest> DecodeRequest(
      const HttpHead& head) const override {
    CallerRequest request;
    request.id = RequestId("r1");
    request.host = "host";
    request.method = head.method;
    request.target = head.target;
    request.prompt =
        PromptTraits{kModel, 6000, 100, {{"session", 5000}, {"own", 1000}}};
    return request;
  }
  [[nodiscard]] std::string EncodeAttempt(const CallerRequest& request,
                                          const AttemptFields&) const override {
    HttpHead head;
    head.method = request.method;
    head.target = request.target;
    head.fields = {{"Content-Length", std::to_string(request.body.size())}};
    return SerializeRequestHead(head);
  }
};

std::shared_ptr<const ServingConfigSnapshot> Config(bool with_route = true) {
  ServingConfig config;
  Route route;
  route.name = "summary";
  route.host = "host";
  route.path_prefix = "/summary/";
  route.services = {{kEngines, 1}};
  route.anonymous = route.streaming = route.prompts = true;
  route.timeout = Milliseconds(10'000);
  route.latency_target = Milliseconds(300);
  if (with_route)
    config.routes = {route};
  DeclaredService engines;
  engines.name = kEngines;
  engines.engine =
      EngineTraits{.slots = 8, .memory_tokens = kMemory, .models = {kModel}};
  config.services[kEngines] = engines;
  return std::make_shared<const ServingConfigSnapshot>(std::move(config));
}

class WaitingFixture : public HttpCallListener {
 public:
  WaitingFixture() {
    EndpointRecord record;
    record.id = kEngine;
    record.service = kEngines;
    record.address = engine.address();
    record.slots = 8;
    record.weights[kModel] = WeightNumber(1);
    registry.Put(record, MonotonicNow());
    requests.OnEndpointsChanged();
    requests.SetConfig(Config());
    requests.SetKnownInstances(1);
    auto opened = TcpListener::Open(
        loop, {"127.0.0.1", 0}, [this](const Poco::Net::StreamSocket& socket) {
          requests.Accept(socket);
        });
    REQUIRE(opened.ok());
    callers = opened.value();
    // Other requests hold the engine's whole memory.
    running.own_tokens = kMemory;
    requests.loads().OnStart(kEngine, running, 0);
  }
  ~WaitingFixture() override {
    if (call != nullptr)
      call->Cancel();
    callers->Close();
  }

  // Sends a request that then waits.
  void SendAndLetWait() {
    HttpHead head;
    head.method = "POST";
    head.target = "/summary/1";
    head.fields = {{"Content-Length", "4"}};
    call = client.Start({"127.0.0.1", callers->port()},
                        SerializeRequestHead(head) + "text", {}, this);
    RunUntil(loop, [this] { return requests.waiting_requests() == 1; });
    CHECK(engine.bodies.empty());
  }
  void FreeMemory() { requests.loads().OnEnd(kEngine, running); }

  ReplyDisposition OnReplyHead(const HttpHead& head,
                               const HttpMessageInfo&) override {
    status = head.status;
    const auto connection = head.Find("Connection");
    announced_close = connection == "close";
    return ReplyDisposition::kAccept;
  }
  void OnReplyBody(std::string_view) override {}
  void OnReplyEnd() override { over = true; }
  void OnCallFailed(const CallFailure&) override { over = true; }

  EventLoop loop;
  LoopbackServer engine{
      loop, [](HttpServerConnection& connection, const HttpServerRequest&) {
        connection.SendCompleteReply(ReplyHead(200), "id: 1\ndata: t\n\n");
      }};
  HttpClient engine_client{loop, {}};
  HttpClient client{loop, {}};
  PromptDialect dialect;
  EndpointRegistry registry;
  CacheContents contents;
  WeightDeadlines deadlines{Milliseconds(15'000)};
  ZoneEvacuations evacuations;
  ZoneRegions regions;
  Metrics metrics;
  RequestService requests{loop,      engine_client, dialect, registry, contents,
                          deadlines, evacuations,   regions, metrics,  {}};
  std::shared_ptr<TcpListener> callers;
  RequestFootprint running;
  std::shared_ptr<ClientCall> call;
  std::optional<int> status;
  bool over = false;
  bool announced_close = false;
};

// Fails if a request that waits isn't sent when room becomes free.
TEST_CASE("a waiting request is sent once there is room") {
  WaitingFixture fixture;
  fixture.SendAndLetWait();
  RunFor(fixture.loop, Milliseconds(150));
  CHECK(fixture.engine.bodies.empty());
  fixture.FreeMemory();
  RunUntil(fixture.loop, [&] { return fixture.over; });
  CHECK(fixture.status == 200);
  CHECK(fixture.engine.bodies.size() == 1);
  CHECK(fixture.requests.waiting_requests() == 0);
}

// Fails if the work of a caller that has left reaches an endpoint.
TEST_CASE("a request whose caller leaves while it waits is never sent") {
  WaitingFixture fixture;
  fixture.SendAndLetWait();
  std::exchange(fixture.call, nullptr)->Cancel();
  RunUntil(fixture.loop,
           [&] { return fixture.requests.waiting_requests() == 0; });
  fixture.FreeMemory();
  RunFor(fixture.loop, Milliseconds(500));
  CHECK(fixture.engine.bodies.empty());
  CHECK(fixture.requests.open_requests() == 0);
}

// Guards against requests that wait while a stop's grace period passes, and are
// refused only at its end.
TEST_CASE("a stop refuses at once what waits and can't end in time") {
  WaitingFixture fixture;
  fixture.SendAndLetWait();
  const Milliseconds grace(8000);
  fixture.requests.BeginStop(ShutdownSchedule(fixture.loop.now(), grace));
  CHECK(fixture.requests.waiting_requests() == 0);
  RunUntil(fixture.loop, [&] { return fixture.over; });
  CHECK(fixture.status == 503);
  // Or the caller returns on the same connection.
  CHECK(fixture.announced_close);
  fixture.FreeMemory();
  RunFor(fixture.loop, Milliseconds(300));
  CHECK(fixture.engine.bodies.empty());
}

// Guards against a stop that refuses what waits and would end in time.
TEST_CASE("a request that waits is served during a stop if it ends in time") {
  WaitingFixture fixture;
  fixture.SendAndLetWait();
  // Its bound is just before the end of the requests.
  const Milliseconds grace(11'000);
  fixture.requests.BeginStop(ShutdownSchedule(fixture.loop.now(), grace));
  CHECK(fixture.requests.waiting_requests() == 1);
  fixture.FreeMemory();
  RunUntil(fixture.loop, [&] { return fixture.over; });
  CHECK(fixture.status == 200);
}

// Fails if a stop drops what waits, or sends it after its caller was refused.
TEST_CASE("a stop refuses what still waits as not run") {
  WaitingFixture fixture;
  fixture.SendAndLetWait();
  // Long enough for the request, which may therefore go on waiting.
  const Milliseconds grace(20'000);
  fixture.requests.BeginStop(ShutdownSchedule(fixture.loop.now(), grace));
  CHECK(fixture.requests.waiting_requests() == 1);
  fixture.requests.EndOpenRequests();
  RunUntil(fixture.loop, [&] { return fixture.over; });
  CHECK(fixture.status == 503);
  fixture.FreeMemory();
  RunFor(fixture.loop, Milliseconds(300));
  CHECK(fixture.engine.bodies.empty());
}

// Fails if a request is sent on a route that was removed while it waited.
TEST_CASE("a route that is removed ends the wait of its requests") {
  WaitingFixture fixture;
  fixture.SendAndLetWait();
  fixture.requests.SetConfig(Config(/*with_route=*/false));
  RunUntil(fixture.loop, [&] { return fixture.over; });
  CHECK(fixture.status == 503);
  CHECK(fixture.requests.waiting_requests() == 0);
  fixture.FreeMemory();
  RunFor(fixture.loop, Milliseconds(300));
  CHECK(fixture.engine.bodies.empty());
}

// Fails if a request waits longer than its caller, who leaves after two seconds
// without an event.
TEST_CASE("a request without room is refused before its caller leaves") {
  WaitingFixture fixture;
  const MonotonicTime sent = MonotonicNow();
  fixture.SendAndLetWait();
  RunUntil(fixture.loop, [&] { return fixture.over; });
  CHECK(fixture.status == 503);
  CHECK(MonotonicNow() - sent < Milliseconds(2000));
  CHECK(fixture.engine.bodies.empty());
}

// Fails if a request that waited is sent to an engine that crashed with a full
// queue before it.
TEST_CASE("a waiting request isn't sent to an endpoint that is gone") {
  WaitingFixture fixture;
  fixture.SendAndLetWait();
  fixture.registry.Remove(kEngine, RemovalCause::kAnnounced, MonotonicNow());
  fixture.requests.OnEndpointsChanged();
  fixture.FreeMemory();
  RunUntil(fixture.loop, [&] { return fixture.over; });
  CHECK(fixture.status == 503);
  CHECK(fixture.engine.bodies.empty());
}

}  // namespace
}  // namespace carobshift
