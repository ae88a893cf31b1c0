// Two and more instances on one event loop: an isolated one hands the requests
// of its callers over to others, which send them to endpoints on loopback.

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "carobshift/gateway/handoff/fake_reachability.h"
#include "carobshift/gateway/handoff/handoff_listener.h"
#include "carobshift/gateway/handoff/handoff_runner.h"
#include "carobshift/gateway/stub_dialects.h"
#include "carobshift/net/loopback_server.h"

namespace carobshift {
namespace {

const ServiceName kService("desks");
const std::string kSecret = "secret";
constexpr char kStamp[] = "Answer-Stamp";

std::string Event(int number) {
  return "id: " + std::to_string(number) + "\ndata: token\n\n";
}

std::string Events(int first, int last) {
  std::string text;
  for (int i = first; i <= last; ++i)
    text += Event(i);
  return text;
}

// A plain wire format: the fields Id, Time-Left and Last-Event, and Not-Run in
// replies.
class PlainDialect : public StubRequestDialect {
 public:
  [[nodiscard]] Result<CallerRequest> DecodeRequest(
      const HttpHead& head) const override {
    CallerRequest request;
    request.host = "host";
    request.method = head.method;
    request.target = head.target;
    for (const HttpField& field : head.fields) {
      if (field.name == "Time-Left")
        request.time_left = Milliseconds(std::stoi(field.value));
      else if (field.name == "Begun-By")
        request.stream_beginning = RequestId(field.value);
      else if (field.name == "Last-Event")
        request.last_event = EventNumber(std::stoul(field.value));
      else if (!IsConnectionField(field.name, ""))
        request.fields.push_back(field);
    }
    if (const std::string* id = head.Find("Id"))
      request.id = RequestId(*id);
    return request;
  }
  [[nodiscard]] std::string EncodeAttempt(
      const CallerRequest& request,
      const AttemptFields& fields) const override {
    HttpHead head = EncodeRequest(request, fields.time_left, fields.last_event);
    return SerializeRequestHead(head);
  }
  [[nodiscard]] HttpHead EncodeRequest(
      const CallerRequest& request,
      Milliseconds time_left,
      const std::optional<EventNumber>& last_event) const override {
    HttpHead head;
    head.method = request.method;
    head.target = request.target;
    head.fields = request.fields;
    head.Set("Content-Length", std::to_string(request.body.size()));
    head.Set("Time-Left", std::to_string(time_left.count()));
    if (last_event)
      head.Set("Last-Event", std::to_string(last_event->value()));
    return head;
  }
  [[nodiscard]] ReplyMetadata DecodeReply(const HttpHead& head) const override {
    ReplyMetadata facts;
    facts.not_run = head.Find("Not-Run") != nullptr;
    return facts;
  }
};

// Time for an answer of 64 MB through two instances, also under sanitizers.
constexpr Milliseconds kTransferTime{20000};

Route RouteNamed(const std::string& name) {
  Route route;
  route.name = name;
  route.host = "host";
  route.path_prefix = "/" + name + "/";
  route.services = {{kService, 1}};
  route.anonymous = true;
  route.timeout = Milliseconds(3000);
  route.max_attempts = 2;
  return route;
}

std::shared_ptr<const ServingConfigSnapshot> Config() {
  ServingConfig config;
  Route find = RouteNamed("find");
  find.idempotent = true;
  Route review = RouteNamed("review");
  review.streaming = review.resumable = true;
  Route ask = RouteNamed("ask");
  ask.streaming = true;
  ask.timeout = kTransferTime;
  config.routes = {RouteNamed("book"), find, review, ask};
  DeclaredService desks;
  desks.name = kService;
  desks.connection_limit = 1000;
  config.services[kService] = desks;
  return std::make_shared<const ServingConfigSnapshot>(std::move(config));
}

RequestServiceOptions GenerousRetries() {
  RequestServiceOptions options;
  options.retries.share = 1;
  options.retries.extra = 1000;
  options.retries.first_start = true;
  return options;
}

// One instance; its callers' port is chosen by the system, and its handoff port
// is the same as that of the others.
struct Instance {
  Instance(EventLoop& loop,
           int number,
           std::uint16_t handoff_port,
           const std::vector<MemberInfo>& members)
      : id("entry-" + std::to_string(number)),
        host("127.0.3." + std::to_string(number)),
        endpoint_client(loop, {}),
        peer_client(loop, {}),
        requests(loop,
                 endpoint_client,
                 dialect,
                 registry,
                 contents,
                 deadlines,
                 evacuations,
                 regions,
                 metrics,
                 GenerousRetries()),
        runner(loop,
               peer_client,
               dialect,
               requests.attempt_runner(),
               reachability,
               regions,
               metrics,
               {.self = id,
                .zone = ZoneName("z"),
                .port = handoff_port,
                .secret = kSecret,
                .members = [&members] { return members; },
                .spend_retry =
                    [this](const ServiceName& service) {
                      ++retries_spent;
                      return requests.TrySpendRetry(service);
                    },
                .settle_retry =
                    [this](const ServiceName& service,
                           MonotonicTime last_arrival) {
                      ++retries_ended;
                      requests.SettleRetry(service, last_arrival);
                    },
                .refund_retry =
                    [this](const ServiceName& service) {
                      ++retries_ended;
                      requests.RefundRetry(service);
                    },
                .on_relayed_reply =
                    [this, &loop](const ReplyMetadata& reply) {
                      requests.statements().OnRelayedReply(reply, loop.now());
                    }}),
        listener(
            loop,
            requests,
            metrics,
            {.self = id, .incarnation = Incarnation(7), .secret = kSecret}) {
    requests.SetHandoffRunner(&runner);
    requests.SetConfig(Config());
    requests.SetLiveInstances(2);
    requests.SetKnownInstances(2);
    auto opened = TcpListener::Open(
        loop, {host, 0}, [this](const Poco::Net::StreamSocket& socket) {
          requests.Accept(socket);
        });
    REQUIRE(opened.ok());
    callers = opened.value();
    REQUIRE(listener.Listen({host, handoff_port}).ok());
  }
  ~Instance() { callers->Close(); }

