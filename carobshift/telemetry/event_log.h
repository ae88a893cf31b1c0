// LogEvent writes structured log lines to LogOutput(): one JSON object per line
// with time, level, event name and fields. Fields must not contain prompt text,
// keys or secrets.
//
//   LogEvent(LogLevel::kInfo, "endpoint_lost",
//            {{"endpoint", id.value()}, {"reason", "no progress"}});
//
// Thread-safe.

#ifndef CAROBSHIFT_TELEMETRY_EVENT_LOG_H_
#define CAROBSHIFT_TELEMETRY_EVENT_LOG_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace carobshift {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

[[nodiscard]] std::string_view LogLevelName(LogLevel level);
[[nodiscard]] std::optional<LogLevel> LogLevelFromName(std::string_view name);

// Sets the lowest level that is written; the default is kInfo. `process` is
// written into each line. Call once, before other threads log.
void ConfigureEventLog(LogLevel lowest, std::string_view process);

// Writes one line if `level` is at least the lowest level. `fields` must be an
// object; its keys must not be "time", "level", "process" or "event".
void LogEvent(LogLevel level, std::string_view event, nlohmann::json fields);

}  // namespace carobshift

#endif  // CAROBSHIFT_TELEMETRY_EVENT_LOG_H_
