// Two and more instances on one event loop, for tests: the first one is
// isolated and hands the requests of its callers over to the others, which send
// them to endpoints on loopback.
//
//   HandoffFixture fixture(answer);
//   const auto caller = fixture.SendAndWait("/find/1");
//   CHECK(caller->head.status == 200);

#ifndef CAROBSHIFT_GATEWAY_HANDOFF_HANDOFF_FIXTURE_H_
#define CAROBSHIFT_GATEWAY_HANDOFF_HANDOFF_FIXTURE_H_

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

inline const ServiceName kService("desks");
inline const std::string kSecret = "secret";
inline constexpr char kStamp[] = "Answer-Stamp";

inline std::string Event(int number) {
  return "id: " + std::to_string(number) + "\ndata: token\n\n";
}

inline std::string Events(int first, int last) {
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
      const std::string value(field.value);
      if (field.name == "Time-Left")
        request.time_left = Milliseconds(std::stoi(value));
      else if (field.name == "Begun-By")
        request.stream_beginning = RequestId(value);
      else if (field.name == "Last-Event")
        request.last_event = EventNumber(std::stoul(value));
      else if (!ConnectionFields().Contains(field.name))
        request.fields.push_back(field);
    }
    if (const auto id = head.Find("Id"))
      request.id = RequestId(std::string(*id));
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
    facts.not_run = head.Find("Not-Run").has_value();
    return facts;
  }
};

// Time for an answer of 64 MB through two instances, also under sanitizers.
inline constexpr Milliseconds kTransferTime{20000};

inline Route RouteNamed(const std::string& name) {
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

inline std::shared_ptr<const ServingConfigSnapshot> Config() {
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

inline RequestServiceOptions GenerousRetries() {
  RequestServiceOptions options;
  options.retries.share = 1;
  options.retries.extra = 1000;
  options.retries.first_start = true;
  return options;
}

// One instance; its callers' port is chosen by the system, and its handoff port
// is the same as that of the others.
struct Instance {
  // The hosts are used by nothing else. Counted from 1 on.
  [[nodiscard]] static std::string HostOf(int number) {
    return "127.0.3." + std::to_string(number);
  }

  Instance(EventLoop& loop,
           int number,
           std::uint16_t handoff_port,
           const std::vector<MemberInfo>& members)
      : id("entry-" + std::to_string(number)),
        host(HostOf(number)),
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
                .admit_attempt =
                    [this](Exchange& exchange) {
                      return requests.AdmitAttempt(exchange);
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
    // Before the callers' port is chosen, which could be this one.
    REQUIRE(listener.Listen({host, handoff_port}).ok());
    auto opened = TcpListener::Open(
        loop, {host, 0}, [this](const Poco::Net::StreamSocket& socket) {
          requests.Accept(socket);
        });
    REQUIRE(opened.ok());
    callers = opened.value();
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
    for (const HttpField& field : more_fields)
      request.fields.push_back(field);
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
    const std::uint16_t port = FreePort(instances_wanted);
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
  // Returns a port that was free a moment ago on the hosts of all instances.
  std::uint16_t FreePort(int instances_wanted) {
    constexpr int kTries = 20;
    for (int i = 0; i < kTries; ++i) {
      if (const auto port = TryPort(instances_wanted))
        return *port;
    }
    FAIL("no port is free on all hosts");
    return 0;
  }

  std::optional<std::uint16_t> TryPort(int instances_wanted) {
    std::uint16_t port = 0;
    std::vector<std::shared_ptr<TcpListener>> opened;
    for (int number = 1; number <= instances_wanted; ++number) {
      const auto listener =
          TcpListener::Open(loop, {Instance::HostOf(number), port},
                            [](const Poco::Net::StreamSocket&) {});
      if (listener.ok())
        opened.push_back(listener.value());
      if (number == 1 && listener.ok())
        port = listener.value()->port();
    }
    for (const auto& listener : opened)
      listener->Close();
    const bool is_free =
        opened.size() == static_cast<std::size_t>(instances_wanted);
    return is_free ? std::optional(port) : std::nullopt;
  }
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_HANDOFF_HANDOFF_FIXTURE_H_
