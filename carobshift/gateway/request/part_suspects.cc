#include "carobshift/gateway/request/part_suspects.h"

#include <algorithm>
#include <utility>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

// Adds the crash, or makes its time the earliest that was reported.
template <typename Crash>
void Merge(const Crash& crash, std::vector<Crash>& crashes) {
  const auto known = std::find_if(
      crashes.begin(), crashes.end(),
      [&](const Crash& one) { return one.endpoint == crash.endpoint; });
  if (known == crashes.end())
    crashes.push_back(crash);
  else
    known->at = std::min(known->at, crash.at);
}

// Returns the number of groups of crashes from `begin` on.
template <typename Crash>
double GroupsSince(MonotonicTime begin, const std::vector<Crash>& crashes) {
  std::vector<MonotonicTime> times;
  for (const Crash& crash : crashes) {
    if (crash.at >= begin)
      times.push_back(crash.at);
  }
  std::sort(times.begin(), times.end());
  double groups = 0;
  MonotonicTime group_end{};
  for (const MonotonicTime time : times) {
    if (groups > 0 && time < group_end)
      continue;
    ++groups;
    group_end = time + PartSuspects::kCrashGroupTime;
  }
  return groups;
}

}  // namespace

std::vector<PartDigest> JudgedParts(const ServiceName& service,
                                    const PromptTraits& prompt) {
  std::vector<PartDigest> parts;
  const std::uint64_t seed = FastHash(service.value());
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    if (parts.size() == kMaxJudgedParts)
      break;
    const PartDigest part(FastHash(prompt.parts[i].id, seed));
    if (std::find(parts.begin(), parts.end(), part) == parts.end())
      parts.push_back(part);
  }
  return parts;
}

void KeepLatestRuns(std::vector<PartRun>& runs) {
  std::sort(runs.begin(), runs.end(), [](const auto& a, const auto& b) {
    return std::pair(a.part, b.sent) < std::pair(b.part, a.sent);
  });
  const auto same_part = [](const auto& a, const auto& b) {
    return a.part == b.part;
  };
  runs.erase(std::unique(runs.begin(), runs.end(), same_part), runs.end());
}

void PartSuspects::OnCrash(const PartCrash& crash, MonotonicTime now) {
  const Crash one{crash.endpoint, crash.at};
  Merge(one, crashes_);
  for (const PartRun& run : crash.runs)
    CountRun(run, one, now);
}

void PartSuspects::CountRun(const PartRun& run,
                            const Crash& crash,
                            MonotonicTime now) {
  // A run that was sent after this crash has answered.
  if (LastAnswer(run.part) > crash.at)
    return;
  Record& record = FindOrAdd(run.part);
  if (record.crashes.empty() && record.state == PartState::kCounted)
    record.first_crash = crash.at;
  record.first_crash = std::min(record.first_crash, crash.at);
  record.last_crash = std::max(record.last_crash, crash.at);
  Merge(crash, record.crashes);
  auto& sequence = record.sequence;
  const bool counted = std::find(sequence.begin(), sequence.end(),
                                 crash.endpoint) != sequence.end();
  if (counted && sequence.back() == crash.endpoint)
    record.last_counted = std::min(record.last_counted, crash.at);
  if (!counted && (sequence.empty() || run.sent > record.last_counted)) {
    sequence.push_back(crash.endpoint);
    record.last_counted = crash.at;
  }
  if (record.state == PartState::kCounted && IsToBeRefused(record, now)) {
    Refuse(run.part, record, now);
    return;
  }
  const bool was_probed = record.state != PartState::kCounted &&
                          run.sent > record.refused_at + kFirstProbeDelay / 2;
  // Also tells an instance that has just started and doesn't know the part.
  if (was_probed) {
    record.state = PartState::kConfirmed;
    Announce(run.part, record);
  }
}

bool PartSuspects::IsToBeRefused(const Record& record,
                                 MonotonicTime now) const {
  if (record.sequence.size() < kCrashesToRefuse ||
      now - record.first_crash < kMinObservation)
    return false;
  return GroupsSince(record.first_crash, record.crashes) >=
         kMinShare * GroupsSince(record.first_crash, crashes_);
}

void PartSuspects::Refuse(PartDigest part, Record& record, MonotonicTime now) {
  record.state = PartState::kRefused;
  record.refused_at = now;
  ++refused_;
  Announce(part, record);
}

void PartSuspects::OnAnswer(const std::vector<PartDigest>& parts,
                            MonotonicTime sent) {
  for (const PartDigest part : parts) {
    NoteAnswer(part, sent);
    const auto found = records_.find(part);
    if (found == records_.end() || sent <= found->second.first_crash)
      continue;
    const bool others_may_refuse =
        found->second.state != PartState::kCounted ||
        found->second.sequence.size() + 1 >= kCrashesToRefuse;
    Erase(found);
    if (others_may_refuse)
      AnnounceCleared(part, sent);
  }
}

bool PartSuspects::OnPeerVerdict(const PartVerdict& verdict) {
  if (!verdict.refused) {
    NoteAnswer(verdict.part, verdict.sent - kAgeError);
    const auto found = records_.find(verdict.part);
    if (found != records_.end() &&
        verdict.sent - kAgeError > found->second.first_crash) {
      Erase(found);
      return true;
    }
    return false;
  }
  const MonotonicTime answer = LastAnswer(verdict.part);
  if (answer > verdict.first_crash + kAgeError) {
    AnnounceCleared(verdict.part, answer);
    return false;
  }
  Record& record = FindOrAdd(verdict.part);
  const bool known = !record.crashes.empty();
  record.first_crash = known ? std::min(record.first_crash, verdict.first_crash)
                             : verdict.first_crash;
  record.last_crash = std::max(record.last_crash, verdict.refused_at);
  const PartState before = record.state;
  if (record.state == PartState::kCounted) {
    ++refused_;
    record.state = PartState::kRefused;
    record.refused_at = verdict.refused_at;
  }
  if (verdict.confirmed)
    record.state = PartState::kConfirmed;
  if (verdict.probes > record.probes) {
    record.probes = verdict.probes;
    record.last_probe = std::max(record.last_probe, verdict.refused_at);
  }
  return record.state != before;
}

