// Entries that guard idempotency keys, callers that resend requests, and a
// simple oracle, for once_fuzz.
//
//   OnceWorld world(seed, AtMostOnceMutation::kNone);
//   OnceReport report = world.Run();

#ifndef CAROBSHIFT_FUZZ_ONCE_WORLD_H_
#define CAROBSHIFT_FUZZ_ONCE_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/once/bound_key_guard.h"
#include "carobshift/once/free_key_claims.h"
#include "fuzz/fake_log.h"
#include "fuzz/simulation.h"

namespace carobshift {

struct OnceReport {
  std::vector<std::string> violations;
  // Counters that show whether a run exercised anything.
  int runs = 0;
  int replays = 0;
  int not_run = 0;
  int unknown = 0;
};

class OnceWorld {
 public:
  OnceWorld(std::uint64_t seed, AtMostOnceMutation mutation);
  OnceReport Run();

 private:
  // One key and its true state.
  struct Key {
    AccountKey name;
    // Set for a bound key.
    std::optional<BoundKey> bound;
    WallTime created;
    int runs = 0;
    // A caller was told that the key will never run.
    bool closed = false;
  };
  // One copy of a request that a caller sent.
  struct RequestCopy {
    std::size_t key = 0;
    RequestFingerprint fingerprint;
    MonotonicTime deadline;
    bool dispatched = false;
    bool reported_not_run = false;
  };
  using CopyId = std::size_t;
  // A copy that may run, between taking the key and dispatch.
  struct Job {
    CopyId copy_id = 0;
    // The copy was cancelled or has ended.
    bool ended = false;
  };
  struct Entry {
    std::uint64_t generation = 0;
    bool paused = false;
    bool reading = false;
    Milliseconds clock_error{0};
    std::unique_ptr<BoundKeyGuard> guard;
    std::unique_ptr<RunTable> free_table;
    std::unique_ptr<FreeKeyClaims> claims;
    std::map<ClaimTicket, CopyId> tickets;
    std::map<std::size_t, std::vector<CopyId>> attached;
  };

  SeededRandom& random() { return simulation_.random(); }
  [[nodiscard]] EntryId EntryIdOf(std::size_t i) const;
  [[nodiscard]] std::size_t IndexOf(const EntryId& entry) const;
  [[nodiscard]] WallTime WallTimeOf(const Entry& entry) const;

  void StartEntry(std::size_t i);
  void RunOnEntry(std::size_t i,
                  std::uint64_t generation,
                  std::function<void()> event);
  void Tick(std::size_t i);
  void InjectFault();

  void NewKey();
  void Send(std::size_t key);
  void Deliver(std::size_t i, CopyId copy_id);
  // Forwards a copy to the incarnation that may run it.
  void Forward(const EntryId& entry, std::uint64_t generation, CopyId copy_id);
  void BeginAtOwner(std::size_t i, CopyId copy_id);
  void ClaimFree(std::size_t i, CopyId copy_id);
  void OnClaimStep(std::size_t i, CopyId copy_id, const ClaimStep& step);
  void OnActions(std::size_t i, const std::vector<ClaimCompletion>& actions);
  void OnDecision(std::size_t i, CopyId copy_id, const RunDecision& decision);

  void Prepare(std::size_t i, CopyId copy_id);
  void Cancel(std::size_t i, const std::shared_ptr<Job>& job);
  void Dispatch(std::size_t i, const std::shared_ptr<Job>& job);
  [[nodiscard]] FinalAnswer RunAtEndpoint(RequestCopy& copy);
  void Finish(std::size_t i,
              const std::shared_ptr<Job>& job,
              const FinalAnswer& answer);
  void ReleaseClaim(std::size_t i, std::size_t key);
  void ReportToAttached(std::size_t i,
                        CopyId copy_id,
                        const FinalAnswer& answer);
  void ReportToCaller(CopyId copy_id, RunState state, ResultCode code);

  void CheckAbandoned();
  void AddViolation(const std::string& what);

  Simulation simulation_;
  AtMostOnceMutation mutation_;
  FakeLog log_;
  std::vector<Entry> entries_;
  std::vector<Key> keys_;
  std::vector<RequestCopy> copies_;
  bool faults_off_ = false;
  OnceReport report_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_FUZZ_ONCE_WORLD_H_
