// Entries that guard idempotency keys, callers that repeat, and a simple
// oracle, for once_fuzz.
//
//   OnceWorld world(seed, OnceMutation::kNone);
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
  // How much happened, so that a run that tests nothing is noticed.
  int runs = 0;
  int replays = 0;
  int not_run = 0;
  int unknown = 0;
};

class OnceWorld {
 public:
  OnceWorld(std::uint64_t seed, OnceMutation mutation);
  OnceReport Run();

 private:
  // One key and all that is true of it.
  struct Key {
    AccountKey name;
    // For a bound key.
    std::optional<BoundKey> bound;
    WallTime created;
    int runs = 0;
    // It was said that it will never run.
    bool closed = false;
  };
  // One copy of a request as a caller sent it.
  struct Sending {
    std::size_t key = 0;
    RequestFingerprint fingerprint;
    MonotonicTime deadline;
    bool dispatched = false;
    bool told_not_run = false;
  };
  using SendingId = std::size_t;
  // A copy that was told to run, between taking the key and dispatch.
  struct Job {
    SendingId sending = 0;
    // It was cancelled, or it has ended.
    bool over = false;
  };
  struct Entry {
    std::uint64_t life = 0;
    bool paused = false;
    bool reading = false;
    Milliseconds wall_error{0};
    std::unique_ptr<BoundKeyGuard> guard;
    std::unique_ptr<RunTable> free_table;
    std::unique_ptr<FreeKeyClaims> claims;
    std::map<ClaimTicket, SendingId> tickets;
    std::map<std::size_t, std::vector<SendingId>> attached;
  };

  SeededRandom& random() { return simulation_.random(); }
  [[nodiscard]] EntryId NameOf(std::size_t i) const;
  [[nodiscard]] std::size_t IndexOf(const EntryId& entry) const;
  [[nodiscard]] WallTime WallOf(const Entry& entry) const;

  void Start(std::size_t i);
  void For(std::size_t i, std::uint64_t life, std::function<void()> event);
  void Tick(std::size_t i);
  void Fault();

  void NewKey();
  void Send(std::size_t key);
  void Deliver(std::size_t i, SendingId sending);
  // Sends a copy on to the incarnation that may run it.
  void Forward(const EntryId& entry, std::uint64_t life, SendingId sending);
  void AtHome(std::size_t i, SendingId sending);
  void ClaimFree(std::size_t i, SendingId sending);
  void OnClaimStep(std::size_t i, SendingId sending, const ClaimStep& step);
  void OnActions(std::size_t i, const std::vector<ClaimAction>& actions);
  void OnDecision(std::size_t i,
                  SendingId sending,
                  const RunDecision& decision);

  void Prepare(std::size_t i, SendingId sending);
  void Cancel(std::size_t i, const std::shared_ptr<Job>& job);
  void Dispatch(std::size_t i, const std::shared_ptr<Job>& job);
  [[nodiscard]] FinalAnswer RunAtEndpoint(Sending& copy);
  void Finish(std::size_t i,
              const std::shared_ptr<Job>& job,
              const FinalAnswer& answer);
  void GiveBack(std::size_t i, std::size_t key);
  void TellAll(std::size_t i, SendingId sending, const FinalAnswer& answer);
  void Tell(SendingId sending, RunState state, ResultCode code);

  void CheckAbandoned();
  void Violation(const std::string& what);

  Simulation simulation_;
  OnceMutation mutation_;
  FakeLog log_;
  std::vector<Entry> entries_;
  std::vector<Key> keys_;
  std::vector<Sending> sendings_;
  bool calm_ = false;
  OnceReport report_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_FUZZ_ONCE_WORLD_H_
