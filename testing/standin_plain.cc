// Stand-in for a plain service. Counts runs, so that a test can detect a call
// that ran twice: GET /runs returns the counts per request id and per body.
// Faults besides the common ones: `leaving` (refuses with not_run), `crash_on`
// (text; a call whose body contains it ends the process), `work_ms` (duration
// of a call).

#include <cstdlib>
#include <cxxopts.hpp>
#include <map>
#include <mutex>
#include <thread>

#include "carobshift/base/digest.h"
#include "testing/standin_server.h"

namespace carobshift {
namespace {

class PlainService {
 public:
  PlainService(Faults& faults, Milliseconds work)
      : faults_(faults), work_(work) {}

  void Call(StandinExchange& exchange) {
    if (faults_.Flag("leaving")) {
      exchange.SetHeader("X-Run-State", "not_run");
      return exchange.ReplyError(ResultCode::kEndpointRefused, "leaving");
    }
    const std::string crash_on = faults_.Text("crash_on");
    if (!crash_on.empty() &&
        exchange.body().find(crash_on) != std::string::npos)
      std::_Exit(1);
    {
      const std::lock_guard lock(mutex_);
      ++runs_by_request_[exchange.Header("X-Request-Id")];
      ++runs_by_body_[exchange.body()];
    }
    std::this_thread::sleep_for(
        Milliseconds(faults_.Number("work_ms", work_.count())));
    exchange.Reply({{"confirmed", Sha256Hex(exchange.body()).substr(0, 16)},
                    {"account", exchange.Header("X-Client-Account")}});
  }

  void Runs(StandinExchange& exchange) {
    const std::lock_guard lock(mutex_);
    exchange.Reply(
        {{"by_request", runs_by_request_}, {"by_body", runs_by_body_}});
  }

 private:
  Faults& faults_;
  const Milliseconds work_;
  std::mutex mutex_;
  std::map<std::string, int> runs_by_request_;
  std::map<std::string, int> runs_by_body_;
};

}  // namespace
}  // namespace carobshift

int main(int argc, char** argv) {
  cxxopts::Options options = carobshift::StandinOptions("standin_plain");
  options.add_options()("work-ms", "time of a call",
                        cxxopts::value<double>()->default_value("5"));
  const auto flags = options.parse(argc, argv);
  carobshift::StandinServer server;
  carobshift::PlainService service(
      server.faults(), carobshift::Milliseconds(static_cast<std::int64_t>(
                           flags["work-ms"].as<double>())));
  using Exchange = carobshift::StandinExchange;
  server.Route("POST", "/call", [&](Exchange& x) { service.Call(x); });
  server.Route("GET", "/runs", [&](Exchange& x) { service.Runs(x); });
  server.Route("GET", "/status", [&](Exchange& x) {
    x.Reply({{"state", "ready"}});
  });
  return server.Run(flags["listen"].as<std::string>());
}
