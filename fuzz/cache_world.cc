#include "fuzz/cache_world.h"

#include <algorithm>
#include <utility>

namespace carobshift {
namespace {

constexpr std::size_t kMaxPendingMessages = 40;
constexpr Bytes kObjectBytesPerToken = 1000;

StoredObjectTrackerOptions GuardWith(CacheMutation mutation) {
  StoredObjectTrackerOptions options;
  options.mutation = mutation;
  return options;
}

CacheTransferPlannerOptions PlannerWith(CacheMutation mutation) {
  CacheTransferPlannerOptions options;
  options.guard = GuardWith(mutation);
  options.strategy = &ExportStrategyNamed("least recently used");
  return options;
}

DirectoryOptions DirectoryWith(CacheMutation mutation) {
  DirectoryOptions options;
  options.mutation = mutation;
  return options;
}

}  // namespace

CacheWorld::CacheWorld(std::uint64_t seed, CacheMutation mutation)
    : random_(seed),
      mutation_(mutation),
      directory_(DirectoryWith(mutation)),
      planner_(PlannerWith(mutation)),
      // Runs with few faults reach deep states, runs with many faults reach
      // unusual ones.
      fault_percent_(static_cast<int>(10 + 30 * Pick(4))) {
  for (std::size_t i = 0; i < kEngines; ++i) {
    engines_.emplace_back(EndpointId("engine-" + std::to_string(i)));
    (void)directory_.Track(engines_.back().id(), engines_.back().version());
  }
  for (std::size_t i = 0; i < kStores; ++i) {
    stores_.emplace_back(StoreId("store-" + std::to_string(i)));
    planner_.stores().Declare(stores_.back().id(), kLinkRate);
  }
}

std::size_t CacheWorld::Pick(std::size_t count) {
  return static_cast<std::size_t>(random_() % count);
}

bool CacheWorld::Chance(int percent) {
  return Pick(100) < static_cast<std::size_t>(percent);
}

void CacheWorld::AddViolation(const std::string& what) {
  report_.violations.push_back(what);
}

CacheNamespace CacheWorld::NamespaceOf(const BlockOrigin& origin) const {
  if (mutation_ == CacheMutation::kNoNamespaceInChain)
    return CacheNamespace("same for all");
  return MakeCacheNamespace("secret", origin.account, ModelName("m"),
                            origin.version, AdapterName(""));
}

std::size_t CacheWorld::StoreIndex(const StoreId& id) const {
  return stores_[0].id() == id ? 0 : 1;
}

void CacheWorld::Send(std::function<void()> message, bool unreliable) {
  if (unreliable && Chance(10))
    return;
  if (unreliable && Chance(10))
    messages_.push_back(message);
  messages_.push_back(std::move(message));
}

void CacheWorld::SendPinOrder(const PinOrder& order,
                              std::function<void()> on_done) {
  Send(
      [this, order, on_done] {
        const Status answer = stores_[StoreIndex(order.handle.store)].Pin(
            order.handle, order.duration, now_, mutation_);
        Send(
            [this, order, answer, on_done] {
              planner_.OnPinEnd(order, answer, now_);
              on_done();
            },
            false);
      },
      false);
}

// Both accounts use the same conversation ids and the same texts, so isolation
// depends on the cache namespace alone.
void CacheWorld::BeginRequest() {
  Request request;
  request.engine = Pick(kEngines);
  const ModelEngine& engine = engines_[request.engine];
  request.engine_epoch = engine.epoch();
  request.origin = {AccountId(Chance(50) ? "a" : "b"), engine.version()};
  const std::size_t conversation = Pick(2);
  request.key = {request.origin.account,
                 ConversationId(std::to_string(conversation))};
  // Most turns continue the conversation's own text.
  const std::size_t topic = Chance(80) ? conversation : Pick(kTopics);
  request.cache_namespace = NamespaceOf(request.origin);
  request.chain =
      BlockChain(request.cache_namespace, TextOf(topic, 1 + Pick(kMaxBlocks)));
  const auto option = planner_.BestImport(request.key, request.cache_namespace,
                                          request.chain, now_);
  if (!option.has_value()) {
    Compute(request, 0);
    return;
  }
  const auto pin =
      planner_.BeginPin(*option, request.cache_namespace, request.chain, now_);
  const auto continue_request = [this, request, option] {
    OnPinned(request, *option);
  };
  if (pin.has_value() && mutation_ != CacheMutation::kNoPin)
    SendPinOrder(*pin, continue_request);
  else
    Send(continue_request, false);
}

void CacheWorld::OnPinned(const Request& request, const StoredImport& option) {
  const auto grant = planner_.BeginImport(option, request.cache_namespace,
                                          request.chain, Milliseconds(0), now_);
  if (!grant.has_value()) {
    Compute(request, 0);
    return;
  }
  Transfer transfer;
  transfer.is_import = true;
  transfer.request = request;
  transfer.grant = *grant;
  transfer.store = StoreIndex(grant->handle.store);
  transfer.object = grant->handle.object;
  transfers_.push_back(std::move(transfer));
}

// The engine refuses a request that began before its last restart or weight
// swap, which models the check of the expected weight version. Otherwise it
// reuses its own blocks and computes the rest.
void CacheWorld::Compute(const Request& request, std::size_t imported) {
  ModelEngine& engine = engines_[request.engine];
  if (engine.epoch() != request.engine_epoch)
    return;
  std::size_t cached = 0;
  while (cached < request.chain.size()) {
    const auto it = engine.blocks().find(request.chain[cached]);
    if (it == engine.blocks().end())
      break;
    if (it->second != request.origin)
      AddViolation("a run used a block of another account or version");
    ++cached;
  }
  for (std::size_t i = std::max(cached, imported); i < request.chain.size();
       ++i)
    engine.Store(request.chain[i], request.origin);
  planner_.OnTurnEnd({request.key, engine.id(), request.cache_namespace,
                      request.chain, kObjectBytesPerToken},
                     now_);
}

void CacheWorld::SendMoves() {
  PlannedTransfers moves = planner_.NextTransfers(now_);
  for (const BlockHandle& handle : moves.drops) {
    Send([this,
          handle] { stores_[StoreIndex(handle.store)].Drop(handle, now_); },
         true);
  }
  for (const ExportMove& move : moves.exports)
    Send([this, move] { StartExport(move); }, false);
}

void CacheWorld::AnswerExport(const ExportMove& move,
                              const Result<BlockHandle>& answer) {
  Send([this, move,
        answer] { planner_.OnExportEnd(move.id, move.transfer, answer, now_); },
       false);
}

void CacheWorld::StartExport(const ExportMove& move) {
  const std::size_t index = engines_[0].id() == move.endpoint ? 0 : 1;
  const ModelEngine& engine = engines_[index];
  if (!engine.Holds(move.blocks)) {
    AnswerExport(move, Error{ResultCode::kBlockRejected, "evicted"});
    return;
  }
  Transfer transfer;
  transfer.move = move;
  transfer.store = StoreIndex(move.store);
  transfer.request.engine = index;
  transfer.request.engine_epoch = engine.epoch();
  const auto name =
      stores_[transfer.store].Open(move.blocks.back(), move.blocks.size(),
                                   engine.blocks().at(move.blocks.back()));
  if (!name.has_value()) {
    AnswerExport(move, Error{ResultCode::kStoreFull, "full"});
    return;
  }
  transfer.object = *name;
  transfer.identity = stores_[transfer.store].Find(*name)->identity;
  transfers_.push_back(std::move(transfer));
}

bool CacheWorld::AdvanceExport(Transfer& transfer) {
  const ExportMove& move = transfer.move;
  ModelStore& store = stores_[transfer.store];
  const bool engine_unchanged = engines_[transfer.request.engine].epoch() ==
                                transfer.request.engine_epoch;
  if (!engine_unchanged || !store.Write(transfer.object, transfer.identity)) {
    AnswerExport(move, Error{ResultCode::kEndpointFailed, "died"});
    return true;
  }
  if (++transfer.done < move.blocks.size())
    return false;
  const BlockHash& last = move.blocks.back();
  AnswerExport(
      move,
      BlockHandle{move.store, store.generation(), last.high, transfer.object,
                  last, static_cast<Tokens>(move.blocks.size()) * kBlockTokens,
                  move.bytes});
  ++report_.exports_sealed;
  return true;
}

void CacheWorld::EndImport(const Transfer& transfer, ImportOutcome outcome) {
  planner_.EndImport(transfer.grant, outcome, now_);
  const auto blocks =
      static_cast<std::size_t>(transfer.grant.handle.tokens / kBlockTokens);
  const bool imported_all = outcome == ImportOutcome::kImported;
  ModelEngine& engine = engines_[transfer.request.engine];
  if (imported_all && engine.epoch() == transfer.request.engine_epoch) {
    for (std::size_t i = 0; i < blocks; ++i)
      engine.Store(transfer.request.chain[i], transfer.request.origin);
    ++report_.imports_done;
  }
  Compute(transfer.request, imported_all ? blocks : 0);
}

// Reads one block per step; the import checks run when the object is opened.
bool CacheWorld::AdvanceImport(Transfer& transfer) {
  const ModelStore& store = stores_[transfer.store];
  const bool engine_unchanged = engines_[transfer.request.engine].epoch() ==
                                transfer.request.engine_epoch;
  const bool connected =
      store.alive() &&
      (!transfer.started || transfer.generation == store.generation());
  if (!engine_unchanged || !connected || now_ >= transfer.grant.use_until) {
    EndImport(transfer, ImportOutcome::kInterrupted);
    return true;
  }
  if (!transfer.started) {
    const ModelObject* opened =
        store.OpenForRead(transfer.grant.handle, mutation_);
    if (opened == nullptr) {
      EndImport(transfer, ImportOutcome::kRejected);
      return true;
    }
    transfer.started = true;
    transfer.identity = opened->identity;
    transfer.generation = store.generation();
  }
  const ModelObject* object = store.Find(transfer.object);
  if (object == nullptr || object->identity != transfer.identity) {
    AddViolation("an import read a freed object");
    return true;
  }
  if (object->written < object->blocks)
    AddViolation("an import read a partly written object");
  if (object->origin != transfer.request.origin ||
      object->header.last_block != transfer.grant.handle.last_block) {
    AddViolation(
        "an import read an object of another account, version or prompt");
  }
  if (++transfer.done < object->blocks)
    return false;
  EndImport(transfer, ImportOutcome::kImported);
  return true;
}

bool CacheWorld::Advance(Transfer& transfer) {
  return transfer.is_import ? AdvanceImport(transfer) : AdvanceExport(transfer);
}

void CacheWorld::RunAction() {
  switch (Pick(10)) {
    case 0:
    case 1:
      BeginRequest();
      break;
    case 2:
      SendMoves();
      break;
    case 3:
      PollEngine();
      break;
    case 4:
      PollStore();
      break;
    case 5:
      if (Chance(fault_percent_))
        InjectPlatformFault();
      break;
    case 6:
      if (const auto pin = planner_.OnAddressLookup(
              {AccountId(Chance(50) ? "a" : "b"),
               ConversationId(std::to_string(Pick(2)))},
              now_)) {
        SendPinOrder(*pin, [] {});
      }
      break;
    default:
      if (!transfers_.empty()) {
        const std::size_t index = Pick(transfers_.size());
        Transfer transfer = std::move(transfers_[index]);
        transfers_.erase(transfers_.begin() + static_cast<long>(index));
        if (!Advance(transfer))
          transfers_.push_back(std::move(transfer));
      }
  }
}

WorldReport CacheWorld::Run(int steps) {
  for (int step = 0; step < steps && report_.violations.empty(); ++step) {
    now_ += Milliseconds(Pick(150));
    RunAction();
    if (!messages_.empty() &&
        (Chance(50) || messages_.size() > kMaxPendingMessages)) {
      const std::size_t index = Pick(messages_.size());
      const auto message = std::move(messages_[index]);
      messages_.erase(messages_.begin() + static_cast<long>(index));
      message();
    }
    if (step % 16 == 0)
      CheckDirectory();
  }
  return report_;
}

}  // namespace carobshift
