#include "carobshift/gateway/endpoints/service_reachability.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace carobshift {
namespace {

const ServiceName kEngines("engines");
const ServiceName kBooking("booking");

enum class Path {
  kWorks,
  // Connections are reset and new ones refused.
  kResets,
  // Nothing arrives any more; attempts to connect take their time limit.
  kHangs,
  // Open connections continue; attempts to connect are refused.
  kRefusesNew,
  // Open connections continue; attempts to connect hang.
  kHangsNew,
  // Connects, but sends nothing.
  kSilent,
};

// Requests of one instance to the endpoints of some services over paths that
// change. Each request takes an open connection if there is one. An endpoint
// sends bytes in intervals until the request is over.
class SimulatedPaths {
 public:
  struct Load {
    Milliseconds request_interval{28};
    Milliseconds run_time{600};
    Milliseconds byte_interval{30};
    // Number of requests on one connection; 1 means a new one for each.
    int requests_per_connection = 50;
  };

  void AddService(const ServiceName& service, int endpoints, const Load& load) {
    Service added;
    added.name = service;
    added.load = load;
    for (int i = 0; i < endpoints; ++i) {
      const NetAddress address{service.value(),
                               static_cast<std::uint16_t>(++last_port_)};
      added.endpoints.push_back(address);
      paths_[address] = Path::kWorks;
      map_[address] = service;
    }
    services_.push_back(added);
    reachability.SetEndpoints(map_, now);
  }

  void SetPath(const NetAddress& address, Path path) {
    paths_[address] = path;
    if (path == Path::kResets)
      ResetConnections(address);
  }
  void SetAll(Path path) {
    for (auto& [address, known] : paths_)
      SetPath(address, path);
  }
  [[nodiscard]] const std::vector<NetAddress>& EndpointsOf(
      std::size_t service) const {
    return services_[service].endpoints;
  }

  void Run(Milliseconds time) {
    for (const MonotonicTime end = now + time; now < end;)
      Step();
  }
  // Returns how long it took, or `longest`.
  Milliseconds RunUntil(const std::function<bool()>& done,
                        Milliseconds longest) {
    const MonotonicTime start = now;
    while (!done() && now - start < longest)
      Step();
    return std::chrono::duration_cast<Milliseconds>(now - start);
  }
  Milliseconds TimeToLose(const ServiceName& service) {
    return RunUntil([&] { return !Reaches(service); }, Seconds(5));
  }
  Milliseconds TimeToReach(const ServiceName& service) {
    return RunUntil([&] { return Reaches(service); }, Seconds(5));
  }
  [[nodiscard]] bool Reaches(const ServiceName& service) const {
    return reachability.ReachOf(service) == ServiceReach::kReached;
  }

  ServiceReachability reachability;
  MonotonicTime now{Seconds(100)};
  int connects = 0;
  int probes = 0;
  bool ever_lost = false;

 private:
  struct Service {
    ServiceName name;
    Load load;
    std::vector<NetAddress> endpoints;
    MonotonicTime next_request{};
    std::size_t next_endpoint = 0;
  };
  struct Call {
    NetAddress address;
    MonotonicTime end;
    MonotonicTime next_bytes;
    Milliseconds byte_interval;
    int uses = 1;
  };
  struct Connecting {
    NetAddress address;
    MonotonicTime started;
    std::optional<Load> load;
  };
  struct Idle {
    NetAddress address;
    int uses = 0;
  };

  void Step() {
    now += Milliseconds(1);
    for (Service& service : services_) {
      if (now >= service.next_request)
        StartRequest(service);
    }
    FinishConnects();
    SendBytes();
    if ((now - MonotonicTime{}) % ServiceReachability::kAdvanceInterval ==
        Microseconds(0))
      reachability.Advance(now);
    for (const NetAddress& address : reachability.TakeProbes()) {
      ++probes;
      StartConnect(address, std::nullopt);
    }
    ever_lost = ever_lost || !reachability.Unreached().empty();
  }

  void StartRequest(Service& service) {
    service.next_request = now + service.load.request_interval;
    const NetAddress& address =
        service.endpoints[service.next_endpoint++ % service.endpoints.size()];
    const auto idle = std::find_if(
        idle_.begin(), idle_.end(),
        [&address](const Idle& one) { return one.address == address; });
    if (idle == idle_.end()) {
      StartConnect(address, service.load);
      return;
    }
    const int uses = idle->uses + 1;
    idle_.erase(idle);
    Send(address, service.load, uses);
  }

  void StartConnect(const NetAddress& address, std::optional<Load> load) {
    ++connects;
    reachability.OnConnectStarted(address, now);
    connecting_.push_back({address, now, load});
  }

