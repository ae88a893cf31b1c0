#include "carobshift/server/tasks/config_follower.h"

#include <cstdint>
#include <variant>
#include <vector>

#include "carobshift/base/digest.h"
#include "carobshift/config/config_record.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr std::size_t kMaxRecords = 100;
constexpr Milliseconds kReadWait{500};
constexpr Milliseconds kDelayAfterFailure{200};
constexpr Milliseconds kPeerTimeout{2000};
constexpr std::uint64_t kDrawSteps = 1000;

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

Milliseconds ConfigFollower::RunOnce(MonotonicTime now) {
  const auto batch = context_.platform.log.Read(
      LogStream(kConfigStream), fold_.next(), kMaxRecords, kReadWait);
  if (batch.ok()) {
    for (const EditDecision& decision : fold_.OnBatch(batch.value()))
      LogDecision(decision);
    WriteCheckpoint(batch.value().first_retained, now);
  }
  // Otherwise an entry that starts during an outage of the log would have no
  // configuration until the log is back.
  if (!batch.ok() || fold_.has_gap())
    AskPeer();
  ActivateAccepted();
  return batch.ok() ? Milliseconds(0) : kDelayAfterFailure;
}

void ConfigFollower::AskPeer() {
  const std::vector<EntryId> others = peers_.Others();
  if (others.empty())
    return;
  const auto peer = peers_.Find(others[RandomUint64() % others.size()], {});
  if (!peer)
    return;
  const auto reply = client_.Call(peer->address, FetchConfig{}, kPeerTimeout);
  if (!reply.ok())
    return;
  const auto* config = std::get_if<ConfigReply>(&reply.value());
  if (config == nullptr)
    return;
  const auto record = DecodeConfigRecord(config->checkpoint);
  if (!record.ok())
    return;
  const auto* checkpoint = std::get_if<CheckpointRecord>(&record.value());
  if (checkpoint == nullptr || !fold_.OnPeerState(checkpoint->state))
    return;
  LogEvent(LogLevel::kInfo, "config_from_peer",
           {{"peer", peer->entry.value()},
            {"next", checkpoint->state.next.value()}});
}

void ConfigFollower::ActivateAccepted() {
  if (const auto accepted = fold_.in_force()) {
    context_.config.Activate(accepted->version, accepted->edit, accepted->text,
                             accepted->declaration);
  }
}

// If the append fails or its reply is lost, the planner requests a checkpoint
// again later. A duplicate checkpoint is harmless.
void ConfigFollower::WriteCheckpoint(LogOffset first_retained,
                                     MonotonicTime now) {
  const double draw =
      static_cast<double>(RandomUint64() % kDrawSteps) / kDrawSteps;
  const auto record = fold_.Plan(first_retained, now, draw);
  if (!record)
    return;
  const auto payload = EncodeConfigRecord(*record);
  if (!payload.ok())
    return;
  const auto offset =
      context_.platform.log.Append(LogStream(kConfigStream), payload.value());
  LogEvent(LogLevel::kInfo, "config_checkpoint",
           {{"reset", std::holds_alternative<ResetRecord>(*record)},
            {"appended", offset.ok()}});
}

}  // namespace carobshift
