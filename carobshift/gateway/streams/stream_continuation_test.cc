#include "carobshift/gateway/streams/stream_continuation.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const ServiceName kService("llm");
const ServiceName kOther("llm-b");
const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v2");

Route RouteTo(const std::vector<ServiceName>& services) {
  Route route;
  for (const ServiceName& service : services)
    route.services.push_back({service, 1});
  return route;
}

StreamLookup Known(const ServiceName& service) {
  return {StreamBeginning{service, kOld}, StreamSource::kPeer};
}

TEST_CASE("a stream goes on at the service and the software that began it") {
  // A route's split leads the next request of the caller elsewhere.
  StreamLookup lookup = Known(kService);
  lookup.sole_version = kNew;
  const Continuation next =
      DecideContinuation(RouteTo({kOther, kService}), kOther, lookup);
  CHECK(next.refusal == ResultCode::kOk);
  CHECK(next.beginning == StreamBeginning{kService, kOld});
  CHECK(next.source == StreamSource::kPeer);
}

// Guards against pieces of two services in one stream.
TEST_CASE("a stream whose route has moved to another service can't go on") {
  CHECK(
      DecideContinuation(RouteTo({kOther}), kOther, Known(kService)).refusal ==
      ResultCode::kSoftwareGone);
}

TEST_CASE("a stream that nobody knows goes on only if there is no choice") {
  StreamLookup lookup;
  const Route route = RouteTo({kService});
  CHECK(DecideContinuation(route, kService, lookup).refusal ==
        ResultCode::kSoftwareUnknown);
  lookup.sole_version = kOld;
  const Continuation sole = DecideContinuation(route, kService, lookup);
  CHECK(sole.refusal == ResultCode::kOk);
  CHECK(sole.beginning == StreamBeginning{kService, kOld});
  CHECK(sole.source == StreamSource::kSoleVersion);
  CHECK(DecideContinuation(RouteTo({kService, kOther}), kService, lookup)
            .refusal == ResultCode::kSoftwareUnknown);
}

TEST_CASE("the longest stream follows from the routes' timeouts") {
  ServingConfig config;
  CHECK(LongestStream(config) == Milliseconds(0));
  config.routes = {RouteTo({kService}), RouteTo({kService})};
  config.routes[0].streaming = true;
  config.routes[0].timeout = Seconds(15);
  config.routes[1].timeout = Seconds(100);
  CHECK(LongestStream(config) == Seconds(30));
}

}  // namespace
}  // namespace carobshift