  void Send(const NetAddress& address, const Load& load, int uses) {
    reachability.OnRequestSent(address, now);
    calls_.push_back({address, now + load.run_time, now + load.byte_interval,
                      load.byte_interval,
                      uses >= load.requests_per_connection ? -1 : uses});
  }

  void FinishConnects() {
    constexpr Milliseconds kRoundTrip{2};
    constexpr Milliseconds kTimeout{200};
    std::vector<Connecting> finished;
    std::erase_if(connecting_, [&](const Connecting& one) {
      const Path path = paths_[one.address];
      const bool hangs = path == Path::kHangs || path == Path::kHangsNew;
      const bool over = now - one.started >= (hangs ? kTimeout : kRoundTrip);
      if (over)
        finished.push_back(one);
      return over;
    });
    for (const Connecting& one : finished) {
      const Path path = paths_[one.address];
      if (path != Path::kWorks && path != Path::kSilent) {
        reachability.OnConnectFailed(one.address, now);
        continue;
      }
      reachability.OnConnected(one.address, now);
      if (one.load)
        Send(one.address, *one.load, 1);
      else
        idle_.push_back({one.address});
    }
  }

  void SendBytes() {
    std::vector<Call> sending;
    std::erase_if(calls_, [&](Call& call) {
      const Path path = paths_[call.address];
      if (path == Path::kHangs || path == Path::kSilent ||
          now < call.next_bytes)
        return false;
      call.next_bytes = now + call.byte_interval;
      sending.push_back(call);
      return now >= call.end;
    });
    for (const Call& call : sending) {
      reachability.OnBytesReceived(call.address, now);
      if (now < call.end)
        continue;
      reachability.OnRequestEnded(call.address, now);
      if (call.uses > 0)
        idle_.push_back({call.address, call.uses});
    }
  }

  void ResetConnections(const NetAddress& address) {
    std::erase_if(idle_, [&](const Idle& one) {
      if (one.address != address)
        return false;
      reachability.OnConnectionBroken(address, now);
      return true;
    });
    std::erase_if(calls_, [&](const Call& call) {
      if (call.address != address)
        return false;
      reachability.OnConnectionBroken(address, now);
      reachability.OnRequestEnded(address, now);
      return true;
    });
  }

