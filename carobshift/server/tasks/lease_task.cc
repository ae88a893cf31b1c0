#include "carobshift/server/tasks/lease_task.h"

#include <algorithm>
#include <chrono>
#include <variant>

#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr std::size_t kMaxRecords = 200;

}  // namespace

Milliseconds LeaseTask::RunOnce(MonotonicTime now) {
  const LeaseAction action = context_.lease.Next(now);
  const LogStream stream(kLeaseStream);
  if (const auto* read = std::get_if<ReadLog>(&action)) {
    const auto batch = context_.platform.log.Read(stream, read->from,
                                                  kMaxRecords, Milliseconds(0));
    context_.lease.OnRead(batch, MonotonicNow());
    LogChange();
    return Milliseconds(0);
  }
  if (const auto* append = std::get_if<AppendLog>(&action)) {
    const auto offset = context_.platform.log.Append(stream, append->payload);
    context_.lease.OnAppended(offset, MonotonicNow());
    return Milliseconds(0);
  }
  const auto delay = std::chrono::ceil<Milliseconds>(
      std::get<WaitUntil>(action).time - MonotonicNow());
  return std::max(delay, Milliseconds(1));
}

void LeaseTask::LogChange() {
  const auto holding = context_.lease.holding();
  if (!holding || known_number_ == holding->number)
    return;
  known_number_ = holding->number;
  LogEvent(
      LogLevel::kInfo, "lease_taken",
      {{"holder", holding->holder.value()},
       {"number", holding->number.value()},
       {"reason", "first claim in the log after the previous lease expired"}});
}

}  // namespace carobshift
