#include "carobshift/gateway/endpoints/reachability_monitor.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "carobshift/net/loopback_server.h"

namespace carobshift {
namespace {

const ServiceName kBooking("booking");

EndpointRecord RecordOf(const char* id, int port) {
  EndpointRecord record;
  record.id = EndpointId(id);
  record.service = kBooking;
  record.address = {"127.0.0.1", static_cast<std::uint16_t>(port)};
  record.zone = ZoneName(id);
  return record;
}

std::shared_ptr<TcpListener> Listen(EventLoop& loop, std::uint16_t port) {
  auto opened = TcpListener::Open(loop, {"127.0.0.1", port},
                                  [](const Poco::Net::StreamSocket&) {});
  REQUIRE(opened.ok());
  return opened.value();
}

TEST_CASE("endpoints that refuse all connections make a service unreached") {
  EventLoop loop;
  HttpClient client(loop, {});
  Metrics metrics;
  ReachabilityMonitor monitor(loop, client, metrics, Milliseconds(200));
  std::vector<ReachabilityChange> changes;
  monitor.SetOnChange([&changes](const ReachabilityChange& change) {
    changes.push_back(change);
  });
  std::vector<std::shared_ptr<TcpListener>> listeners;
  std::map<NetAddress, ServiceName> endpoints;
  for (int i = 0; i < 3; ++i) {
    listeners.push_back(Listen(loop, 0));
    endpoints[{"127.0.0.1", listeners.back()->port()}] = kBooking;
  }
  monitor.SetEndpoints(endpoints);
  const auto reach = [&monitor] {
    return monitor.reachability().ReachOf(kBooking);
  };
  const NetAddress first = endpoints.begin()->first;
  client.OpenConnection(first, Milliseconds(200));
  RunUntil(loop, [&] { return client.HasFreeConnection(first); });
  CHECK(reach() == ServiceReach::kReached);

  for (const auto& listener : listeners)
    listener->Close();
  client.RemoveAddress(first);
  client.OpenConnection(first, Milliseconds(200));
  RunUntil(loop, [&] { return !changes.empty(); });
  CHECK(reach() == ServiceReach::kUnreached);
  CHECK(changes[0].service == kBooking);
  CHECK(changes[0].endpoints == 3);
  CHECK(changes[0].failed == 3);

  // One endpoint accepts connections again.
  const auto again = Listen(loop, endpoints.rbegin()->first.port);
  RunUntil(loop, [&] { return changes.size() == 2; });
  CHECK(reach() == ServiceReach::kReached);
  again->Close();
}

TEST_CASE("endpoints that may get no requests aren't probed") {
  ServingConfig config;
  DeclaredService booking;
  booking.name = kBooking;
  config.services[kBooking] = booking;
  EndpointRegistry registry;
  registry.Put(RecordOf("sound", 1), {});
  registry.Put(RecordOf("evacuated", 2), {});
  EndpointRecord leaving = RecordOf("leaving", 3);
  leaving.leaving = true;
  registry.Put(leaving, {});
  EndpointRecord undeclared = RecordOf("undeclared", 4);
  undeclared.service = ServiceName("other");
  registry.Put(undeclared, {});
  ZoneEvacuations evacuations;
  evacuations.Set(ZoneName("evacuated"), true, {});
  const auto endpoints = EndpointsToReach(config, registry, evacuations);
  REQUIRE(endpoints.size() == 1);
  CHECK(endpoints.begin()->first.port == 1);
}

}  // namespace
}  // namespace carobshift