  std::vector<Service> services_;
  std::map<NetAddress, Path> paths_;
  std::map<NetAddress, ServiceName> map_;
  std::vector<Connecting> connecting_;
  std::vector<Call> calls_;
  std::vector<Idle> idle_;
  int last_port_ = 0;
};

using Load = SimulatedPaths::Load;

// 35 requests a second, of which 5 are for a service without streams.
void AddUsualServices(SimulatedPaths& paths) {
  paths.AddService(kEngines, 12, {.request_interval = Milliseconds(33)});
  paths.AddService(kBooking, 3,
                   {.request_interval = Milliseconds(200),
                    .run_time = Milliseconds(60),
                    .byte_interval = Milliseconds(60)});
  paths.Run(Seconds(3));
}

constexpr Milliseconds kDetectionTime{300};

TEST_CASE("a loss of all paths is detected before a request's third attempt") {
  const Path lost = GENERATE(Path::kResets, Path::kHangs);
  CAPTURE(static_cast<int>(lost));
  SimulatedPaths paths;
  AddUsualServices(paths);
  REQUIRE(!paths.ever_lost);
  paths.SetAll(lost);
  const Milliseconds engines = paths.TimeToLose(kEngines);
  CHECK(engines < kDetectionTime);
  CHECK(paths.TimeToLose(kBooking) + engines < kDetectionTime);
  CHECK(paths.reachability.ReachOf(kEngines) == ServiceReach::kUnreached);
}

TEST_CASE("requests that each need a connection notice that none is made") {
  const Path lost = GENERATE(Path::kRefusesNew, Path::kHangsNew);
  SimulatedPaths paths;
  paths.AddService(kEngines, 12, {.requests_per_connection = 1});
  paths.Run(Seconds(3));
  paths.SetAll(lost);
  CHECK(paths.TimeToLose(kEngines) < kDetectionTime);
  CHECK(paths.reachability.ReachOf(kEngines) ==
        ServiceReach::kOpenConnectionsOnly);
  paths.SetAll(Path::kWorks);
  CHECK(paths.TimeToReach(kEngines) <= Milliseconds(500));
}

TEST_CASE("a service with few endpoints or little traffic loses its paths") {
  const int endpoints = GENERATE(1, 2, 3);
  const int interval = GENERATE(200, 1000);
  const Path lost = GENERATE(Path::kResets, Path::kHangs);
  CAPTURE(endpoints, interval, static_cast<int>(lost));
  SimulatedPaths paths;
  paths.AddService(kBooking, endpoints,
                   {.request_interval = Milliseconds(interval),
                    .run_time = Milliseconds(60),
                    .byte_interval = Milliseconds(60)});
  paths.Run(Seconds(5));
  REQUIRE(!paths.ever_lost);
  paths.SetAll(lost);
  // The next request may come after `interval` only.
  CHECK(paths.TimeToLose(kBooking) < Milliseconds(interval) + kDetectionTime);
}

TEST_CASE("an idle service is found unreached by the loss of another") {
  const Path lost = GENERATE(Path::kResets, Path::kHangs);
  SimulatedPaths paths;
  paths.AddService(kEngines, 12, {});
  paths.AddService(kBooking, 3, {.request_interval = Seconds(60)});
  paths.Run(Seconds(3));
  paths.SetAll(lost);
  const Milliseconds engines = paths.TimeToLose(kEngines);
  CHECK(engines + paths.TimeToLose(kBooking) < 2 * kDetectionTime);
}

TEST_CASE("a loss of the paths to one service says nothing about another") {
  SimulatedPaths paths;
  AddUsualServices(paths);
  for (const NetAddress& address : paths.EndpointsOf(1))
    paths.SetPath(address, GENERATE(Path::kResets, Path::kHangs));
  CHECK(paths.TimeToLose(kBooking) < Milliseconds(200) + kDetectionTime);
  paths.Run(Seconds(5));
  CHECK(!paths.Reaches(kBooking));
  CHECK(paths.Reaches(kEngines));
}

TEST_CASE("dead and silent endpoints are no loss of this instance's paths") {
  const Path path =
      GENERATE(Path::kResets, Path::kHangs, Path::kSilent, Path::kRefusesNew);
  const std::size_t endpoints = GENERATE(2, 3, 12);
  const int interval = GENERATE(10, 200, 2000);
  CAPTURE(static_cast<int>(path), endpoints, interval);
  SimulatedPaths paths;
  paths.AddService(kEngines, static_cast<int>(endpoints),
                   {.request_interval = Milliseconds(interval)});
  paths.Run(Seconds(3));
  const std::vector<NetAddress> all = paths.EndpointsOf(0);
  for (std::size_t i = 0; i + 1 < endpoints; ++i)
    paths.SetPath(all[i], path);
  paths.Run(Seconds(10));
  paths.SetAll(Path::kWorks);
  paths.Run(Seconds(3));
  CHECK(!paths.ever_lost);
}

TEST_CASE("endpoints that are full answer and are therefore reached") {
  SimulatedPaths paths;
  paths.AddService(kBooking, 3,
                   {.request_interval = Milliseconds(5),
                    .run_time = Milliseconds(2),
                    .byte_interval = Milliseconds(2),
                    .requests_per_connection = 1});
  paths.Run(Seconds(10));
  CHECK(!paths.ever_lost);
  CHECK(paths.probes == 0);
}

TEST_CASE("all endpoints silent for 1.5 s still accept connections") {
  const int endpoints = GENERATE(1, 2, 12);
  SimulatedPaths paths;
  paths.AddService(kEngines, endpoints, {});
  paths.Run(Seconds(3));
  paths.SetAll(Path::kSilent);
  paths.Run(Milliseconds(1500));
  paths.SetAll(Path::kWorks);
  paths.Run(Seconds(3));
  CHECK(!paths.ever_lost);
}

TEST_CASE("a slow service on a calm day causes few probes") {
  SimulatedPaths paths;
  paths.AddService(kBooking, 3,
                   {.request_interval = Milliseconds(1000),
                    .run_time = Milliseconds(400),
                    .byte_interval = Milliseconds(400)});
  paths.Run(Seconds(60));
  CHECK(!paths.ever_lost);
  // No more than one for each request.
  CHECK(paths.probes <= 60);
}

TEST_CASE("a pause of the process makes no attempt overdue") {
  SimulatedPaths paths;
  AddUsualServices(paths);
  for (const NetAddress& address : paths.EndpointsOf(1)) {
    paths.reachability.OnConnectStarted(address, paths.now);
    paths.reachability.OnConnectStarted(address, paths.now);
  }
  paths.now += Seconds(3);
  paths.reachability.Advance(paths.now);
  CHECK(paths.Reaches(kEngines));
  CHECK(paths.Reaches(kBooking));
  for (const NetAddress& address : paths.EndpointsOf(1)) {
    paths.reachability.OnConnected(address, paths.now);
    paths.reachability.OnConnected(address, paths.now);
  }
  paths.Run(Seconds(1));
  CHECK(!paths.ever_lost);
}

TEST_CASE("paths that return are used at the first success") {
  const Path lost = GENERATE(Path::kResets, Path::kHangs);
  SimulatedPaths paths;
  AddUsualServices(paths);
  const MonotonicTime cut = paths.now;
  CHECK_FALSE(paths.reachability.LostAfter(kEngines, cut - Seconds(1)));
  paths.SetAll(lost);
  paths.Run(Seconds(12));
  CHECK(paths.reachability.LostAfter(kEngines, paths.now));
  CHECK(!paths.Reaches(kEngines));
  CHECK(!paths.Reaches(kBooking));
  paths.SetAll(Path::kWorks);
  CHECK(paths.TimeToReach(kEngines) <=
        ServiceReachability::kMaxProbeInterval + Milliseconds(50));
  CHECK(paths.TimeToReach(kBooking) <=
        ServiceReachability::kMaxProbeInterval + Milliseconds(50));
  const auto changes = paths.reachability.TakeChanges();
  REQUIRE(changes.size() >= 4);
  CHECK(changes.front().reach == ServiceReach::kUnreached);
  CHECK(changes.front().failed == changes.front().endpoints);
  CHECK(changes.front().last_bytes_age < kDetectionTime);
  CHECK(changes.back().reach == ServiceReach::kReached);
  for (const ReachabilityChange& change : changes) {
    CHECK(change.lost_since <= cut);
    CHECK(change.lost_since >= cut - ServiceReachability::kEvidenceLifetime);
  }
  CHECK(paths.reachability.LostAfter(kEngines, cut + Seconds(11)));
  CHECK_FALSE(paths.reachability.LostAfter(kEngines, paths.now));
}

TEST_CASE("an unreached service is probed at a bounded rate") {
  SimulatedPaths paths;
  paths.AddService(kEngines, 12, {.request_interval = Seconds(1000)});
  paths.SetAll(Path::kResets);
  paths.Run(Milliseconds(10));
  for (const NetAddress& address : paths.EndpointsOf(0)) {
    paths.reachability.OnConnectStarted(address, paths.now);
    paths.reachability.OnConnectFailed(address, paths.now);
  }
  REQUIRE(!paths.Reaches(kEngines));
  static_cast<void>(paths.reachability.TakeProbes());
  paths.Run(Seconds(10));
  // Two in each of the longest intervals, and a few at first.
  CHECK(paths.probes <= 2 * 10000 / 400 + 6);
}

TEST_CASE("paths that are cut again and again are trusted more slowly") {
  SimulatedPaths paths;
  AddUsualServices(paths);
  std::vector<Milliseconds> returns;
  for (int i = 0; i < 8; ++i) {
    paths.SetAll(i % 2 == 0 ? Path::kHangs : Path::kResets);
    CHECK(paths.TimeToLose(kEngines) < kDetectionTime);
    paths.Run(Seconds(2));
    paths.SetAll(Path::kWorks);
    returns.push_back(paths.TimeToReach(kEngines));
    paths.Run(Milliseconds(700));
  }
  CHECK(returns.front() <= Milliseconds(450));
  CHECK(returns.back() >= ServiceReachability::kMaxHold);
  CHECK(returns.back() <= ServiceReachability::kMaxHold + Milliseconds(600));
  paths.Run(ServiceReachability::kFlapWindow);
  paths.SetAll(Path::kResets);
  paths.Run(Seconds(2));
  paths.SetAll(Path::kWorks);
  CHECK(paths.TimeToReach(kEngines) <= Milliseconds(450));
}

TEST_CASE("endpoints that leave the list end what was said of their service") {
  SimulatedPaths paths;
  AddUsualServices(paths);
  paths.SetAll(Path::kResets);
  paths.TimeToLose(kEngines);
  paths.reachability.SetEndpoints({}, paths.now);
  CHECK(paths.reachability.Unreached().empty());
  CHECK(paths.Reaches(kEngines));
}

TEST_CASE("no pattern without a loss of all paths counts as one") {
  rc::prop("whatever the other endpoints do while one is sound", [] {
    SimulatedPaths paths;
    const int endpoints = *rc::gen::inRange(2, 13);
    const Load load{.request_interval = Milliseconds(*rc::gen::inRange(5, 400)),
                    .run_time = Milliseconds(*rc::gen::inRange(1, 800)),
                    .byte_interval = Milliseconds(*rc::gen::inRange(1, 400)),
                    .requests_per_connection = *rc::gen::inRange(1, 20)};
    paths.AddService(kEngines, endpoints, load);
    const auto sound = *rc::gen::inRange(0, endpoints);
    const std::vector<NetAddress> all = paths.EndpointsOf(0);
    const int steps = *rc::gen::inRange(1, 30);
    for (int step = 0; step < steps; ++step) {
      const auto changed = *rc::gen::inRange(0, endpoints);
      const auto path = static_cast<Path>(*rc::gen::inRange(0, 6));
      if (changed != sound)
        paths.SetPath(all[static_cast<std::size_t>(changed)], path);
      paths.Run(Milliseconds(*rc::gen::inRange(1, 400)));
      RC_ASSERT(!paths.ever_lost);
    }
  });
}

}  // namespace
}  // namespace carobshift
