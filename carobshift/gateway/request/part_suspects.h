// Finds parts of prompts that crash endpoints, and refuses requests with them.
//
//   PartSuspects suspects;
//   suspects.OnCrash(crash, now);     // an endpoint's incarnation has ended
//   suspects.OnAnswer(parts, sent);   // a run has sent its first event
//   switch (suspects.Decide(parts, now)) { ... }
//   Announce(suspects.TakeVerdicts());
//
// Load pattern: a part of a prompt crashes each endpoint that begins to write
// an answer on it, whatever else the request holds. The requests with it come
// at any instance, no two alike, and share their account and their other parts
// with sound ones. Each endpoint takes dozens of sound runs with it, which are
// sent again to the rest, until few endpoints are left at a time.
//
// What is blamed is the part, identified by service and id. The evidence of a
// crash are the parts of the runs that had not sent their first event: an
// endpoint crashes when it begins to answer, so a run that has begun is not the
// cause. The last part of a prompt is specific to its request and is left out.
//
// A part is refused after kCrashesToRefuse crashes in sequence: each run was
// sent after the crash that was counted before, and kMinObservation after its
// first crash, so that a sound part has had time to be answered. Endpoints that
// fail together, for another reason, count once, as their runs were sent before
// any of them failed. The part must also have been there in at least kMinShare
// of all crashes since its first one, which sets it apart from the parts of
// sound requests that were sent again and hit twice or three times.
//
// One first event of a run that was sent after the part's first crash clears
// the part, at whatever instance, since a part that crashes endpoints never has
// one. Popular parts are cleared between two crashes.
//
// A sound part that was there by chance may still be refused, beside the one to
// blame or alone. So a refused part gets a probe: one request that has it and
// no other refused part. An answer clears the part, a crash confirms it. The
// owner of a part, one instance of all, allows it, at most kMaxProbes in all:
// a part that crashes endpoints costs that many endpoints after its refusal.
//
// Verdicts are announced to the other instances at once and repeated by the
// first owners of the part, for instances that start later. Times in them are
// ages, as steady clocks differ. An instance that has seen an answer after the
// first crash of a part that another one refuses says so.
//
// Thread-compatible. Holds at most kMaxRecords records and as many times of
// answers.

#ifndef CAROBSHIFT_GATEWAY_REQUEST_PART_SUSPECTS_H_
#define CAROBSHIFT_GATEWAY_REQUEST_PART_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/request/caller_request.h"

