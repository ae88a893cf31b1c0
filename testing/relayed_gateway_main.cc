// A gateway for process tests that uses another host than the one in the
// endpoints' records, at the same ports:
//
//   relayed_gateway --settings FILE --metrics-port N --relay-host 127.0.2.1
//
// A test that runs relays there can cut the paths of this one gateway to the
// endpoints, while the others, which read the same records, still reach them.

#include <atomic>
#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <utility>

#include "carobshift/gateway/gateway.h"
#include "carobshift/telemetry/event_log.h"
#include "carobshift/telemetry/log_output.h"
#include "platform/platform_dialects.h"
#include "platform/settings_file.h"

namespace carobshift {
namespace {

std::atomic<bool> stop_requested = false;

// Reads the platform's records and replaces the host of each endpoint.
class RelayedLogDialect : public PlatformLogDialect {
 public:
  explicit RelayedLogDialect(std::string relay_host)
      : relay_host_(std::move(relay_host)) {}

  [[nodiscard]] Result<EndpointRecord> DecodeEndpointRecord(
      const std::string& key,
      std::string_view value) const override {
    Result<EndpointRecord> record =
        PlatformLogDialect::DecodeEndpointRecord(key, value);
    if (record.ok())
      record.value().address.host = relay_host_;
    return record;
  }

 private:
  std::string relay_host_;
};

Result<GatewaySettings> ReadSettings(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return ParseSettingsFile(std::string(std::istreambuf_iterator<char>(in), {}));
}

// `handled_since`: no signal had arrived then.
int Serve(GatewaySettings settings,
          const std::string& relay_host,
          MonotonicTime handled_since) {
  ConfigureEventLog(LogLevel::kInfo, settings.entry.value());
  const PlatformDialects platform;
  const Dialects usual = platform.dialects();
  const RelayedLogDialect log(relay_host);
  Gateway gateway(settings, {.request = usual.request,
                             .directory = usual.directory,
                             .log = log,
                             .engine = usual.engine});
  if (const Status status = gateway.Start(); !status.ok()) {
    std::cerr << status.error().message << std::endl;
    return 1;
  }
  std::cout << "listening " + settings.callers.ToString() + "\n" << std::flush;
  gateway.Run({.handled_since = handled_since,
               .stop_requested = [] { return stop_requested.load(); },
               .take_reload = [] { return false; },
               .read_settings = [&settings] { return settings; }});
  FinishLogOutput();
  return 0;
}

int Run(int argc, char** argv, MonotonicTime handled_since) {
  cxxopts::Options options("relayed_gateway");
  options.add_options()("settings", "settings file",
                        cxxopts::value<std::string>())(
      "metrics-port", "port of metrics and state dump",
      cxxopts::value<std::uint16_t>())("relay-host", "host of the relays",
                                       cxxopts::value<std::string>());
  const auto flags = options.parse(argc, argv);
  Result<GatewaySettings> settings =
      ReadSettings(flags["settings"].as<std::string>());
  if (!settings.ok()) {
    std::cerr << settings.error().message << std::endl;
    return 2;
  }
  settings.value().metrics_port = flags["metrics-port"].as<std::uint16_t>();
  return Serve(std::move(settings.value()),
               flags["relay-host"].as<std::string>(), handled_since);
}

}  // namespace
}  // namespace carobshift

int main(int argc, char** argv) {
  const carobshift::MonotonicTime handled_since = carobshift::MonotonicNow();
  std::signal(SIGTERM, [](int) { carobshift::stop_requested = true; });
  std::signal(SIGPIPE, SIG_IGN);
  return carobshift::Run(argc, argv, handled_since);
}