  void AddEndpoint(const std::string& name,
                   const NetAddress& address,
                   const std::string& software = "v1") {
    EndpointRecord record;
    record.software = SoftwareVersion(software);
    record.id = EndpointId(name);
    record.service = kService;
    record.zone = ZoneName("z");
    record.address = address;
    record.slots = 100;
    registry.Put(record, MonotonicNow());
    requests.OnEndpointsChanged();
  }
  [[nodiscard]] NetAddress address() const { return {host, callers->port()}; }
  [[nodiscard]] MemberInfo Member() const {
    MemberInfo info;
    info.id = id;
    info.incarnation = Incarnation(7);
    info.zone = ZoneName("z");
    info.host = host;
    return info;
  }
  [[nodiscard]] double Handoffs(std::string_view outcome) const {
    return metrics.Value("carobshift_handoffs_total", {{"outcome", outcome}});
  }

  EntryId id;
  std::string host;
  HttpClient endpoint_client;
  HttpClient peer_client;
  PlainDialect dialect;
  EndpointRegistry registry;
  CacheContents contents;
  WeightDeadlines deadlines{Milliseconds(15000)};
  ZoneEvacuations evacuations;
  ZoneRegions regions;
  Metrics metrics;
  FakeReachability reachability;
  int retries_spent = 0;
  int retries_ended = 0;
  RequestService requests;
  HandoffRunner runner;
  HandoffListener listener;
  std::shared_ptr<TcpListener> callers;
};

// A caller's request, and what came back.
struct Caller : public HttpCallListener {
  Caller(EventLoop& loop,
         const NetAddress& address,
         const std::string& target,
         Milliseconds time_left = Milliseconds(2000),
         const std::vector<HttpField>& more_fields = {})
      : client(loop, {}) {
    HttpHead request;
    request.method = "POST";
    request.target = target;
    request.fields = {{"Id", "r1"},
                      {"Time-Left", std::to_string(time_left.count())},
                      {"Content-Length", "6"}};
    request.fields.insert(request.fields.end(), more_fields.begin(),
                          more_fields.end());
    call = client.Start(address, SerializeRequestHead(request) + "slot 7", {},
                        this);
  }
  ~Caller() override {
    if (call != nullptr)
      call->Cancel();
  }
  ReplyDisposition OnReplyHead(const HttpHead& received,
                               const HttpMessageInfo&) override {
    head = received;
    return ReplyDisposition::kAccept;
  }
  void OnReplyBody(std::string_view bytes) override { body += bytes; }
  void OnReplyEnd() override { whole = over = true; }
  void OnCallFailed(const CallFailure&) override { over = true; }

