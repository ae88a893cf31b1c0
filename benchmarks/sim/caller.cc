#include "benchmarks/sim/caller.h"

#include "carobshift/base/digest.h"

namespace carobshift {

namespace {

constexpr int kMaxSends = 3;
constexpr int kMaxReturns = 3;
constexpr Milliseconds kOneWay{2};
// A poisonous request is sent again for as long as the run lasts.
constexpr int kPoisonSends = 20;

}  // namespace

Callers::Callers(World& world, const std::vector<Need>& needs)
    : world_(world), needs_(needs), received_(needs.size()) {}

void Callers::Begin() {
  for (std::size_t i = 0; i < needs_.size(); ++i)
    world_.loop.At(needs_[i].arrival, [this, i] { Send(i); });
}

void Callers::Send(std::size_t index) {
  Received& received = received_[index];
  const int send = ++received.sends;
  Submission submission;
  submission.id = IdOf(index, send);
  submission.need = &needs_[index];
  submission.deadline = world_.loop.now() + needs_[index].deadline();
  submission.on_first_token = [this, index] {
    Received& got = received_[index];
    if (got.first_token_seconds >= 0)
      return;
    const auto taken = world_.loop.now() + kOneWay - needs_[index].arrival;
    got.first_token_seconds = std::chrono::duration<double>(taken).count();
  };
  submission.on_end = [this, index](ResultCode code, Milliseconds after) {
    OnEnd(index, code, after);
  };
  world_.loop.After(kOneWay, [this, index, submission] {
    EntryOf(index).Submit(submission);
  });
  world_.loop.After(needs_[index].patience(),
                    [this, index, send] { OnSilence(index, send); });
}

// Nothing came: the caller closes the connection and asks again.
void Callers::OnSilence(std::size_t index, int send) {
  Received& received = received_[index];
  if (received.done || received.sends != send ||
      received.first_token_seconds >= 0)
    return;
  EntryOf(index).Cancel(IdOf(index, send));
  if (received.sends - received.returns < kMaxSends)
    Send(index);
  else
    received.done = true;
}

void Callers::OnEnd(std::size_t index,
                    ResultCode code,
                    Milliseconds retry_after) {
  Received& received = received_[index];
  if (code == ResultCode::kOk || received.first_token_seconds >= 0) {
    received.done = true;
    return;
  }
  const int returns = needs_[index].poison ? kPoisonSends : kMaxReturns;
  if (received.returns == returns) {
    received.done = true;
    return;
  }
  ++received.returns;
  // Marks the silence timer of this send as settled.
  const int send = received.sends;
  world_.loop.After(retry_after + kOneWay, [this, index, send] {
    if (!received_[index].done && received_[index].sends == send)
      Send(index);
  });
}

std::string Callers::IdOf(std::size_t index, int send) const {
  return std::to_string(needs_[index].id) + "." + std::to_string(send);
}

SimulatedEntry& Callers::EntryOf(std::size_t index) const {
  const Need& need = needs_[index];
  const std::uint64_t hash = FastHash(std::to_string(need.account) + "/" +
                                      std::to_string(need.prefix));
  return *world_.entries[hash % world_.entries.size()];
}

}  // namespace carobshift
