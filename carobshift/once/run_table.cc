#include "carobshift/once/run_table.h"

#include <utility>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

// How long an expired key whose run has not ended is kept before the next
// check.
constexpr Milliseconds kRecheckInterval{1000};

Bytes BodyBytes(const FinalAnswer& answer) {
  return static_cast<Bytes>(answer.body.size());
}

}  // namespace

RequestFingerprint MakeFingerprint(const ServiceName& service,
                                   std::string_view body) {
  return RequestFingerprint(FastHash(body, FastHash(service.value())));
}

std::size_t AccountKeyHash::operator()(const AccountKey& key) const noexcept {
  return FastHash(key.key.value(), FastHash(key.account.value()));
}

RunTable::RunTable(RunTableLimits limits, AtMostOnceMutation mutation)
    : limits_(limits), mutation_(mutation) {}

RunDecision RunTable::Begin(const AccountKey& key,
                            RequestFingerprint fingerprint,
                            MonotonicTime deadline,
                            MonotonicTime keep_until,
                            MonotonicTime now) {
  Sweep(now);
  const auto known = runs_.find(key);
  if (known != runs_.end() && mutation_ != AtMostOnceMutation::kNoTable)
    return DecideRepeat(known->second, fingerprint);
  if (runs_.size() >= limits_.max_keys)
    return Refusal{ResultCode::kOverloaded, RunState::kNotRun,
                   "too many idempotency keys are in use"};
  if (known != runs_.end())
    Erase(known);
  runs_[key] = Run{.stage = Stage::kTaken,
                   .fingerprint = fingerprint,
                   .deadline = deadline,
                   .answer = {},
                   .end = by_expiry_.emplace(keep_until, key),
                   .body = {}};
  return RunNow{};
}

RunDecision RunTable::DecideRepeat(const Run& run,
                                   RequestFingerprint fingerprint) const {
  // The first request under this key may have run; this different one has not.
  if (run.fingerprint != fingerprint)
    return Refusal{ResultCode::kKeyReusedForOtherRequest, RunState::kNotRun,
                   "this idempotency key belongs to another request"};
  if (run.stage == Stage::kFinished)
    return Replay{run.answer};
  return Attach{};
}

std::optional<Refusal> RunTable::StartDispatch(const AccountKey& key,
                                               MonotonicTime now) {
  const auto it = runs_.find(key);
  if (it == runs_.end())
    return Refusal{ResultCode::kInternal, RunState::kNotRun,
                   "the idempotency key was not taken"};
  if (now >= it->second.deadline &&
      mutation_ != AtMostOnceMutation::kNoDeadlineCheck) {
    return Refusal{ResultCode::kDeadlineExceeded, RunState::kNotRun,
                   "the deadline passed before the request was dispatched"};
  }
  it->second.stage = Stage::kDispatched;
  return std::nullopt;
}

bool RunTable::Release(const AccountKey& key) {
  const auto it = runs_.find(key);
  if (it == runs_.end())
    return false;
  if (it->second.stage != Stage::kTaken &&
      mutation_ != AtMostOnceMutation::kReleaseAfterDispatch)
    return false;
  Erase(it);
  return true;
}

void RunTable::Finish(const AccountKey& key, FinalAnswer answer) {
  const auto it = runs_.find(key);
  if (it == runs_.end() || it->second.stage == Stage::kFinished)
    return;
  if (answer.state == RunState::kNotRun) {
    Erase(it);
    return;
  }
  Run& run = it->second;
  run.stage = Stage::kFinished;
  run.answer = std::move(answer);
  if (run.answer.body.empty())
    return;
  answer_bytes_ += BodyBytes(run.answer);
  run.body = with_body_.insert(with_body_.end(), key);
  EvictAnswers();
}

void RunTable::EvictAnswers() {
  while (answer_bytes_ > limits_.max_answer_bytes)
    DropBody(runs_.at(with_body_.front()));
}

// The key still records that it ran, with a code that says why the answer is
// missing.
void RunTable::DropBody(Run& run) {
  if (!run.body)
    return;
  answer_bytes_ -= BodyBytes(run.answer);
  with_body_.erase(*run.body);
  run.body.reset();
  const RunState state = run.answer.state;
  run.answer = FinalAnswer();
  run.answer.state = state;
  run.answer.code = ResultCode::kUnknownOutcome;
  run.answer.http_status = HttpStatusOf(run.answer.code);
}

void RunTable::Erase(Runs::iterator it) {
  DropBody(it->second);
  by_expiry_.erase(it->second.end);
  runs_.erase(it);
}

std::optional<RunTable::Known> RunTable::Find(const AccountKey& key) const {
  const auto it = runs_.find(key);
  if (it == runs_.end())
    return std::nullopt;
  Known known;
  if (it->second.stage == Stage::kFinished)
    known.answer = it->second.answer;
  return known;
}

void RunTable::Sweep(MonotonicTime now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    const auto it = runs_.find(by_expiry_.begin()->second);
    if (it->second.stage == Stage::kFinished) {
      Erase(it);
      continue;
    }
    by_expiry_.erase(by_expiry_.begin());
    it->second.end = by_expiry_.emplace(now + kRecheckInterval, it->first);
  }
}

}  // namespace carobshift
