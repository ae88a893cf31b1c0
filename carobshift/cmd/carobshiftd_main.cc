// carobshiftd: the entry process.
//
//   carobshiftd --settings entry.yaml --listen 127.0.0.1:8080
//   carobshiftd gateway        # on the users' platform, see gateway_command.h
//
// Prints "listening HOST:PORT" on standard output when it is ready to serve;
// logs JSON lines on standard error. Exit codes: 0 after a planned stop
// (SIGTERM or SIGINT), 2 for invalid settings, 1 for any other failure to
// start.

#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "carobshift/cmd/gateway_command.h"
#include "carobshift/external/http_engine_client.h"
#include "carobshift/external/http_instance_list.h"
#include "carobshift/external/http_log_service.h"
#include "carobshift/external/http_plain_service_client.h"
#include "carobshift/external/http_store_client.h"
#include "carobshift/server/entry.h"
#include "carobshift/server/settings.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;
constexpr std::size_t kMinSecretBytes = 16;
// A pin precedes the first token of a returning conversation, so an
// unresponsive store may delay it by at most half of the 590 ms target.
constexpr Milliseconds kStoreTimeout{300};

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(in), {});
}

int Fail(int exit_code, const std::string& message) {
  std::cerr << "carobshiftd: " << message << std::endl;
  return exit_code;
}

// Adds one flag per setting, and one for the settings file.
cxxopts::Options DescribeFlags() {
  cxxopts::Options options("carobshiftd",
                           "Entry process of carobshift. Every setting of the "
                           "file is also a flag, and the flag wins.");
  auto add = options.add_options();
  add("settings", "YAML file of settings", cxxopts::value<std::string>());
  add("help", "print this help");
  for (const SettingRow& row : SettingRows()) {
    add(std::string(row.key),
        std::string(row.allowed) + (row.required ? " (required)" : ""),
        cxxopts::value<std::string>());
  }
  return options;
}

std::map<std::string, std::string> GivenFlags(
    const cxxopts::ParseResult& parsed) {
  std::map<std::string, std::string> flags;
  for (const SettingRow& row : SettingRows()) {
    const std::string key(row.key);
    if (parsed.count(key) > 0)
      flags[key] = parsed[key].as<std::string>();
  }
  return flags;
}

// Reads the secret and removes trailing line breaks.
std::optional<std::string> ReadSecret(const std::string& path) {
  auto secret = ReadFile(path);
  while (secret && !secret->empty() && secret->back() == '\n')
    secret->pop_back();
  return secret;
}

int Serve(const Settings& settings, const std::string& secret) {
  // Blocked before any thread starts, so that only sigwait() below receives
  // them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  HttpOptions options;
  options.request_timeout = settings.platform_timeout;
  HttpLogService log(settings.log, options);
  HttpInstanceList list(settings.instance_list, options);
  HttpEngineClient engines(options);
  HttpOptions store_options = options;
  store_options.request_timeout = kStoreTimeout;
  HttpStoreClient stores(store_options);
  HttpPlainServiceClient plain_services(options);
  HttpOptions order_options = options;
  order_options.request_timeout = settings.order_timeout;
  HttpEngineClient orders(order_options);
  Entry entry(settings, secret,
              {log, list, engines, stores, plain_services, orders});
  const auto address = entry.Start();
  if (!address.ok())
    return Fail(kExitFailed, address.error().message);
  // Written in one call, so that a log line of another thread can't split it
  // and hide it from a process that waits for it.
  std::cout << "listening " + address.value().ToString() + "\n" << std::flush;
  int signal = 0;
  sigwait(&signals, &signal);
  entry.DrainAndStop();
  return kExitOk;
}

int Run(int argc, char** argv) {
  cxxopts::Options options = DescribeFlags();
  std::map<std::string, std::string> flags;
  std::string yaml;
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << std::endl;
      return kExitOk;
    }
    flags = GivenFlags(parsed);
    if (parsed.count("settings") > 0) {
      const auto path = parsed["settings"].as<std::string>();
      const auto text = ReadFile(path);
      if (!text)
        return Fail(kExitBadSettings, "cannot read " + path);
      yaml = *text;
    }
  } catch (const cxxopts::exceptions::exception& e) {
    return Fail(kExitBadSettings, e.what());
  }
  const auto settings = LoadSettings(yaml, flags);
  if (!settings.ok())
    return Fail(kExitBadSettings, settings.error().message);
  const auto secret = ReadSecret(settings.value().secret_file);
  if (!secret || secret->size() < kMinSecretBytes) {
    return Fail(kExitBadSettings,
                "secret_file: expected a readable file of at least 16 bytes");
  }
  ConfigureEventLog(settings.value().log_level, settings.value().entry.value());
  return Serve(settings.value(), *secret);
}

}  // namespace
}  // namespace carobshift

int main(int argc, char** argv) {
  if (argc > 1 && std::string_view(argv[1]) == "gateway")
    return carobshift::RunGatewayCommand(argc - 1, argv + 1);
  return carobshift::Run(argc, argv);
}
