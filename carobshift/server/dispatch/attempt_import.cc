#include "carobshift/server/dispatch/attempt_import.h"

#include <algorithm>
#include <chrono>

namespace carobshift {
namespace {

// The expected time to the first token without the transfer.
Milliseconds EngineTime(const RoutingChoice& choice,
                        const StoredImport& stored) {
  const auto other = choice.expected_first_token - stored.transfer;
  return std::max(Milliseconds(0),
                  std::chrono::duration_cast<Milliseconds>(other));
}

ImportOutcome OutcomeOf(const std::optional<GenerateStart>& start,
                        const BlockHandle& handle) {
  if (!start)
    return ImportOutcome::kInterrupted;
  if (start->imported_tokens > 0)
    return ImportOutcome::kImported;
  // An engine recomputes the last token of a prompt even if its block is
  // cached.
  const bool had_blocks = start->cached_tokens + kBlockTokens > handle.tokens;
  return had_blocks ? ImportOutcome::kNotTried : ImportOutcome::kRejected;
}

}  // namespace

void AttemptImport::Begin(const PromptCache& cached, const Attempt& attempt) {
  grant_.reset();
  if (!attempt.choice.import || !cached.stored ||
      attempt.endpoint.status->version != cached.version) {
    return;
  }
  service_ = attempt.endpoint.status->role;
  grant_ =
      context_.cache.BeginImport(context_.platform.stores, cached,
                                 EngineTime(attempt.choice, *cached.stored));
}

void AttemptImport::AddTo(GenerateRequest& request) const {
  if (!grant_)
    return;
  request.import = grant_->handle;
  request.import_from = context_.cache.StoreAddress(grant_->handle.store);
  // The attempt times out before the pin ends, so that the engine never reads
  // an object that the store may have freed.
  const auto left = std::chrono::duration_cast<Milliseconds>(grant_->use_until -
                                                             MonotonicNow());
  request.progress_timeout =
      std::clamp(left, Milliseconds(1), request.progress_timeout);
}

void AttemptImport::End(const std::optional<GenerateStart>& start) {
  if (!grant_)
    return;
  const ImportOutcome outcome = OutcomeOf(start, grant_->handle);
  context_.cache.EndImport(*grant_, outcome, MonotonicNow());
  if (outcome == ImportOutcome::kImported) {
    context_.metrics.Add("carobshift_service_link_bytes_total",
                         {{"service", service_.value()},
                          {"store", grant_->handle.store.value()},
                          {"direction", "import"}},
                         static_cast<double>(grant_->handle.bytes));
  }
  grant_.reset();
}

}  // namespace carobshift
