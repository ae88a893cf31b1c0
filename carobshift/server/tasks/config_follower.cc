#include "carobshift/server/tasks/config_follower.h"

#include <utility>

#include "carobshift/config/declaration_parser.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr std::size_t kMaxRecords = 100;
constexpr Milliseconds kReadWait{500};
constexpr Milliseconds kDelayAfterFailure{200};

}  // namespace

Milliseconds ConfigFollower::RunOnce(MonotonicTime) {
  auto batch = context_.platform.log.Read(LogStream("config"), next_,
                                          kMaxRecords, kReadWait);
  if (!batch.ok())
    return kDelayAfterFailure;
  for (const LogRecord& record : batch.value().records)
    Take(record);
  next_ = batch.value().next;
  return Milliseconds(0);
}

void ConfigFollower::Take(const LogRecord& record) {
  DeclarationResult parsed = ParseDeclaration(record.payload);
  if (!parsed.declaration) {
    LogEvent(
        LogLevel::kWarning, "config_refused",
        {{"offset", record.offset.value()}, {"reason", parsed.ProblemText()}});
    return;
  }
  const ConfigVersion version(record.offset.value());
  context_.config.Activate(version, EditId(""), record.payload,
                           std::move(*parsed.declaration));
  LogEvent(LogLevel::kInfo, "config_in_force", {{"version", version.value()}});
}

}  // namespace carobshift
