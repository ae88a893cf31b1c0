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

OnceWorld::OnceWorld(std::uint64_t seed, AtMostOnceMutation mutation)
    : simulation_(seed), mutation_(mutation), log_(simulation_, kRetention) {
  entries_.resize(2 + random().Below(3));
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    StartEntry(i);
    Tick(i);
  }
  NewKey();
  InjectFault();
}

OnceReport OnceWorld::Run() {
  simulation_.RunFor(Seconds(60));
  faults_off_ = true;
  log_.faults() = LogFaults{};
  for (Entry& entry : entries_)
    entry.paused = false;
  simulation_.RunFor(Seconds(7));
  CheckAbandoned();
  return report_;
}

EntryId OnceWorld::EntryIdOf(std::size_t i) const {
  return EntryId("entry-" + std::to_string(i));
}

std::size_t OnceWorld::IndexOf(const EntryId& entry) const {
  std::size_t i = 0;
  while (EntryIdOf(i) != entry)
    ++i;
  return i;
}

WallTime OnceWorld::WallTimeOf(const Entry& entry) const {
  return kEpoch +
         std::chrono::duration_cast<Milliseconds>(
             simulation_.now().time_since_epoch()) +
         entry.clock_error;
}

void OnceWorld::NewKey() {
  simulation_.After(random().Between(Milliseconds(20), Milliseconds(400)),
                    [this] { NewKey(); });
  const std::size_t i = random().Below(entries_.size());
  if (faults_off_ || entries_[i].paused)
    return;
  const std::string name = "key-" + std::to_string(keys_.size());
  Key key;
  key.name = {AccountId("account"), IdempotencyKey(name)};
  key.created = WallTimeOf(Entry{});
  if (random().Chance(0.5)) {
    const BoundKeyIssuer issuer(kSecret, EntryIdOf(i),
                                Incarnation(entries_[i].generation),
                                kPrefixLife);
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
  if (faults_off_)
    return;
  RequestCopy copy;
  copy.key = key;
  copy.fingerprint = RequestFingerprint(random().Chance(0.03) ? 2 : 1);
  copy.deadline =
      simulation_.now() + random().Between(Milliseconds(200), Seconds(4));
  copies_.push_back(copy);
  const Milliseconds delay = random().Between(
      Milliseconds(1), random().Chance(0.1) ? Seconds(5) : Milliseconds(40));
  simulation_.After(delay, [this, id = copies_.size() - 1] {
    Deliver(random().Below(entries_.size()), id);
  });
}

void OnceWorld::Deliver(std::size_t i, CopyId copy_id) {
  RunOnEntry(i, entries_[i].generation, [this, i, copy_id] {
    const Key& key = keys_[copies_[copy_id].key];
    if (!key.bound)
      ClaimFree(i, copy_id);
    else if (key.bound->entry == EntryIdOf(i))
      BeginAtOwner(i, copy_id);
    else
      Forward(key.bound->entry, key.bound->incarnation.value(), copy_id);
  });
}

void OnceWorld::Forward(const EntryId& entry,
                        std::uint64_t generation,
                        CopyId copy_id) {
  const std::size_t home = IndexOf(entry);
  const Milliseconds delay = random().Between(
      Milliseconds(1), random().Chance(0.1) ? Seconds(3) : Milliseconds(10));
  simulation_.After(delay, [this, home, generation, copy_id] {
    RunOnEntry(home, entries_[home].generation,
               [this, home, generation, copy_id] {
                 const Key& key = keys_[copies_[copy_id].key];
                 if (key.bound)
                   BeginAtOwner(home, copy_id);
                 else if (entries_[home].generation != generation)
                   ReportToCaller(copy_id, RunState::kOutcomeUnknown,
                                  ResultCode::kHomeUnreachable);
                 else
                   ClaimFree(home, copy_id);
               });
  });
}

void OnceWorld::BeginAtOwner(std::size_t i, CopyId copy_id) {
  const RequestCopy& copy = copies_[copy_id];
  const Key& key = keys_[copy.key];
  OnDecision(
      i, copy_id,
      entries_[i].guard->Begin(*key.bound, key.name.account, copy.fingerprint,
                               copy.deadline, simulation_.now()));
}

void OnceWorld::ClaimFree(std::size_t i, CopyId copy_id) {
  Entry& entry = entries_[i];
  const RequestCopy& copy = copies_[copy_id];
  const Key& key = keys_[copy.key];
  OnClaimStep(i, copy_id,
              entry.claims->Begin({.key = key.name,
                                   .fingerprint = copy.fingerprint,
                                   .created = key.created,
                                   .deadline = copy.deadline},
                                  simulation_.now(), WallTimeOf(entry)));
}

void OnceWorld::OnClaimStep(std::size_t i,
                            CopyId copy_id,
                            const ClaimStep& step) {
  Entry& entry = entries_[i];
  const RequestCopy& copy = copies_[copy_id];
  const Key& key = keys_[copy.key];
  if (const auto* await = std::get_if<AwaitClaim>(&step)) {
    entry.tickets[await->ticket] = copy_id;
  } else if (const auto* owner = std::get_if<AskOwner>(&step)) {
    Forward(owner->entry, owner->incarnation.value(), copy_id);
  } else if (const auto* refusal = std::get_if<Refusal>(&step)) {
    ReportToCaller(copy_id, refusal->state, refusal->code);
  } else {
    const MonotonicTime keep =
        simulation_.now() +
        entry.claims->RunRetention(key.created, WallTimeOf(entry));
    OnDecision(i, copy_id,
               entry.free_table->Begin(key.name, copy.fingerprint,
                                       copy.deadline, keep, simulation_.now()));
  }
}

void OnceWorld::OnActions(std::size_t i,
                          const std::vector<ClaimCompletion>& actions) {
  for (const ClaimCompletion& action : actions) {
    auto node = entries_[i].tickets.extract(action.ticket);
    OnClaimStep(i, node.mapped(), action.step);
  }
}

void OnceWorld::OnDecision(std::size_t i,
                           CopyId copy_id,
                           const RunDecision& decision) {
  if (std::holds_alternative<RunNow>(decision)) {
    Prepare(i, copy_id);
  } else if (std::holds_alternative<Attach>(decision)) {
    entries_[i].attached[copies_[copy_id].key].push_back(copy_id);
  } else if (const auto* replay = std::get_if<Replay>(&decision)) {
    ++report_.replays;
    ReportToCaller(copy_id, replay->answer.state, replay->answer.code);
  } else {
    const auto& refusal = std::get<Refusal>(decision);
    ReportToCaller(copy_id, refusal.state, refusal.code);
  }
}

// Queues the request for admission. It may be refused or its caller may
// disconnect.
void OnceWorld::Prepare(std::size_t i, CopyId copy_id) {
  const auto job = std::make_shared<Job>(Job{copy_id, false});
  const std::uint64_t generation = entries_[i].generation;
  const Milliseconds wait = random().Between(
      Milliseconds(0), random().Chance(0.2) ? Seconds(2) : Milliseconds(20));
  simulation_.After(wait, [this, i, generation, job] {
    RunOnEntry(i, generation, [this, i, job] { Dispatch(i, job); });
  });
  if (random().Chance(0.2))
    simulation_.After(wait / 2 + random().Between(Milliseconds(0), wait),
                      [this, i, generation, job] {
                        RunOnEntry(i, generation,
                                   [this, i, job] { Cancel(i, job); });
                      });
}

void OnceWorld::Cancel(std::size_t i, const std::shared_ptr<Job>& job) {
  if (job->ended)
    return;
  const Key& key = keys_[copies_[job->copy_id].key];
  const bool released = key.bound ? entries_[i].guard->Release(*key.bound)
                                  : entries_[i].free_table->Release(key.name);
  if (!released)
    return;
  job->ended = true;
  ReleaseClaim(i, copies_[job->copy_id].key);
  ReportToAttached(i, job->copy_id,
                   AnswerOf(RunState::kNotRun, ResultCode::kOverloaded));
}

void OnceWorld::ReleaseClaim(std::size_t i, std::size_t key) {
  if (!keys_[key].bound)
    entries_[i].claims->Release(keys_[key].name);
}

void OnceWorld::Dispatch(std::size_t i, const std::shared_ptr<Job>& job) {
  if (job->ended)
    return;
  RequestCopy& copy = copies_[job->copy_id];
  const Key& key = keys_[copy.key];
  const MonotonicTime now = simulation_.now();
  const auto late = key.bound
                        ? entries_[i].guard->StartDispatch(*key.bound, now)
                        : entries_[i].free_table->StartDispatch(key.name, now);
  if (late) {
    job->ended = true;
    if (key.bound)
      (void)entries_[i].guard->Release(*key.bound);
    else
      (void)entries_[i].free_table->Release(key.name);
    ReleaseClaim(i, copy.key);
    ReportToAttached(i, job->copy_id, AnswerOf(late->state, late->code));
    return;
  }
  if (now >= copy.deadline)
    AddViolation("dispatched after the deadline");
  const FinalAnswer answer = RunAtEndpoint(copy);
  const std::uint64_t generation = entries_[i].generation;
  simulation_.After(random().Between(Milliseconds(1), Seconds(1)),
                    [this, i, generation, job, answer] {
                      RunOnEntry(i, generation, [this, i, job, answer] {
                        Finish(i, job, answer);
                      });
                    });
}

FinalAnswer OnceWorld::RunAtEndpoint(RequestCopy& copy) {
  if (random().Chance(0.1))
    return AnswerOf(RunState::kNotRun, ResultCode::kNoEndpoint);
  Key& key = keys_[copy.key];
  copy.dispatched = true;
  ++report_.runs;
  if (++key.runs > 1)
    AddViolation(key.name.key.value() + " ran twice");
  if (key.closed || copy.reported_not_run)
    AddViolation(key.name.key.value() +
                 " ran after its caller was told that it won't");
  if (random().Chance(0.1))
    return AnswerOf(RunState::kOutcomeUnknown, ResultCode::kEndpointTimeout);
  FinalAnswer answer = AnswerOf(RunState::kRan, ResultCode::kOk);
  answer.body = "receipt";
  return answer;
}

void OnceWorld::Finish(std::size_t i,
                       const std::shared_ptr<Job>& job,
                       const FinalAnswer& answer) {
  if (std::exchange(job->ended, true))
    return;
  const std::size_t at = copies_[job->copy_id].key;
  const Key& key = keys_[at];
  if (key.bound)
    entries_[i].guard->Finish(*key.bound, answer);
  else
    entries_[i].free_table->Finish(key.name, answer);
  if (answer.state == RunState::kNotRun)
    ReleaseClaim(i, at);
  ReportToAttached(i, job->copy_id, answer);
}

void OnceWorld::ReportToAttached(std::size_t i,
                                 CopyId copy_id,
                                 const FinalAnswer& answer) {
  ReportToCaller(copy_id, answer.state, answer.code);
  auto node = entries_[i].attached.extract(copies_[copy_id].key);
  if (node.empty())
    return;
  for (const CopyId other : node.mapped())
    ReportToCaller(other, answer.state, answer.code);
}

void OnceWorld::ReportToCaller(CopyId copy_id,
                               RunState state,
                               ResultCode code) {
  RequestCopy& copy = copies_[copy_id];
  Key& key = keys_[copy.key];
  if (state == RunState::kRan && key.runs == 0)
    AddViolation(key.name.key.value() + " is reported as run and has not");
  report_.unknown += state == RunState::kOutcomeUnknown ? 1 : 0;
  if (state != RunState::kNotRun)
    return;
  ++report_.not_run;
  copy.reported_not_run = true;
  if (copy.dispatched)
    AddViolation("a copy that ran is reported as not run");
  if (code == ResultCode::kKeyReusedForOtherRequest)
    return;
  if (key.runs > 0)
    AddViolation(key.name.key.value() + " ran and is reported as not run");
  if (code == ResultCode::kIdempotencyKeyExpired)
    key.closed = true;
}

// A claim whose writer won't run the key must be released: otherwise the key
// could never run once the writer has crashed.
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
                              simulation_.now(), WallTimeOf(entry));
      const auto* owner = std::get_if<AskOwner>(&step);
      if (owner != nullptr && entries_[IndexOf(owner->entry)].generation ==
                                  owner->incarnation.value())
        AddViolation(key.name.key.value() + " is claimed but abandoned");
    }
  }
}

void OnceWorld::AddViolation(const std::string& what) {
  report_.violations.push_back(what);
}

}  // namespace carobshift
