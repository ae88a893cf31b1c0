#include "benchmarks/sim/caller.h"

#include "carobshift/base/digest.h"

namespace carobshift {

namespace {

constexpr int kMaxSends = 3;
constexpr int kMaxRefusalRetries = 3;
constexpr Milliseconds kOneWayDelay{2};
// A request that crashes engines is resent for as long as the run lasts.
constexpr int kMaxPoisonRetries = 20;

}  // namespace

Callers::Callers(World& world, const std::vector<LogicalRequest>& requests)
    : world_(world), requests_(requests), outcomes_(requests.size()) {}

void Callers::Begin() {
  for (std::size_t i = 0; i < requests_.size(); ++i)
    world_.loop.At(requests_[i].arrival, [this, i] { Send(i); });
}

void Callers::Send(std::size_t index) {
  RequestOutcome& outcome = outcomes_[index];
  const int send = ++outcome.sends;
  Submission submission;
  submission.id = IdOf(index, send);
  submission.logical_request = &requests_[index];
  submission.deadline = world_.loop.now() + requests_[index].deadline();
  submission.on_first_token = [this, index] {
    RequestOutcome& pending = outcomes_[index];
    if (pending.first_token_seconds >= 0)
      return;
    const auto taken =
        world_.loop.now() + kOneWayDelay - requests_[index].arrival;
    pending.first_token_seconds = std::chrono::duration<double>(taken).count();
  };
  submission.on_end = [this, index](ResultCode code, Milliseconds after) {
    OnEnd(index, code, after);
  };
  world_.loop.After(kOneWayDelay, [this, index, submission] {
    EntryOf(index).Submit(submission);
  });
  world_.loop.After(requests_[index].first_token_timeout(),
                    [this, index, send] { OnFirstTokenTimeout(index, send); });
}

// No first token arrived in time: the caller closes the connection and sends
// the request again.
void Callers::OnFirstTokenTimeout(std::size_t index, int send) {
  RequestOutcome& outcome = outcomes_[index];
  if (outcome.done || outcome.sends != send || outcome.first_token_seconds >= 0)
    return;
  EntryOf(index).Cancel(IdOf(index, send));
  if (outcome.sends - outcome.refusal_retries < kMaxSends)
    Send(index);
  else
    outcome.done = true;
}

void Callers::OnEnd(std::size_t index,
                    ResultCode code,
                    Milliseconds retry_after) {
  RequestOutcome& outcome = outcomes_[index];
  if (code == ResultCode::kOk || outcome.first_token_seconds >= 0) {
    outcome.done = true;
    return;
  }
  const int max_retries =
      requests_[index].poison ? kMaxPoisonRetries : kMaxRefusalRetries;
  if (outcome.refusal_retries == max_retries) {
    outcome.done = true;
    return;
  }
  ++outcome.refusal_retries;
  // `sends` identifies this send, so that the resend doesn't happen if another
  // send replaced it.
  const int send = outcome.sends;
  world_.loop.After(retry_after + kOneWayDelay, [this, index, send] {
    if (!outcomes_[index].done && outcomes_[index].sends == send)
      Send(index);
  });
}

std::string Callers::IdOf(std::size_t index, int send) const {
  return std::to_string(requests_[index].id) + "." + std::to_string(send);
}

SimulatedEntry& Callers::EntryOf(std::size_t index) const {
  const LogicalRequest& request = requests_[index];
  const std::uint64_t hash = FastHash(std::to_string(request.account) + "/" +
                                      std::to_string(request.prefix));
  return *world_.entries[hash % world_.entries.size()];
}

}  // namespace carobshift
