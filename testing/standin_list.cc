// Stand-in for the instance list of the platform. Tests write it by PUT
// /instances (the whole list) and by PUT and DELETE /instances/ID. Fault
// besides the common ones: `lag_ms`, the delay after which readers see a
// change.

#include <cxxopts.hpp>
#include <deque>
#include <map>
#include <mutex>

#include "testing/standin_server.h"

namespace carobshift {
namespace {

using nlohmann::json;

class List {
 public:
  explicit List(Faults& faults) : faults_(faults) { RecordSnapshot(); }

  void PutAll(StandinExchange& exchange) {
    const json body = exchange.Json();
    const std::lock_guard lock(mutex_);
    instances_.clear();
    for (const json& instance : body.at("instances"))
      instances_[instance.at("id").get<std::string>()] = instance;
    RecordSnapshot();
    exchange.Reply({{"ok", true}});
  }

  void PutOne(StandinExchange& exchange) {
    json body = exchange.Json();
    const std::lock_guard lock(mutex_);
    json& instance = instances_[exchange.path()[1]];
    if (instance.is_null())
      instance = json::object();
    instance.merge_patch(body);
    instance["id"] = exchange.path()[1];
    RecordSnapshot();
    exchange.Reply({{"ok", true}});
  }

  void Delete(StandinExchange& exchange) {
    const std::lock_guard lock(mutex_);
    instances_.erase(exchange.path()[1]);
    RecordSnapshot();
    exchange.Reply({{"ok", true}});
  }

  void Read(StandinExchange& exchange) {
    const MonotonicTime visible_until =
        MonotonicNow() - Milliseconds(faults_.Number("lag_ms"));
    const std::lock_guard lock(mutex_);
    const json* instances = &history_.front().second;
    for (const auto& [time, snapshot] : history_) {
      if (time <= visible_until)
        instances = &snapshot;
    }
    exchange.Reply({{"instances", *instances}});
  }

 private:
  void RecordSnapshot() {
    constexpr std::size_t kMaxHistory = 256;
    json snapshot = json::array();
    for (const auto& [id, instance] : instances_)
      snapshot.push_back(instance);
    history_.emplace_back(MonotonicNow(), std::move(snapshot));
    if (history_.size() > kMaxHistory)
      history_.pop_front();
  }

  Faults& faults_;
  std::mutex mutex_;
  std::map<std::string, json> instances_;
  std::deque<std::pair<MonotonicTime, json>> history_;
};

}  // namespace
}  // namespace carobshift

int main(int argc, char** argv) {
  cxxopts::Options options = carobshift::StandinOptions("standin_list");
  const auto flags = options.parse(argc, argv);
  carobshift::StandinServer server;
  carobshift::List list(server.faults());
  using Exchange = carobshift::StandinExchange;
  server.Route("GET", "/instances", [&](Exchange& x) { list.Read(x); });
  server.Route("PUT", "/instances", [&](Exchange& x) { list.PutAll(x); });
  server.Route("PUT", "/instances/*", [&](Exchange& x) { list.PutOne(x); });
  server.Route("DELETE", "/instances/*", [&](Exchange& x) { list.Delete(x); });
  return server.Run(flags["listen"].as<std::string>());
}