  HttpClient client;
  std::shared_ptr<ClientCall> call;
  HttpHead head;
  std::string body;
  bool whole = false;
  bool over = false;
};

// Instance 0 reaches no endpoint; the others do. Each has the same endpoints.
class HandoffFixture {
 public:
  using Answer = LoopbackServer::Answer;

  explicit HandoffFixture(Answer answer, int instances_wanted = 2)
      : endpoint(loop, std::move(answer)) {
    const std::uint16_t port = FreePort();
    for (int i = 0; i < instances_wanted; ++i) {
      instances.push_back(
          std::make_unique<Instance>(loop, i + 1, port, members));
    }
    for (const auto& instance : instances) {
      members.push_back(instance->Member());
      instance->AddEndpoint("e1", endpoint.address());
    }
    isolated().reachability.self = false;
  }

  [[nodiscard]] Instance& isolated() { return *instances.front(); }
  [[nodiscard]] Instance& peer(std::size_t index = 1) {
    return *instances[index];
  }
  // Returns the peer that serves the only request.
  [[nodiscard]] Instance& BusyPeer() {
    const auto busy = std::find_if(
        instances.begin() + 1, instances.end(), [](const auto& instance) {
          return instance->requests.open_requests() == 1;
        });
    REQUIRE(busy != instances.end());
    return **busy;
  }
  std::unique_ptr<Caller> Send(const std::string& target,
                               Milliseconds time_left = Milliseconds(2000)) {
    return std::make_unique<Caller>(loop, isolated().address(), target,
                                    time_left);
  }
  std::unique_ptr<Caller> SendAndWait(const std::string& target) {
    auto caller = Send(target);
    RunUntil(loop, [&caller] { return caller->over; });
    return caller;
  }
  [[nodiscard]] std::size_t Runs() const { return endpoint.bodies.size(); }

  EventLoop loop;
  LoopbackServer endpoint;
  std::vector<MemberInfo> members;
  std::vector<std::unique_ptr<Instance>> instances;

 private:
  // Returns a port that was free a moment ago on one host; the test's hosts are
  // used by nothing else.
  std::uint16_t FreePort() {
    const auto opened = TcpListener::Open(
        loop, {"127.0.3.1", 0}, [](const Poco::Net::StreamSocket&) {});
    REQUIRE(opened.ok());
    const std::uint16_t port = opened.value()->port();
    opened.value()->Close();
    return port;
  }
};

// An address at which connections are never established: the kernel drops
// connection requests to a socket whose accept queue is full.
class HangingAddress {
 public:
  HangingAddress()
      : listener_(Poco::Net::SocketAddress("127.0.0.1", 0), /*backlog=*/0),
        filler_(listener_.address()) {}
  [[nodiscard]] NetAddress address() const {
    return {"127.0.0.1", listener_.address().port()};
  }

