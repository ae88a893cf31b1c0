#include "carobshift/telemetry/event_log.h"

#include <easylogging++.h>

#include <array>
#include <atomic>
#include <string>

#include "carobshift/base/units.h"
#include "carobshift/telemetry/log_output.h"

INITIALIZE_EASYLOGGINGPP

namespace carobshift {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};

std::atomic<LogLevel> lowest_level = LogLevel::kInfo;
std::string process_name;

el::Logger* JsonLinesLogger() {
  static el::Logger* const kLogger = [] {
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    // cmake/easylogging.cc redirects the library's standard output to
    // LogOutput().
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configuration);
    return el::Loggers::getLogger("default");
  }();
  return kLogger;
}

}  // namespace

std::string_view LogLevelName(LogLevel level) {
  return kLevelNames[static_cast<std::size_t>(level)];
}

std::optional<LogLevel> LogLevelFromName(std::string_view name) {
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] == name)
      return static_cast<LogLevel>(i);
  }
  return std::nullopt;
}

void ConfigureEventLog(LogLevel lowest, std::string_view process) {
  lowest_level = lowest;
  process_name = process;
}

void LogEvent(LogLevel level, std::string_view event, nlohmann::json fields) {
  if (level < lowest_level)
    return;
  fields["time"] = WallNow().time_since_epoch().count();
  fields["level"] = LogLevelName(level);
  fields["process"] = process_name;
  fields["event"] = event;
  // A field may hold bytes that a peer sent. Invalid UTF-8 is replaced, since
  // the library would throw on it and invalid input must not end the process.
  const std::string line =
      fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  JsonLinesLogger()->info("%v", line);
}

}  // namespace carobshift
