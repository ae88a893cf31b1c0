// Gateway processes beside another writer that leaves odd entries among those
// of the endpoints.

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

using nlohmann::json;
using namespace std::string_literals;

constexpr char kEntries[] = "keyed.servers";
constexpr char kOddId[] = "odd";

struct Entry {
  std::string key;
  std::string value;
};

// An entry that would be taken for a sound endpoint but for its key or the
// changed field.
json Sound() {
  return {{"service", "desks"}, {"address", "127.0.0.1:9"},
          {"zone", "z1"},       {"version", "v1"},
          {"slots", 1},         {"state", "ready"},
          {"sequence", 1}};
}

std::string With(const char* field, const json& value) {
  json entry = Sound();
  entry[field] = value;
  return entry.dump();
}

std::vector<Entry> OddEntries() {
  constexpr std::size_t kLevels = 30'000;
  constexpr std::size_t kLongText = std::size_t{300} << 10;
  const std::string sound = Sound().dump();
  const std::string long_text(kLongText, 'x');
  return {
      {"", sound},
      {"\xff", sound},
      {"a\xc3", sound},
      {"a\0b"s, sound},
      {"a\r\nServer-Leaving: 1", sound},
      {std::string(255, '\xfe'), sound},
      {"odd-nested", std::string(kLevels, '[') + std::string(kLevels, ']')},
      {"odd-open", std::string(kLongText, '[')},
      {"odd-bytes", "\xff\xfe\0\x80"s},
      {"odd-cut", sound.substr(0, sound.size() / 2)},
      {"odd-number", R"({"slots":1e400})"},
      {"odd-slots", With("slots", 1e300)},
      {"odd-slots-2", With("slots", -7)},
      {"odd-port", With("address", "127.0.0.1:65536")},
      {"odd-port-2", With("address", "127.0.0.1:99999999999999999999")},
      {"odd-host", With("address", "nobody.invalid:9")},
      {"odd-host-2", With("address", "127.0.0.1\r\nServer-Leaving: 1:9")},
      {"odd-zone", With("zone", long_text)},
      {"odd-service", With("service", long_text)},
      {"odd-version", With("version", long_text)},
      {"odd-state", With("state", long_text)},
  };
}

void PutOddEntries(GatewayCluster& cluster) {
  for (const Entry& entry : OddEntries())
    cluster.PutKeyed(kEntries, entry.key, entry.value);
  // Records without a key.
  cluster.PutRaw(kEntries, "");
  cluster.PutRaw(kEntries, "\x09zz");
}

// The ids of the endpoints that a gateway knows; empty if it doesn't tell.
std::set<std::string> KnownEndpoints(const GatewayCluster& cluster,
                                     std::size_t gateway) {
  std::set<std::string> ids;
  const json state = cluster.State(gateway);
  if (!state.is_object())
    return ids;
  for (const json& endpoint : state.at("endpoints"))
    ids.insert(endpoint.at("id").get<std::string>());
  return ids;
}

bool KnowWithin(const GatewayCluster& cluster,
                const std::set<std::string>& ids) {
  return WaitUntil([&] {
    for (std::size_t i = 0; i < cluster.gateways(); ++i) {
      if (KnownEndpoints(cluster, i) != ids)
        return false;
    }
    return true;
  });
}

void CheckThatAllServe(GatewayCluster& cluster) {
  for (std::size_t i = 0; i < cluster.gateways(); ++i) {
    CAPTURE(i);
    for (int request = 0; request < 5; ++request) {
      CHECK(cluster.Send(i, "POST", "/find/1").status == 200);
      CHECK(cluster.Send(i, "POST", "/review/1").status == 200);
    }
    CHECK(cluster.gateway(i).running());
  }
}

// Guards against gateways that end, or stop following the list, because of one
// entry that another writer has left in it.
TEST_CASE("odd entries beside those of sound endpoints change nothing") {
  GatewayCluster cluster({.gateways = 2, .engines = 1, .plain_services = 2});
  const std::set<std::string> sound = {"engine-0", "desk-0", "desk-1"};
  PutOddEntries(cluster);
  // Written last: a gateway that knows it has read all odd ones.
  cluster.PutReplica(1, "");
  CHECK(KnowWithin(cluster, {"engine-0", "desk-1"}));
  cluster.PutReplica(1, "ready");
  CHECK(KnowWithin(cluster, sound));
  CheckThatAllServe(cluster);

  cluster.gateway(0).Kill();
  cluster.StartGateway(0);
  CHECK(WaitUntil([&] { return cluster.Ready(0); }));
  CHECK(KnowWithin(cluster, sound));
  CheckThatAllServe(cluster);
}

// Guards against a log that is filled by an odd entry's heartbeats.
TEST_CASE("an odd entry is told once") {
  GatewayCluster cluster({.gateways = 1, .engines = 0, .plain_services = 1});
  constexpr int kHeartbeats = 5;
  for (int i = 0; i < kHeartbeats; ++i) {
    json entry = Sound();
    entry["slots"] = "many";
    entry["sequence"] = i;
    cluster.PutKeyed(kEntries, kOddId, entry.dump());
  }
  cluster.PutReplica(0, "draining");
  REQUIRE(
      WaitUntil([&] { return !cluster.LogLines("state", "leaving").empty(); }));
  const auto lines = cluster.LogLines("endpoint", kOddId);
  CHECK(std::count_if(lines.begin(), lines.end(), [](const json& line) {
          return line.at("event") == "endpoint_record_unreadable";
        }) == 1);
}

// Guards against an odd entry under the id of a sound endpoint that takes more
// than this endpoint out of use, or takes it out for good.
TEST_CASE("an odd entry under a sound id lasts until the next heartbeat") {
  GatewayCluster cluster({.gateways = 2, .engines = 1, .plain_services = 2});
  cluster.PutKeyed(kEntries, "desk-0", With("slots", 1e300));
  CHECK(KnowWithin(cluster, {"engine-0", "desk-1"}));
  CheckThatAllServe(cluster);
  cluster.PutReplica(1, "ready");
  CHECK(KnowWithin(cluster, {"engine-0", "desk-0", "desk-1"}));
  CheckThatAllServe(cluster);
}

}  // namespace
}  // namespace carobshift
