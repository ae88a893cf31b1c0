#include "carobshift/server/once/claims_tasks.h"

#include "carobshift/once/claim_record.h"

namespace carobshift {
namespace {

constexpr std::size_t kMaxRecords = 500;
constexpr Milliseconds kReadWait{500};
constexpr Milliseconds kAppendWait{100};
constexpr Milliseconds kDelayAfterFailure{200};
// Maximum delay of a refusal after the request's deadline.
constexpr Milliseconds kTimerInterval{50};

}  // namespace

Milliseconds ClaimReader::RunOnce(MonotonicTime) {
  const auto batch = context_.platform.log.Read(
      LogStream(kClaimStream), table_.next_claim(), kMaxRecords, kReadWait);
  if (!batch.ok())
    return kDelayAfterFailure;
  table_.OnClaims(batch.value(), MonotonicNow(), WallNow());
  return Milliseconds(0);
}

Milliseconds ClaimAppender::RunOnce(MonotonicTime) {
  table_.SetLiveEntries(context_.membership.live_count());
  const auto payload = table_.AwaitAppend(kAppendWait);
  if (!payload)
    return Milliseconds(1);
  const auto reply =
      context_.platform.log.Append(LogStream(kClaimStream), *payload);
  table_.OnAppendReply(reply);
  return reply.ok() ? Milliseconds(0) : kDelayAfterFailure;
}

Milliseconds ClaimTimer::RunOnce(MonotonicTime now) {
  table_.ExpireWaiters(now);
  return kTimerInterval;
}

}  // namespace carobshift