 private:
  Poco::Net::ServerSocket listener_;
  Poco::Net::StreamSocket filler_;
};

void ReplyDone(HttpServerConnection& connection, const HttpServerRequest&) {
  HttpHead head = ReplyHead(200);
  head.fields.push_back({kStamp, "e1.r1"});
  connection.SendCompleteReply(std::move(head), "done");
}

TEST_CASE("a request of an isolated instance is answered through a peer") {
  HandoffFixture fixture(ReplyDone);
  for (const char* target : {"/book/1", "/find/1"}) {
    const auto caller = fixture.SendAndWait(target);
    CHECK(caller->head.status == 200);
    CHECK(caller->body == "done");
    REQUIRE(caller->head.Find(kStamp) != nullptr);
    CHECK(*caller->head.Find(kStamp) == "e1.r1");
    CHECK(caller->head.Find(kHandoffStateField) == nullptr);
  }
  CHECK(fixture.Runs() == 2);
  CHECK(fixture.endpoint.bodies[0] == "slot 7");
  CHECK(fixture.isolated().Handoffs("answered") == 2);
  CHECK(fixture.isolated().runner.outstanding() == 0);
}

TEST_CASE("an instance that reaches its endpoints hands nothing over") {
  HandoffFixture fixture(ReplyDone);
  fixture.isolated().reachability.self = true;
  CHECK(fixture.SendAndWait("/book/1")->head.status == 200);
  CHECK(fixture.isolated().Handoffs("answered") == 0);
}

// Guards against requests that wait for peers that can't serve them either.
TEST_CASE("if no peer reaches the service, endpoints are tried as usual") {
  HandoffFixture fixture(ReplyDone);
  fixture.isolated().reachability.lost_by_peers.insert(fixture.peer().id);
  CHECK(fixture.SendAndWait("/book/1")->head.status == 200);
  CHECK(fixture.isolated().Handoffs("answered") == 0);
}

// Guards against requests that travel in a circle between two instances that
// both reach no endpoint and don't know it of each other yet.
TEST_CASE("a request that was handed over is not handed on") {
  HandoffFixture fixture(ReplyDone, 3);
  fixture.peer(1).reachability.self = false;
  fixture.peer(2).reachability.self = false;
  const auto caller = fixture.SendAndWait("/book/1");
  CHECK(caller->head.status == 503);
  CHECK(caller->body.find("not_run") != std::string::npos);
  CHECK(caller->head.Find(kHandoffStateField) == nullptr);
  CHECK(fixture.Runs() == 0);
  CHECK(fixture.peer(1).Handoffs("answered") == 0);
  CHECK(fixture.peer(1).Handoffs("not_run") == 0);
}

// Guards against a booking that is lost because the first peer lost its
// endpoints a moment ago, although another peer has them.
TEST_CASE("a request that a peer did not run goes to another peer") {
  HandoffFixture fixture(ReplyDone, 3);
  fixture.peer(1).reachability.self = false;
  for (int i = 0; i < 10; ++i)
    CHECK(fixture.SendAndWait("/book/1")->head.status == 200);
  CHECK(fixture.Runs() == 10);
  CHECK(fixture.isolated().Handoffs("not_run") > 0);
  CHECK(fixture.isolated().retries_spent ==
        fixture.isolated().Handoffs("not_run"));
  CHECK(fixture.isolated().retries_ended == fixture.isolated().retries_spent);
}

// Guards against callers that wait for a peer that is gone.
TEST_CASE("a request whose peer can't be connected to goes to another peer") {
  HandoffFixture fixture(ReplyDone, 3);
  fixture.peer(1).listener.Close();
  for (int i = 0; i < 10; ++i)
    CHECK(fixture.SendAndWait("/book/1")->head.status == 200);
  CHECK(fixture.Runs() == 10);
  // The peer is avoided after the first failure.
  CHECK(fixture.isolated().Handoffs("failed") <= 1);
}

// Guards against a booking that runs twice because the connection to the peer
// broke after the endpoint had received it.
TEST_CASE("a booking is not sent again if its peer dies midway") {
  std::vector<HttpServerConnection*> waiting;
  HandoffFixture fixture(
      [&waiting](HttpServerConnection& connection, const HttpServerRequest&) {
        waiting.push_back(&connection);
      },
      3);
  const auto caller = fixture.Send("/book/1");
  RunUntil(fixture.loop, [&fixture] { return fixture.Runs() == 1; });
  fixture.BusyPeer().listener.Abort();
  RunUntil(fixture.loop, [&caller] { return caller->over; });
  CHECK(caller->head.status == 502);
  CHECK(caller->body.find("outcome_unknown") != std::string::npos);
  RunFor(fixture.loop, Milliseconds(100));
  CHECK(fixture.Runs() == 1);
}

// Guards against a stream that ends because the peer that relays it died.
TEST_CASE("a resumable stream goes on through another peer") {
  std::vector<std::string> last_events;
  HandoffFixture fixture(
      [&last_events](HttpServerConnection& connection,
                     const HttpServerRequest& request) {
        const std::string* const last = request.head.Find("Last-Event");
        last_events.push_back(last == nullptr ? "" : *last);
        connection.BeginStream(ReplyHead(200));
        if (last == nullptr) {
          connection.SendChunk(Events(1, 3));
          return;
        }
        connection.SendChunk(Events(std::stoi(*last) + 1, 6));
        connection.EndStream();
      },
      3);
  const auto caller = fixture.Send("/review/1");
  RunUntil(fixture.loop, [&caller] { return caller->body == Events(1, 3); });
  fixture.BusyPeer().listener.Abort();
  RunUntil(fixture.loop, [&caller] { return caller->over; });
  CHECK(caller->whole);
  CHECK(caller->body == Events(1, 6));
  CHECK(last_events == std::vector<std::string>{"", "3"});
}

// Guards against a broken stream that looks complete to the caller.
// Guards against a stream that changes its software version because it goes on
// through another peer.
TEST_CASE("a stream keeps its software version through another peer") {
  const auto answer = [](HttpServerConnection& connection,
                         const HttpServerRequest& request) {
    const std::string* const last = request.head.Find("Last-Event");
    connection.BeginStream(ReplyHead(200));
    connection.SendChunk(last == nullptr ? Events(1, 3) : Events(4, 6));
    if (last != nullptr)
      connection.EndStream();
  };
  for (int i = 0; i < 4; ++i) {
    HandoffFixture fixture(answer, 3);
    LoopbackServer other(fixture.loop, answer);
    for (const auto& instance : fixture.instances)
      instance->AddEndpoint("e2", other.address(), "v2");
    const auto caller = fixture.Send("/review/" + std::to_string(i));
    RunUntil(fixture.loop, [&caller] { return caller->body == Events(1, 3); });
    fixture.BusyPeer().listener.Abort();
    RunUntil(fixture.loop, [&caller] { return caller->over; });
    CHECK(caller->body == Events(1, 6));
    CHECK(std::max(fixture.Runs(), other.bodies.size()) == 2);
    CHECK(caller->head.Find(kStreamSoftwareField) == nullptr);
  }
}

TEST_CASE("a stream that can't resume breaks off visibly through a peer") {
  HandoffFixture fixture(
      [](HttpServerConnection& connection, const HttpServerRequest&) {
        connection.BeginStream(ReplyHead(200));
        connection.SendChunk(Events(1, 2));
        connection.Abort();
      });
  const auto caller = fixture.SendAndWait("/ask/1");
  CHECK_FALSE(caller->whole);
  CHECK(fixture.Runs() == 1);
}

// Guards against endpoints that work for callers who have left, behind a peer.
TEST_CASE("the endpoint's work ends soon after the caller has left") {
  HandoffFixture fixture(
      [](HttpServerConnection&, const HttpServerRequest&) {});
  const auto caller = fixture.Send("/find/1");
  RunUntil(fixture.loop, [&fixture] { return fixture.Runs() == 1; });
  caller->call->Cancel();
  const MonotonicTime left = MonotonicNow();
  RunUntil(fixture.loop, [&fixture] { return fixture.endpoint.gone == 1; });
  CHECK(MonotonicNow() - left < Milliseconds(500));
  CHECK(fixture.isolated().requests.open_requests() == 0);
  CHECK(fixture.peer().requests.open_requests() == 0);
  CHECK(fixture.isolated().runner.outstanding() == 0);
}

// Guards against a slow caller whose stream fills the memory of an instance.
TEST_CASE("a slow caller holds back the endpoint through both instances") {
  std::size_t sent = 0;
  std::weak_ptr<HttpServerConnection> stream;
  HandoffFixture fixture(
      [&stream](HttpServerConnection& connection, const HttpServerRequest&) {
        stream = connection.weak_from_this();
        connection.BeginStream(ReplyHead(200));
      });
  const auto caller = fixture.Send("/ask/1", kTransferTime);
  RunUntil(fixture.loop, [&stream] { return !stream.expired(); });
  const std::string event = "id: 1\ndata: " + std::string(60000, 'x') + "\n\n";
  constexpr std::size_t kOffered = std::size_t{64} << 20;
  int number = 0;
  bool read = true;
  while (sent < kOffered) {
    stream.lock()->SendChunk("id: " + std::to_string(++number) +
                             "\ndata: " + std::string(60000, 'x') + "\n\n");
    sent += event.size();
    if (read && !caller->body.empty()) {
      caller->call->SetReading(false);
      read = false;
    }
    fixture.loop.RunOnce(Milliseconds(0));
  }
  RunFor(fixture.loop, Milliseconds(300));
  // Bytes received by the isolated instance and by the peer, and not sent on.
  CHECK_FALSE(read);
  CHECK(fixture.endpoint.connections.back()->serving());
  CHECK(fixture.isolated().requests.open_requests() == 1);
  const std::size_t before = caller->body.size();
  CHECK(before < kOffered / 4);
  caller->call->SetReading(true);
  stream.lock()->EndStream();
  RunUntil(
      fixture.loop, [&caller] { return caller->over; }, kTransferTime);
  CHECK(caller->whole);
  CHECK(caller->body.size() > kOffered);
}

// Guards against requests that a planned stop of the peer interrupts.
TEST_CASE("a planned stop of the peer finishes what was handed over") {
  std::weak_ptr<HttpServerConnection> waiting;
  HandoffFixture fixture(
      [&waiting](HttpServerConnection& connection, const HttpServerRequest&) {
        waiting = connection.weak_from_this();
      });
  const auto caller = fixture.Send("/book/1");
  RunUntil(fixture.loop, [&fixture] { return fixture.Runs() == 1; });
  fixture.peer().requests.BeginStop();
  fixture.peer().listener.BeginStop();
  fixture.peer().listener.Close();
  CHECK(fixture.peer().requests.open_requests() == 1);
  RunFor(fixture.loop, Milliseconds(50));
  waiting.lock()->SendCompleteReply(ReplyHead(200), "done");
  RunUntil(fixture.loop, [&caller] { return caller->over; });
  CHECK(caller->head.status == 200);
  CHECK(caller->body == "done");
  CHECK(fixture.peer().requests.open_requests() == 0);
}

// Guards against deadlines that start anew at the peer.
TEST_CASE("the peer has only the time that the caller has left") {
  std::string time_left;
  HandoffFixture fixture([&time_left](HttpServerConnection& connection,
                                      const HttpServerRequest& request) {
    time_left = *request.head.Find("Time-Left");
    connection.SendCompleteReply(ReplyHead(200), "done");
  });
  const auto caller = fixture.Send("/book/1", Milliseconds(600));
  RunUntil(fixture.loop, [&caller] { return caller->over; });
  CHECK(caller->head.status == 200);
  CHECK(std::stoi(time_left) <= 600);
  CHECK(std::stoi(time_left) > 400);
}

// Guards against a booking whose time passes while it connects to an endpoint
// that this instance has just lost.
TEST_CASE("a request that was connecting when the instance is cut goes over") {
  HandoffFixture fixture(ReplyDone);
  fixture.isolated().reachability.self = true;
  const HangingAddress hanging;
  fixture.isolated().AddEndpoint("e1", hanging.address());
  const auto caller = fixture.Send("/book/1", Milliseconds(600));
  RunFor(fixture.loop, Milliseconds(50));
  fixture.isolated().reachability.self = false;
  fixture.isolated().runner.OnTick();
  RunUntil(fixture.loop, [&caller] { return caller->over; });
  CHECK(caller->head.status == 200);
  CHECK(fixture.Runs() == 1);
}

// Guards against an idempotent call that waits for its deadline at an endpoint
// that this instance has lost.
TEST_CASE("an idempotent call without an answer goes over when it is cut") {
  int calls = 0;
  HandoffFixture fixture([&calls](HttpServerConnection& connection,
                                  const HttpServerRequest& request) {
    if (++calls > 1)
      ReplyDone(connection, request);
  });
  fixture.isolated().reachability.self = true;
  const auto caller = fixture.Send("/find/1");
  RunUntil(fixture.loop, [&fixture] { return fixture.Runs() == 1; });
  fixture.isolated().reachability.self = false;
  fixture.isolated().runner.OnTick();
  RunUntil(fixture.loop, [&caller] { return caller->over; });
  CHECK(caller->head.status == 200);
  CHECK(fixture.Runs() == 2);
}

// Guards against a booking that runs twice because the instance was cut while
// it waited for the answer.
TEST_CASE("a booking that was sent stays where it is when it is cut") {
  HandoffFixture fixture(
      [](HttpServerConnection&, const HttpServerRequest&) {});
  fixture.isolated().reachability.self = true;
  const auto caller = fixture.Send("/book/1", Milliseconds(400));
  RunUntil(fixture.loop, [&fixture] { return fixture.Runs() == 1; });
  fixture.isolated().reachability.self = false;
  fixture.isolated().runner.OnTick();
  RunUntil(fixture.loop, [&caller] { return caller->over; });
  CHECK(caller->head.status == 504);
  CHECK(fixture.Runs() == 1);
}

// Guards against anyone who reaches the port of an instance and lets requests
// run there.
TEST_CASE("a request that is not sealed is rejected and not run") {
  HandoffFixture fixture(ReplyDone);
  const auto caller = std::make_unique<Caller>(
      fixture.loop,
      NetAddress{fixture.peer().host, fixture.peer().listener.port()},
      "/book/1");
  RunUntil(fixture.loop, [&caller] { return caller->over; });
  CHECK(caller->head.status == 403);
  CHECK(HandoffStateOf(caller->head) == HandoffState::kNotRun);
  CHECK(fixture.Runs() == 0);
  CHECK(fixture.peer().metrics.Value("carobshift_handoffs_rejected_total",
                                     {{"reason", "not_sealed"}}) == 1);
}

// Guards against endpoints that are avoided, or load that is counted, because
// of requests that never went to them from here.
TEST_CASE("a handoff leaves no trace in the isolated instance's records") {
  HandoffFixture fixture([](HttpServerConnection& connection,
                            const HttpServerRequest&) { connection.Abort(); });
  for (int i = 0; i < 3; ++i)
    CHECK(fixture.SendAndWait("/book/1")->head.status == 502);
  CHECK(fixture.isolated().metrics.Value("carobshift_attempt_failures_total",
                                         {{"fault", "connection_broken"}}) ==
        0);
  CHECK(fixture.isolated().endpoint_client.counters().calls == 0);
}

// Knows where one stream began, and records what is published.
class FakeStreamDirectory : public StreamDirectory {
 public:
  void Publish(const StreamRecord& record) override {
    published.push_back(record);
  }
  void Find(StreamKey, const SoleVersionQuestion&, Done done) override {
    ++lookups;
    done({beginning, StreamSource::kPeer, sole_version});
  }
  void FindSoleVersion(const SoleVersionQuestion&, SoleVersionDone) override {}