namespace carobshift {

// Hash of a service and the id of a part of a prompt.
using PartDigest = StrongType<struct PartDigestTag, std::uint64_t>;
// Hash of an endpoint's id and the start time of its incarnation.
using IncarnationDigest =
    StrongType<struct IncarnationDigestTag, std::uint64_t>;

// Returns the digests of all parts but the last, each once, at most
// kMaxJudgedParts.
inline constexpr std::size_t kMaxJudgedParts = 64;
[[nodiscard]] std::vector<PartDigest> JudgedParts(const ServiceName& service,
                                                  const PromptTraits& prompt);

// A part of a run that had sent no event when its endpoint crashed.
struct PartRun {
  PartDigest part;
  // When the latest such run was sent.
  MonotonicTime sent{};
};

// Leaves one run for each part, the one that was sent last.
void KeepLatestRuns(std::vector<PartRun>& runs);

// The end of an endpoint's incarnation, as one instance saw it.
struct PartCrash {
  IncarnationDigest endpoint;
  MonotonicTime at{};
  std::vector<PartRun> runs;
};

enum class PartState : std::uint8_t {
  // Has crashes, too few to refuse it.
  kCounted,
  kRefused,
  // Refused, and its probe has crashed an endpoint.
  kConfirmed,
};

// What instances tell each other about a part.
struct PartVerdict {
  PartDigest part;
  // False: the part was cleared by the answer to a run sent at `sent`.
  bool refused = true;
  bool confirmed = false;
  int probes = 0;
  MonotonicTime first_crash{};
  MonotonicTime refused_at{};
  MonotonicTime sent{};
};

enum class PartDecision { kRun, kProbe, kRefuse };

// A record, for the state dump.
struct PartReport {
  PartDigest part;
  PartState state = PartState::kCounted;
  std::size_t crashes = 0;
  int probes = 0;
  MonotonicTime first_crash{};
};

class PartSuspects {
 public:
  static constexpr int kCrashesToRefuse = 3;
  static constexpr double kMinShare = 0.5;
  // Longer than most first events take under load.
  static constexpr Milliseconds kMinObservation{1000};
  // Crashes within this time of each other count as one for kMinShare.
  static constexpr Milliseconds kCrashGroupTime{100};
  // A part that isn't refused is forgotten after this time without a crash.
  static constexpr Milliseconds kMemory{60'000};
  static constexpr Milliseconds kRefusalTime{600'000};
  // Requests that were under way when the part was refused are over by then.
  static constexpr Milliseconds kFirstProbeDelay{2000};
  static constexpr Milliseconds kProbeInterval{60'000};
  static constexpr int kMaxProbes = 2;
  static constexpr Milliseconds kRetryAfterRefusal{3000};
  static constexpr Milliseconds kRetryAfterConfirmation{60'000};
  // Error of a time that another instance stated as an age.
  static constexpr Milliseconds kAgeError{200};
  static constexpr std::size_t kMaxRecords = 4096;

  // Number of instances that repeat the verdict on a part.
  static constexpr std::size_t kOwners = 3;

  // Returns the place of this instance among the owners of a part, from 0. The
  // first one allows its probes. Without it, this instance is the first.
  using OwnerRank = std::function<std::size_t(PartDigest)>;
  void SetOwnerRank(OwnerRank rank) { owner_rank_ = std::move(rank); }

  // Counts a crash. Several instances may report the same one, each with the
  // runs that it had there.
  void OnCrash(const PartCrash& crash, MonotonicTime now);
  // A run with these parts, sent at `sent`, has sent its first event.
  void OnAnswer(const std::vector<PartDigest>& parts, MonotonicTime sent);
  // Returns false if the verdict says nothing new.
  bool OnPeerVerdict(const PartVerdict& verdict);

  [[nodiscard]] PartDecision Decide(const std::vector<PartDigest>& parts,
                                    MonotonicTime now) const;
  // Returns when a caller whose request is refused may come back: soon if a
  // probe may clear its part.
  [[nodiscard]] Milliseconds RetryAfter(
      const std::vector<PartDigest>& parts) const;
  // A request for which Decide() returned kProbe is sent.
  void OnProbe(const std::vector<PartDigest>& parts, MonotonicTime now);

  // Returns the verdicts to announce, and forgets them.
  [[nodiscard]] std::vector<PartVerdict> TakeVerdicts();
  // Returns the verdicts in force on the parts of which this instance is one of
  // the first kOwners owners.
  [[nodiscard]] std::vector<PartVerdict> OwnVerdicts() const;

  // True if no part is refused, so that decisions can be skipped.
  [[nodiscard]] bool refuses_none() const { return refused_ == 0; }
  [[nodiscard]] std::vector<PartReport> Reports() const;
  // Refuses parts whose observation is over, and forgets old records. Call
  // about every 100 ms.
  void OnTick(MonotonicTime now);

 private:
  struct Crash {
    IncarnationDigest endpoint;
    MonotonicTime at{};
  };
  struct Record {
    PartState state = PartState::kCounted;
    // The crashes in which the part was there.
    std::vector<Crash> crashes;
    // Those that were counted in sequence.
    std::vector<IncarnationDigest> sequence;
    MonotonicTime last_counted{};
    MonotonicTime first_crash{};
    MonotonicTime last_crash{};
    MonotonicTime refused_at{};
    MonotonicTime last_probe{};
    int probes = 0;
  };
  using Records = std::unordered_map<PartDigest, Record>;

  [[nodiscard]] std::size_t RankOf(PartDigest part) const {
    return owner_rank_ ? owner_rank_(part) : 0;
  }
  [[nodiscard]] bool MayProbe(PartDigest part,
                              const Record& record,
                              MonotonicTime now) const;
  void CountRun(const PartRun& run, const Crash& crash, MonotonicTime now);
  [[nodiscard]] bool IsToBeRefused(const Record& record,
                                   MonotonicTime now) const;
  void Refuse(PartDigest part, Record& record, MonotonicTime now);
  [[nodiscard]] static PartVerdict VerdictOn(PartDigest part,
                                             const Record& record);
  void Announce(PartDigest part, const Record& record);
  void AnnounceCleared(PartDigest part, MonotonicTime sent);
  void Erase(Records::iterator record);
  Record& FindOrAdd(PartDigest part);
  void NoteAnswer(PartDigest part, MonotonicTime sent);
  [[nodiscard]] MonotonicTime LastAnswer(PartDigest part) const;
  void Expire(MonotonicTime now);

  OwnerRank owner_rank_;
  Records records_;
  std::size_t refused_ = 0;
  // All crashes within kMemory.
  std::vector<Crash> crashes_;
  // When the latest run that answered was sent.
  std::unordered_map<PartDigest, MonotonicTime> answers_;
  std::vector<PartVerdict> verdicts_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_PART_SUSPECTS_H_
