// Runs one entry's cache modules against engines and stores that inject faults.
// A seeded generator drives them through a message pool that delays, drops,
// duplicates and reorders messages.
//
//   CacheWorld world(seed, CacheMutation::kNone);
//   WorldReport report = world.Run(steps);
//   REQUIRE(report.violations.empty());
//
// The oracle checks that no import reads a freed or partly written object, that
// every block used by a request belongs to its account and its weight version,
// and that the directory reports for an endpoint only what was true at the
// sequence number that it has reached.

#ifndef FUZZ_CACHE_WORLD_H_
#define FUZZ_CACHE_WORLD_H_

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "carobshift/cache/block_directory.h"
#include "carobshift/cache/cache_transfer_planner.h"
#include "fuzz/cache_model.h"

namespace carobshift {

struct WorldReport {
  std::vector<std::string> violations;
  std::uint64_t imports_done = 0;
  std::uint64_t exports_sealed = 0;
  std::uint64_t listings = 0;
};

class CacheWorld {
 public:
  CacheWorld(std::uint64_t seed, CacheMutation mutation);
  WorldReport Run(int steps);

 private:
  struct Request {
    ConversationKey key;
    BlockOrigin origin;
    CacheNamespace cache_namespace;
    std::vector<BlockHash> chain;
    std::size_t engine = 0;
    std::uint64_t engine_epoch = 0;
  };
  // An export or import in progress.
  struct Transfer {
    bool is_import = false;
    Request request;
    ImportGrant grant;
    ExportMove move;
    std::size_t store = 0;
    std::string object;
    std::uint64_t identity = 0;
    // The store's generation at the start of the read; a restart breaks the
    // connection.
    std::uint64_t generation = 0;
    std::size_t done = 0;
    bool started = false;
  };

  static constexpr std::size_t kEngines = 2;
  static constexpr std::size_t kStores = 2;
  static constexpr std::size_t kTopics = 3;
  static constexpr std::size_t kMaxBlocks = 4;
  static constexpr Bytes kLinkRate = 1000000000;

  // Returns the start of a topic's text, which is the same for all accounts.
  static std::string TextOf(std::size_t topic, std::size_t blocks);

  std::size_t Pick(std::size_t count);
  bool Chance(int percent);
  void RunAction();
  void InjectPlatformFault();
  void FreeRandomObject(ModelStore& store);
  void CheckDirectory();

  void BeginRequest();
  void OnPinned(const Request& request, const StoredImport& option);
  void Compute(const Request& request, std::size_t imported);
  void SendPinOrder(const PinOrder& order, std::function<void()> on_done);
  void SendMoves();
  void StartExport(const ExportMove& move);
  void PollEngine();
  void PollStore();
  // Returns true when the transfer has ended.
  bool Advance(Transfer& transfer);
  bool AdvanceExport(Transfer& transfer);
  bool AdvanceImport(Transfer& transfer);
  void EndImport(const Transfer& transfer, ImportOutcome outcome);
  void AnswerExport(const ExportMove& move, const Result<BlockHandle>& answer);

  // Adds a message to the pool. Messages with `unreliable` may also be lost or
  // duplicated.
  void Send(std::function<void()> message, bool unreliable);
  void AddViolation(const std::string& what);
  [[nodiscard]] CacheNamespace NamespaceOf(const BlockOrigin& origin) const;
  [[nodiscard]] std::size_t StoreIndex(const StoreId& id) const;

  std::mt19937_64 random_;
  CacheMutation mutation_;
  MonotonicTime now_{Seconds(1000)};
  BlockDirectory directory_;
  CacheTransferPlanner planner_;
  int fault_percent_;
  std::vector<ModelEngine> engines_;
  std::vector<ModelStore> stores_;
  std::vector<std::function<void()>> messages_;
  std::vector<Transfer> transfers_;
  WorldReport report_;
};

}  // namespace carobshift

#endif  // FUZZ_CACHE_WORLD_H_