bool PartSuspects::MayProbe(PartDigest part,
                            const Record& record,
                            MonotonicTime now) const {
  if (record.probes >= kMaxProbes || RankOf(part) != 0)
    return false;
  return record.probes == 0 ? now >= record.refused_at + kFirstProbeDelay
                            : now >= record.last_probe + kProbeInterval;
}

PartDecision PartSuspects::Decide(const std::vector<PartDigest>& parts,
                                  MonotonicTime now) const {
  PartDecision decision = PartDecision::kRun;
  if (refuses_none())
    return decision;
  for (const PartDigest part : parts) {
    const auto found = records_.find(part);
    if (found == records_.end() || found->second.state == PartState::kCounted)
      continue;
    const bool is_first = decision == PartDecision::kRun;
    if (!is_first || !MayProbe(part, found->second, now))
      return PartDecision::kRefuse;
    decision = PartDecision::kProbe;
  }
  return decision;
}

Milliseconds PartSuspects::RetryAfter(
    const std::vector<PartDigest>& parts) const {
  const bool confirmed =
      std::any_of(parts.begin(), parts.end(), [this](PartDigest part) {
        const auto found = records_.find(part);
        return found != records_.end() &&
               found->second.state == PartState::kConfirmed;
      });
  return confirmed ? kRetryAfterConfirmation : kRetryAfterRefusal;
}

void PartSuspects::OnProbe(const std::vector<PartDigest>& parts,
                           MonotonicTime now) {
  for (const PartDigest part : parts) {
    const auto found = records_.find(part);
    if (found == records_.end() || found->second.state == PartState::kCounted)
      continue;
    ++found->second.probes;
    found->second.last_probe = now;
    Announce(part, found->second);
  }
}

PartVerdict PartSuspects::VerdictOn(PartDigest part, const Record& record) {
  return {.part = part,
          .refused = true,
          .confirmed = record.state == PartState::kConfirmed,
          .probes = record.probes,
          .first_crash = record.first_crash,
          .refused_at = record.refused_at};
}

void PartSuspects::Announce(PartDigest part, const Record& record) {
  verdicts_.push_back(VerdictOn(part, record));
}

void PartSuspects::AnnounceCleared(PartDigest part, MonotonicTime sent) {
  verdicts_.push_back({.part = part, .refused = false, .sent = sent});
}

std::vector<PartVerdict> PartSuspects::TakeVerdicts() {
  return std::exchange(verdicts_, {});
}

std::vector<PartVerdict> PartSuspects::OwnVerdicts() const {
  std::vector<PartVerdict> verdicts;
  if (refuses_none())
    return verdicts;
  for (const auto& [part, record] : records_) {
    if (record.state != PartState::kCounted && RankOf(part) < kOwners)
      verdicts.push_back(VerdictOn(part, record));
  }
  return verdicts;
}

std::vector<PartReport> PartSuspects::Reports() const {
  std::vector<PartReport> reports;
  for (const auto& [part, record] : records_) {
    reports.push_back({.part = part,
                       .state = record.state,
                       .crashes = record.crashes.size(),
                       .probes = record.probes,
                       .first_crash = record.first_crash});
  }
  return reports;
}

void PartSuspects::Erase(Records::iterator record) {
  if (record->second.state != PartState::kCounted)
    --refused_;
  records_.erase(record);
}

PartSuspects::Record& PartSuspects::FindOrAdd(PartDigest part) {
  if (!records_.contains(part) && records_.size() >= kMaxRecords) {
    // A refused part would crash more endpoints if it were forgotten.
    Erase(std::min_element(
        records_.begin(), records_.end(), [](const auto& a, const auto& b) {
          const bool a_counted = a.second.state == PartState::kCounted;
          const bool b_counted = b.second.state == PartState::kCounted;
          if (a_counted != b_counted)
            return a_counted;
          return a.second.last_crash < b.second.last_crash;
        }));
  }
  return records_[part];
}

void PartSuspects::NoteAnswer(PartDigest part, MonotonicTime sent) {
  if (answers_.size() >= kMaxRecords && !answers_.contains(part))
    answers_.erase(answers_.begin());
  MonotonicTime& latest = answers_[part];
  latest = std::max(latest, sent);
}

MonotonicTime PartSuspects::LastAnswer(PartDigest part) const {
  const auto found = answers_.find(part);
  return found == answers_.end() ? MonotonicTime{} : found->second;
}

void PartSuspects::OnTick(MonotonicTime now) {
  Expire(now);
  for (auto& [part, record] : records_) {
    if (record.state == PartState::kCounted && IsToBeRefused(record, now))
      Refuse(part, record, now);
  }
}

void PartSuspects::Expire(MonotonicTime now) {
  std::erase_if(crashes_,
                [now](const Crash& one) { return now - one.at >= kMemory; });
  std::erase_if(answers_, [now](const auto& answer) {
    return now - answer.second >= kMemory;
  });
  for (auto record = records_.begin(); record != records_.end();) {
    const auto next = std::next(record);
    const Record& one = record->second;
    const bool over = one.state == PartState::kCounted
                          ? now - one.last_crash >= kMemory
                          : now - one.refused_at >= kRefusalTime;
    if (over)
      Erase(record);
    record = next;
  }
}

}  // namespace carobshift
