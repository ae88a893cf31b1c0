#include "carobshift/server/tasks/config_follower.h"

#include <utility>

#include "carobshift/config/config_record.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr std::size_t kMaxRecords = 100;
constexpr Milliseconds kReadWait{500};
constexpr Milliseconds kDelayAfterFailure{200};

void LogDecision(const EditDecision& decision) {
  const bool accepted = decision.outcome == EditOutcome::kAccepted;
  LogEvent(accepted ? LogLevel::kInfo : LogLevel::kWarning, "config_decision",
           {{"offset", decision.offset.value()},
            {"edit", decision.edit.value()},
            {"outcome", EditOutcomeName(decision.outcome)},
            {"winner", decision.winner ? decision.winner->value() : ""},
            {"reason", decision.reason}});
}

}  // namespace

Milliseconds ConfigFollower::RunOnce(MonotonicTime) {
  const auto batch = context_.platform.log.Read(
      LogStream(kConfigStream), fold_.next(), kMaxRecords, kReadWait);
  if (!batch.ok())
    return kDelayAfterFailure;
  for (const EditDecision& decision : fold_.OnBatch(batch.value()))
    LogDecision(decision);
  if (const auto accepted = fold_.in_force()) {
    context_.config.Activate(accepted->version, accepted->edit, accepted->text,
                             accepted->declaration);
  }
  return Milliseconds(0);
}

}  // namespace carobshift
