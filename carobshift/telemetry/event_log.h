// Logs as JSON lines to LogOutput(): one object per line with time, level,
// event name and fields. No prompt text, key or secret goes into a field.
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

// Sets the lowest level that is written; until then it is kInfo. Call once,
// before other threads log. `process` goes into each line.
void ConfigureEventLog(LogLevel lowest, std::string_view process);

// Writes one line if `level` is high enough. `fields` must be an object; its
// keys must not be "time", "level", "process" or "event".
void LogEvent(LogLevel level, std::string_view event, nlohmann::json fields);

}  // namespace carobshift

#endif  // CAROBSHIFT_TELEMETRY_EVENT_LOG_H_
