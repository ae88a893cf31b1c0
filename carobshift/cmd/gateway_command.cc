#include "carobshift/cmd/gateway_command.h"

#include <atomic>
#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include "carobshift/cmd/exit_codes.h"
#include "carobshift/gateway/gateway.h"
#include "carobshift/telemetry/event_log.h"
#include "carobshift/telemetry/fatal_signal.h"
#include "carobshift/telemetry/log_output.h"
#include "platform/platform_dialects.h"
#include "platform/settings_file.h"

namespace carobshift {
namespace {

std::atomic<bool> stop_requested = false;
std::atomic<bool> reload_requested = false;

void OnStopSignal(int) {
  stop_requested = true;
}

void OnReloadSignal(int) {
  reload_requested = true;
}

void InstallSignalHandlers() {
  std::signal(SIGTERM, OnStopSignal);
  std::signal(SIGINT, OnStopSignal);
  std::signal(SIGHUP, OnReloadSignal);
  std::signal(SIGPIPE, SIG_IGN);
}

cxxopts::Options DescribeFlags() {
  cxxopts::Options options("carobshiftd gateway",
                           "One gateway on the users' platform.");
  options.add_options()("settings", "the platform's settings file",
                        cxxopts::value<std::string>())(
      "metrics-port", "port of metrics and state dump; 0 for none",
      cxxopts::value<std::uint16_t>()->default_value("0"))(
      "log-level", "debug, info, warning or error",
      cxxopts::value<std::string>()->default_value("info"))(
      "print-address", "print \"listening HOST:PORT\" once it serves")(
      "help", "print this help");
  return options;
}

int Fail(ExitCode code, const std::string& message) {
  std::cerr << "carobshiftd gateway: " << message << std::endl;
  return static_cast<int>(code);
}

Result<GatewaySettings> ReadSettings(const std::string& path,
                                     std::uint16_t metrics_port) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    return Error{ResultCode::kInvalidSettings, "cannot read " + path};
  const std::string text(std::istreambuf_iterator<char>(in), {});
  Result<GatewaySettings> settings = ParseSettingsFile(text);
  if (settings.ok())
    settings.value().metrics_port = metrics_port;
  return settings;
}

struct GatewayFlags {
  std::string settings_path;
  std::uint16_t metrics_port = 0;
  LogLevel log_level = LogLevel::kInfo;
  bool print_address = false;
};

// `handled_since`: no signal had arrived then.
int Serve(const GatewayFlags& flags, MonotonicTime handled_since) {
  const Result<GatewaySettings> settings =
      ReadSettings(flags.settings_path, flags.metrics_port);
  if (!settings.ok())
    return Fail(ExitCode::kUsage, settings.error().message);
  ConfigureEventLog(flags.log_level, settings.value().entry.value());
  BufferLogOutput();
  InstallFatalSignalHandler(settings.value().entry.value());
  const PlatformDialects platform;
  Gateway gateway(settings.value(), platform.dialects());
  if (const Status status = gateway.Start(); !status.ok())
    return Fail(ExitCode::kFailed, status.error().message);
  if (flags.print_address) {
    std::cout << "listening " + settings.value().callers.ToString() + "\n"
              << std::flush;
  }
  gateway.Run({.handled_since = handled_since,
               .stop_requested = [] { return stop_requested.load(); },
               .take_reload = [] { return reload_requested.exchange(false); },
               .read_settings =
                   [&] {
                     return ReadSettings(flags.settings_path,
                                         flags.metrics_port);
                   }});
  FinishLogOutput();
  return static_cast<int>(ExitCode::kOk);
}

}  // namespace

int RunGatewayCommand(int argc, char** argv) {
  const MonotonicTime handled_since = MonotonicNow();
  InstallSignalHandlers();
  cxxopts::Options options = DescribeFlags();
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << std::endl;
      return static_cast<int>(ExitCode::kOk);
    }
    const auto level = LogLevelFromName(parsed["log-level"].as<std::string>());
    if (!level)
      return Fail(ExitCode::kUsage,
                  "log-level: expected debug, info, warning, error");
    std::optional<std::string> path = SettingsPath();
    if (parsed.count("settings") > 0)
      path = parsed["settings"].as<std::string>();
    if (!path)
      return Fail(ExitCode::kUsage, "no settings file was given");
    return Serve({.settings_path = *path,
                  .metrics_port = parsed["metrics-port"].as<std::uint16_t>(),
                  .log_level = *level,
                  .print_address = parsed.count("print-address") > 0},
                 handled_since);
  } catch (const cxxopts::exceptions::exception& e) {
    return Fail(ExitCode::kUsage, e.what());
  }
}

}  // namespace carobshift