  std::optional<StreamBeginning> beginning;
  std::optional<SoftwareVersion> sole_version;
  std::vector<StreamRecord> published;
  int lookups = 0;
};

// Guards against a stream that goes on at the only version that this instance
// has heard of, though another instance began it at a new one.
TEST_CASE("a stream's record goes before what the service's versions show") {
  HandoffFixture fixture(
      [](HttpServerConnection& connection, const HttpServerRequest&) {
        connection.BeginStream(ReplyHead(200));
        connection.SendChunk(Events(4, 6));
        connection.EndStream();
      });
  FakeStreamDirectory directory;
  Instance& instance = fixture.peer();
  instance.registry.OnRecordsFollowedSince({});
  instance.requests.SetStreamDirectory(
      &directory, [&fixture] { return fixture.loop.now(); });
  const auto take_up = [&](std::vector<HttpField> fields) {
    fields.push_back({"Last-Event", "3"});
    Caller caller(fixture.loop, instance.address(), "/review/1",
                  Milliseconds(2000), fields);
    RunUntil(fixture.loop, [&caller] { return caller.over; });
    return caller.head.status;
  };
  directory.beginning = {kService, SoftwareVersion("v2")};
  CHECK(take_up({{"Begun-By", "r0"}}) == 503);
  CHECK(fixture.Runs() == 0);
  directory.beginning = {kService, SoftwareVersion("v1")};
  CHECK(take_up({{"Begun-By", "r0"}}) == 200);
  directory.beginning = std::nullopt;
  CHECK(take_up({{"Begun-By", "r0"}}) == 200);
  CHECK(directory.lookups == 3);
  // Without the name of its beginning there is nothing to look up.
  CHECK(take_up({}) == 200);
  CHECK(directory.lookups == 3);
  // The first request of a stream is the one that is recorded.
  CHECK(directory.published.empty());
}

void EndOfStream(HttpServerConnection& connection, const HttpServerRequest&) {
  connection.BeginStream(ReplyHead(200));
  connection.SendChunk(Events(4, 6));
  connection.EndStream();
}

std::unique_ptr<Caller> TakeUp(HandoffFixture& fixture) {
  return std::make_unique<Caller>(
      fixture.loop, fixture.peer().address(), "/review/1", Milliseconds(2000),
      std::vector<HttpField>{{"Last-Event", "3"}, {"Begun-By", "lost"}});
}

// Guards against a stream that goes on at the version of which an instance
// tells whose records are older than those here.
TEST_CASE("what others say of a version doesn't go before the own records") {
  HandoffFixture fixture(EndOfStream);
  FakeStreamDirectory directory;
  directory.sole_version = SoftwareVersion("v1");
  Instance& instance = fixture.peer();
  instance.requests.SetStreamDirectory(
      &directory, [&fixture] { return fixture.loop.now(); });
  int status = 200;
  Milliseconds followed{5000};
  SECTION("which have no other version") {}
  SECTION("which have another one") {
    instance.AddEndpoint("new", {"127.0.0.1", 1}, "v2");
    status = 503;
  }
  SECTION("which leave a gap to those of the others") {
    followed = Milliseconds(1000);
    status = 503;
  }
  instance.registry.OnRecordsFollowedSince(fixture.loop.now() - followed);
  const auto caller = TakeUp(fixture);
  RunUntil(fixture.loop, [&caller] { return caller->over; });
  CHECK(caller->head.status == status);
  CHECK(fixture.Runs() == (status == 200 ? 1 : 0));
}

// Guards against a stream that goes on at the only version here, as this
// instance hasn't read yet of the new one at which another one began it.
TEST_CASE("a lost stream waits for the records of its own time") {
  HandoffFixture fixture(EndOfStream);
  FakeStreamDirectory directory;
  Instance& instance = fixture.peer();
  instance.registry.OnRecordsFollowedSince({});
  MonotonicTime as_of = fixture.loop.now() - Milliseconds(500);
  instance.requests.SetStreamDirectory(&directory, [&as_of] { return as_of; });
  const auto caller = TakeUp(fixture);
  RunUntil(fixture.loop, [&directory] { return directory.lookups == 1; });
  instance.requests.OnTick();
  CHECK_FALSE(caller->over);
  int status = 200;
  SECTION("which have no other version") {}
  SECTION("which have another one") {
    instance.AddEndpoint("new", {"127.0.0.1", 1}, "v2");
    status = 503;
  }
  as_of = fixture.loop.now();
  instance.requests.OnTick();
  RunUntil(fixture.loop, [&caller] { return caller->over; });
  CHECK(caller->head.status == status);
}

TEST_CASE("a resumable stream's beginning is recorded with its first event") {
  HandoffFixture fixture(
      [](HttpServerConnection& connection, const HttpServerRequest&) {
        connection.BeginStream(ReplyHead(200));
        connection.SendChunk(Events(1, 6));
        connection.EndStream();
      });
  FakeStreamDirectory directory;
  Instance& instance = fixture.peer();
  instance.requests.SetStreamDirectory(
      &directory, [&fixture] { return fixture.loop.now(); });
  for (const char* target : {"/ask/1", "/review/1"}) {
    Caller caller(fixture.loop, instance.address(), target);
    RunUntil(fixture.loop, [&caller] { return caller.over; });
    CHECK(caller.body == Events(1, 6));
  }
  REQUIRE(directory.published.size() == 1);
  const StreamRecord& record = directory.published.front();
  CHECK(record.key == StreamKeyOf(std::nullopt, RequestId("r1")));
  CHECK(record.beginning == StreamBeginning{kService, SoftwareVersion("v1")});
  // At least as long as the caller may take it up.
  CHECK(record.life >= Milliseconds(3000));
}

}  // namespace
}  // namespace carobshift
