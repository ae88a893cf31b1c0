// An isolated instance hands the requests of its callers over to others.

#include "carobshift/gateway/handoff/handoff_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

namespace carobshift {
namespace {

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
    REQUIRE(caller->head.Find(kStamp));
    CHECK(*caller->head.Find(kStamp) == "e1.r1");
    CHECK_FALSE(caller->head.Find(kHandoffStateField));
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
  CHECK_FALSE(caller->head.Find(kHandoffStateField));
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
        const auto last = request.head.Find("Last-Event");
        last_events.emplace_back(last.value_or(""));
        connection.BeginStream(ReplyHead(200));
        if (!last) {
          connection.SendChunk(Events(1, 3));
          return;
        }
        connection.SendChunk(Events(std::stoi(std::string(*last)) + 1, 6));
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
    const auto last = request.head.Find("Last-Event");
    connection.BeginStream(ReplyHead(200));
    connection.SendChunk(last ? Events(4, 6) : Events(1, 3));
    if (last)
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
    CHECK_FALSE(caller->head.Find(kStreamSoftwareField));
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
  fixture.peer().requests.BeginStop(
      ShutdownSchedule(fixture.loop.now(), Milliseconds(8000)));
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

// A grace period that is over before a request's own bound.
constexpr Milliseconds kShortGrace{1500};

void BeginStop(Instance& instance) {
  instance.requests.BeginStop(ShutdownSchedule(MonotonicNow(), kShortGrace));
  instance.listener.BeginStop();
}

// Guards against handoffs to a peer that cuts them at the end of its grace
// period.
TEST_CASE("what a stopping peer refuses goes to another one") {
  HandoffFixture fixture(ReplyDone, 3);
  BeginStop(fixture.peer(1));
  int refused = 0;
  for (int i = 0; i < 10; ++i) {
    const auto caller = fixture.SendAndWait("/book/1");
    CHECK(caller->head.status == 200);
    refused = static_cast<int>(fixture.peer(1).metrics.Value(
        "carobshift_rejected_total", {{"code", "entry_leaving"}}));
  }
  CHECK(refused > 0);
  CHECK(fixture.Runs() == 10);
}

// Guards against a caller that gets no promise when all peers stop.
TEST_CASE("what only a stopping peer could serve is refused as not run") {
  HandoffFixture fixture(ReplyDone);
  BeginStop(fixture.peer());
  const auto caller = fixture.SendAndWait("/book/1");
  CHECK(caller->head.status == 503);
  CHECK(caller->head.Find("Retry-After"));
  CHECK(caller->whole);
  CHECK(fixture.Runs() == 0);
}

// Guards against attempts that begin late in the grace period and are cut.
TEST_CASE("another attempt isn't begun when a stop would cut it") {
  Instance* stopping = nullptr;
  HandoffFixture fixture(
      [&stopping](HttpServerConnection& connection, const HttpServerRequest&) {
        BeginStop(*stopping);
        HttpHead head = ReplyHead(503);
        head.Set("Not-Run", "1");
        connection.SendCompleteReply(head, "");
      });
  stopping = &fixture.peer();
  fixture.peer().AddEndpoint("e2", fixture.endpoint.address());
  Caller caller(fixture.loop, fixture.peer().address(), "/book/1");
  RunUntil(fixture.loop, [&] { return caller.over; });
  CHECK(caller.head.status == 503);
  CHECK(caller.whole);
  CHECK(fixture.Runs() == 1);
}

// Guards against the same with an attempt at a peer.
TEST_CASE("a request isn't handed over when a stop would cut it") {
  HandoffFixture* running = nullptr;
  HandoffFixture fixture(
      [&running](HttpServerConnection&, const HttpServerRequest&) {
        running->loop.AddTimer(running->loop.now(), [&running] {
          BeginStop(running->isolated());
          running->BusyPeer().listener.Abort();
        });
      },
      3);
  running = &fixture;
  const auto caller = fixture.SendAndWait("/find/1");
  CHECK(caller->head.status == 502);
  CHECK(caller->whole);
  CHECK(fixture.Runs() == 1);
}

// A connection to a handoff listener on which nothing is sent.
class SilentPeer : public TcpConnectionHandler {
 public:
  SilentPeer(EventLoop& loop, const NetAddress& address)
      : connection_(TcpConnection::Connect(loop, address, {}, this)) {}
  ~SilentPeer() override { connection_->Close(); }
  [[nodiscard]] bool connected() const { return connection_->connected(); }
  [[nodiscard]] bool closed() const { return closed_; }

  void OnData(std::string_view) override {}
  void OnClosed(CloseReason) override { closed_ = true; }

 private:
  std::shared_ptr<TcpConnection> connection_;
  bool closed_ = false;
};

// Guards against handoffs that come late in the grace period of the peer, on
// connections that were opened after its beginning.
TEST_CASE("a planned stop of the peer closes connections without a handoff") {
  HandoffFixture fixture(ReplyDone);
  Instance& peer = fixture.peer();
  peer.requests.BeginStop(
      ShutdownSchedule(fixture.loop.now(), Milliseconds(8000)));
  peer.listener.BeginStop();
  const SilentPeer silent(fixture.loop, {peer.host, peer.listener.port()});
  RunUntil(fixture.loop, [&] { return silent.connected(); });
  RunFor(fixture.loop, Milliseconds(50));
  REQUIRE_FALSE(silent.closed());
  peer.listener.Close();
  peer.listener.CloseIdleConnections();
  RunUntil(fixture.loop, [&] { return silent.closed(); });
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

}  // namespace
}  // namespace carobshift
