#include "fuzz/once_world.h"

#include <utility>

namespace carobshift {
namespace {

constexpr char kSecret[] = "secret";
constexpr Milliseconds kPrefixLife{4000};
constexpr Milliseconds kRetention{16'000};
constexpr WallTime kEpoch{Seconds(1'700'000'000)};

FinalAnswer AnswerOf(RunState state, ResultCode code) {
  FinalAnswer answer;
  answer.state = state;
  answer.code = code;
  return answer;
}

}  // namespace

OnceWorld::OnceWorld(std::uint64_t seed, OnceMutation mutation)
    : simulation_(seed), mutation_(mutation), log_(simulation_, kRetention) {
  entries_.resize(2 + random().Below(3));
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    Start(i);
    Tick(i);
  }
  NewKey();
  Fault();
}

OnceReport OnceWorld::Run() {
  simulation_.RunFor(Seconds(60));
  calm_ = true;
  log_.faults() = LogFaults{};
  for (Entry& entry : entries_)
    entry.paused = false;
  simulation_.RunFor(Seconds(7));
  CheckAbandoned();
  return report_;
}

EntryId OnceWorld::NameOf(std::size_t i) const {
  return EntryId("entry-" + std::to_string(i));
}

std::size_t OnceWorld::IndexOf(const EntryId& entry) const {
  std::size_t i = 0;
  while (NameOf(i) != entry)
    ++i;
  return i;
}

WallTime OnceWorld::WallOf(const Entry& entry) const {
  return kEpoch +
         std::chrono::duration_cast<Milliseconds>(
             simulation_.now().time_since_epoch()) +
         entry.wall_error;
}

void OnceWorld::NewKey() {
  simulation_.After(random().Between(Milliseconds(20), Milliseconds(400)),
                    [this] { NewKey(); });
  const std::size_t i = random().Below(entries_.size());
  if (calm_ || entries_[i].paused)
    return;
  const std::string name = "key-" + std::to_string(keys_.size());
  Key key;
  key.name = {AccountId("account"), IdempotencyKey(name)};
  key.created = WallOf(Entry{});
  if (random().Chance(0.5)) {
    const BoundKeyIssuer issuer(kSecret, NameOf(i),
                                Incarnation(entries_[i].life), kPrefixLife);
    const std::string prefix =
        issuer.Issue(key.name.account, simulation_.now()).prefix;
    key.bound = ParseBoundKey(kSecret, prefix + name).value();
  }
  keys_.push_back(key);
  const std::uint64_t copies = 1 + random().Below(4);
  for (std::uint64_t copy = 0; copy < copies; ++copy) {
    const Milliseconds limit = random().Chance(0.3) ? Seconds(40) : Seconds(3);
    simulation_.After(random().Between(Milliseconds(0), limit),
                      [this, at = keys_.size() - 1] { Send(at); });
  }
}

void OnceWorld::Send(std::size_t key) {
  if (calm_)
    return;
  Sending sending;
  sending.key = key;
  sending.fingerprint = RequestFingerprint(random().Chance(0.03) ? 2 : 1);
  sending.deadline =
      simulation_.now() + random().Between(Milliseconds(200), Seconds(4));
  sendings_.push_back(sending);
  const Milliseconds delay = random().Between(
      Milliseconds(1), random().Chance(0.1) ? Seconds(5) : Milliseconds(40));
  simulation_.After(delay, [this, id = sendings_.size() - 1] {
    Deliver(random().Below(entries_.size()), id);
  });
}

void OnceWorld::Deliver(std::size_t i, SendingId sending) {
  For(i, entries_[i].life, [this, i, sending] {
    const Key& key = keys_[sendings_[sending].key];
    if (!key.bound)
      ClaimFree(i, sending);
    else if (key.bound->entry == NameOf(i))
      AtHome(i, sending);
    else
      Forward(key.bound->entry, key.bound->incarnation.value(), sending);
  });
}

void OnceWorld::Forward(const EntryId& entry,
                        std::uint64_t life,
                        SendingId sending) {
  const std::size_t home = IndexOf(entry);
  const Milliseconds delay = random().Between(
      Milliseconds(1), random().Chance(0.1) ? Seconds(3) : Milliseconds(10));
  simulation_.After(delay, [this, home, life, sending] {
    For(home, entries_[home].life, [this, home, life, sending] {
      const Key& key = keys_[sendings_[sending].key];
      if (key.bound)
        AtHome(home, sending);
      else if (entries_[home].life != life)
        Tell(sending, RunState::kOutcomeUnknown, ResultCode::kHomeUnreachable);
      else
        ClaimFree(home, sending);
    });
  });
}

void OnceWorld::AtHome(std::size_t i, SendingId sending) {
  const Sending& copy = sendings_[sending];
  const Key& key = keys_[copy.key];
  OnDecision(
      i, sending,
      entries_[i].guard->Begin(*key.bound, key.name.account, copy.fingerprint,
                               copy.deadline, simulation_.now()));
}

void OnceWorld::ClaimFree(std::size_t i, SendingId sending) {
  Entry& entry = entries_[i];
  const Sending& copy = sendings_[sending];
  const Key& key = keys_[copy.key];
  OnClaimStep(i, sending,
              entry.claims->Begin({.key = key.name,
                                   .fingerprint = copy.fingerprint,
                                   .created = key.created,
                                   .deadline = copy.deadline},
                                  simulation_.now(), WallOf(entry)));
}

void OnceWorld::OnClaimStep(std::size_t i,
                            SendingId sending,
                            const ClaimStep& step) {
  Entry& entry = entries_[i];
  const Sending& copy = sendings_[sending];
  const Key& key = keys_[copy.key];
  if (const auto* await = std::get_if<AwaitClaim>(&step)) {
    entry.tickets[await->ticket] = sending;
  } else if (const auto* owner = std::get_if<AskOwner>(&step)) {
    Forward(owner->entry, owner->incarnation.value(), sending);
  } else if (const auto* refusal = std::get_if<Refusal>(&step)) {
    Tell(sending, refusal->state, refusal->code);
  } else {
    const MonotonicTime keep =
        simulation_.now() + entry.claims->KeepFor(key.created, WallOf(entry));
    OnDecision(i, sending,
               entry.free_table->Begin(key.name, copy.fingerprint,
                                       copy.deadline, keep, simulation_.now()));
  }
}

void OnceWorld::OnActions(std::size_t i,
                          const std::vector<ClaimAction>& actions) {
  for (const ClaimAction& action : actions) {
    auto node = entries_[i].tickets.extract(action.ticket);
    OnClaimStep(i, node.mapped(), action.step);
  }
}

void OnceWorld::OnDecision(std::size_t i,
                           SendingId sending,
                           const RunDecision& decision) {
  if (std::holds_alternative<RunNow>(decision)) {
    Prepare(i, sending);
  } else if (std::holds_alternative<Attach>(decision)) {
    entries_[i].attached[sendings_[sending].key].push_back(sending);
  } else if (const auto* replay = std::get_if<Replay>(&decision)) {
    ++report_.replays;
    Tell(sending, replay->answer.state, replay->answer.code);
  } else {
    const auto& refusal = std::get<Refusal>(decision);
    Tell(sending, refusal.state, refusal.code);
  }
}

// The request waits for admission; it may be refused, or its caller may go.
void OnceWorld::Prepare(std::size_t i, SendingId sending) {
  const auto job = std::make_shared<Job>(Job{sending, false});
  const std::uint64_t life = entries_[i].life;
  const Milliseconds wait = random().Between(
      Milliseconds(0), random().Chance(0.2) ? Seconds(2) : Milliseconds(20));
  simulation_.After(wait, [this, i, life, job] {
    For(i, life, [this, i, job] { Dispatch(i, job); });
  });
  if (random().Chance(0.2))
    simulation_.After(wait / 2 + random().Between(Milliseconds(0), wait),
                      [this, i, life, job] {
                        For(i, life, [this, i, job] { Cancel(i, job); });
                      });
}

void OnceWorld::Cancel(std::size_t i, const std::shared_ptr<Job>& job) {
  if (job->over)
    return;
  const Key& key = keys_[sendings_[job->sending].key];
  const bool released = key.bound ? entries_[i].guard->Release(*key.bound)
                                  : entries_[i].free_table->Release(key.name);
  if (!released)
    return;
  job->over = true;
  GiveBack(i, sendings_[job->sending].key);
  TellAll(i, job->sending,
          AnswerOf(RunState::kNotRun, ResultCode::kOverloaded));
}

void OnceWorld::GiveBack(std::size_t i, std::size_t key) {
  if (!keys_[key].bound)
    entries_[i].claims->Release(keys_[key].name);
}

void OnceWorld::Dispatch(std::size_t i, const std::shared_ptr<Job>& job) {
  if (job->over)
    return;
  Sending& copy = sendings_[job->sending];
  const Key& key = keys_[copy.key];
  const MonotonicTime now = simulation_.now();
  const auto late = key.bound
                        ? entries_[i].guard->StartDispatch(*key.bound, now)
                        : entries_[i].free_table->StartDispatch(key.name, now);
  if (late) {
    job->over = true;
    if (key.bound)
      (void)entries_[i].guard->Release(*key.bound);
    else
      (void)entries_[i].free_table->Release(key.name);
    GiveBack(i, copy.key);
    TellAll(i, job->sending, AnswerOf(late->state, late->code));
    return;
  }
  if (now >= copy.deadline)
    Violation("dispatched after the deadline");
  const FinalAnswer answer = RunAtEndpoint(copy);
  const std::uint64_t life = entries_[i].life;
  simulation_.After(random().Between(Milliseconds(1), Seconds(1)),
                    [this, i, life, job, answer] {
                      For(i, life,
                          [this, i, job, answer] { Finish(i, job, answer); });
                    });
}

FinalAnswer OnceWorld::RunAtEndpoint(Sending& copy) {
  if (random().Chance(0.1))
    return AnswerOf(RunState::kNotRun, ResultCode::kNoEndpoint);
  Key& key = keys_[copy.key];
  copy.dispatched = true;
  ++report_.runs;
  if (++key.runs > 1)
    Violation(key.name.key.value() + " ran twice");
  if (key.closed || copy.told_not_run)
    Violation(key.name.key.value() + " ran after it was said not to");
  if (random().Chance(0.1))
    return AnswerOf(RunState::kOutcomeUnknown, ResultCode::kEndpointTimeout);
  FinalAnswer answer = AnswerOf(RunState::kRan, ResultCode::kOk);
  answer.body = "receipt";
  return answer;
}

void OnceWorld::Finish(std::size_t i,
                       const std::shared_ptr<Job>& job,
                       const FinalAnswer& answer) {
  if (std::exchange(job->over, true))
    return;
  const std::size_t at = sendings_[job->sending].key;
  const Key& key = keys_[at];
  if (key.bound)
    entries_[i].guard->Finish(*key.bound, answer);
  else
    entries_[i].free_table->Finish(key.name, answer);
  if (answer.state == RunState::kNotRun)
    GiveBack(i, at);
  TellAll(i, job->sending, answer);
}

void OnceWorld::TellAll(std::size_t i,
                        SendingId sending,
                        const FinalAnswer& answer) {
  Tell(sending, answer.state, answer.code);
  auto node = entries_[i].attached.extract(sendings_[sending].key);
  if (node.empty())
    return;
  for (const SendingId other : node.mapped())
    Tell(other, answer.state, answer.code);
}

void OnceWorld::Tell(SendingId sending, RunState state, ResultCode code) {
  Sending& copy = sendings_[sending];
  Key& key = keys_[copy.key];
  if (state == RunState::kRan && key.runs == 0)
    Violation(key.name.key.value() + " is said to have run and has not");
  report_.unknown += state == RunState::kOutcomeUnknown ? 1 : 0;
  if (state != RunState::kNotRun)
    return;
  ++report_.not_run;
  copy.told_not_run = true;
  if (copy.dispatched)
    Violation("a copy that ran is said not to have");
  if (code == ResultCode::kKeyReusedForOtherRequest)
    return;
  if (key.runs > 0)
    Violation(key.name.key.value() + " ran and is said not to have");
  if (code == ResultCode::kIdempotencyKeyExpired)
    key.closed = true;
}

// A claim that its writer doesn't want to run must have been given back: when
// the writer dies, nobody could ever run the key.
void OnceWorld::CheckAbandoned() {
  for (const Key& key : keys_) {
    if (key.bound || key.runs > 0)
      continue;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      Entry& entry = entries_[i];
      const ClaimStep step =
          entry.claims->Begin({.key = key.name,
                               .fingerprint = RequestFingerprint(1),
                               .created = key.created,
                               .deadline = simulation_.now() + Seconds(1)},
                              simulation_.now(), WallOf(entry));
      const auto* owner = std::get_if<AskOwner>(&step);
      if (owner != nullptr &&
          entries_[IndexOf(owner->entry)].life == owner->incarnation.value())
        Violation(key.name.key.value() + " is claimed and not wanted");
    }
  }
}

void OnceWorld::Violation(const std::string& what) {
  report_.violations.push_back(what);
}

}  // namespace carobshift
