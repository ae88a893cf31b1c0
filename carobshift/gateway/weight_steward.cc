#include "carobshift/gateway/weight_steward.h"

#include <utility>

#include "carobshift/gateway/weight_note.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr char kLeaseStream[] = "carobshift-lease";
constexpr Milliseconds kLeaseCallTimeout{900};
// An engine answers within a few milliseconds. One that has not by then has
// lost the answer, or will carry the order out later; waiting longer keeps
// another engine from loading.
constexpr Milliseconds kAnswerTimeout{150};
// After which an order that was sent has reached its engine or is lost, for the
// successor's wait: TCP sends a lost segment again after 200 ms.
constexpr Milliseconds kOrderTimeout{400};
constexpr Milliseconds kConnectTimeout{300};
// Before an engine that is busy with another order, or didn't answer, is asked
// again.
constexpr Milliseconds kAskAgain{100};
// Of the announcement that an engine is kept free: as long as its load may
// take. It ends earlier when the engine shows its new weights.
constexpr Milliseconds kDrainLife{3000};
// An order is looked after for the first time when the shortest load may be
// over, then every kWatchAgain, at most kMaxWatch in all.
constexpr Milliseconds kWatchFirst{900};
constexpr Milliseconds kWatchAgain{200};
constexpr Milliseconds kMaxWatch{6000};

LeaseOptions LeaseOptionsOf(const GatewaySettings& settings) {
  LeaseOptions options;
  options.duration = settings.lease;
  options.order_timeout = kOrderTimeout;
  // Its gossip port is bound before the first tick.
  options.address = NetAddress{settings.host, settings.gossip_port}.ToString();
  return options;
}

FetchOptions CallOptions(Milliseconds timeout) {
  FetchOptions options;
  options.call.connect_timeout = kConnectTimeout;
  options.timeout = timeout;
  options.stall = timeout;
  return options;
}

}  // namespace

WeightSteward::WeightSteward(EventLoop& loop,
                             HttpClient& client,
                             const GatewaySettings& settings,
                             const Dialects& dialects,
                             Cluster& cluster,
                             const EndpointRegistry& registry,
                             WeightDeadlines& deadlines)
    : loop_(loop),
      client_(client),
      settings_(settings),
      dialects_(dialects),
      cluster_(cluster),
      registry_(registry),
      rollout_(RolloutOptions{}),
      deadlines_(deadlines),
      stream_(kLeaseStream),
      lease_(LeaseOptionsOf(settings),
             settings.entry,
             cluster.incarnation(),
             loop.now()) {}

void WeightSteward::SetTarget(const ModelName& model, WeightNumber number) {
  RaiseTarget(model, number);
  deadlines_.OnNamed(model, number, loop_.now());
  lease_.RequestRenewal();
  lease_wait_ = {};
}

void WeightSteward::SetFoundTarget(const ModelName& model,
                                   WeightNumber number) {
  RaiseTarget(model, number);
  found_[model] = std::max(found_[model], number);
  // Until more is known it counts from here, and the holders' records are read
  // to their end again.
  deadlines_.Learn({model, number, loop_.now(), NamingSource::kGuess});
  history_read_ = false;
}

void WeightSteward::RaiseTarget(const ModelName& model, WeightNumber number) {
  const auto before = rollout_.Target(model);
  rollout_.SetTarget(model, number);
  if (before == rollout_.Target(model))
    return;
  LogEvent(LogLevel::kInfo, "weights_named",
           {{"model", model.value()}, {"number", number.value()}});
}

void WeightSteward::ReadNote() {
  const auto& holding = lease_.holding();
  // What this process noted itself it knows better.
  if (!holding || holding->note.empty() ||
      holding->incarnation == cluster_.incarnation())
    return;
  const auto namings = DecodeWeightNote(holding->note, loop_.now(), WallNow());
  if (!namings.ok()) {
    LogEvent(LogLevel::kWarning, "weight_note_unreadable",
             {{"holder", holding->holder.value()},
              {"reason", namings.error().message}});
    return;
  }
  for (const WeightNaming& naming : namings.value())
    deadlines_.Learn(naming);
}

void WeightSteward::DateFoundTargets() {
  for (const auto& [model, number] : found_) {
    const bool noted = !deadlines_.IsGuess(model, number);
    // Some holder has written a note within a turn of each naming. If what is
    // kept has none, the naming is younger; if nothing is kept, it may be older
    // than all that was dropped, and nothing may begin on weights before it.
    const bool old = !noted && lease_.HistoryDropped();
    if (old) {
      deadlines_.Learn({model, number, loop_.now() - settings_.weights_bound,
                        NamingSource::kGuess});
    }
    LogEvent(LogLevel::kInfo, "weights_dated",
             {{"model", model.value()},
              {"number", number.value()},
              {"by", noted ? "note"
                     : old ? "history_gone"
                           : "start"}});
  }
  found_.clear();
}

void WeightSteward::NoteOverdue(const std::vector<RolloutEngine>& engines) {
  std::set<EndpointId> overdue;
  for (const RolloutEngine& engine : engines) {
    if (!deadlines_.Overdue(engine.model, engine.weights, loop_.now()))
      continue;
    overdue.insert(engine.id);
    if (overdue_.contains(engine.id))
      continue;
    LogEvent(
        LogLevel::kWarning, "weights_overdue",
        {{"endpoint", engine.id.value()},
         {"model", engine.model.value()},
         {"weights", engine.weights.value()},
         {"named",
          rollout_.Target(engine.model).value_or(engine.weights).value()}});
  }
  for (const EndpointId& id : overdue_) {
    if (!overdue.contains(id))
      LogEvent(LogLevel::kInfo, "weights_no_longer_overdue",
               {{"endpoint", id.value()}});
  }
  overdue_ = std::move(overdue);
}

std::vector<RolloutEngine> WeightSteward::Engines() const {
  std::vector<RolloutEngine> engines;
  for (const auto& [id, record] : registry_.all()) {
    if (record.leaving)
      continue;
    for (const ModelName& model : ModelsOf(record))
      engines.push_back({id, model, WeightsOf(record, model)});
  }
  return engines;
}

std::set<ModelName> WeightSteward::ModelsOf(
    const EndpointRecord& record) const {
  std::set<ModelName> models;
  for (const auto& [model, number] : record.weights)
    models.insert(model);
  const DeclaredService* const service =
      config_ == nullptr ? nullptr
                         : config_->config().FindService(record.service);
  if (service != nullptr && service->engine)
    models.insert(service->engine->models.begin(),
                  service->engine->models.end());
  return models;
}

WeightNumber WeightSteward::WeightsOf(const EndpointRecord& record,
                                      const ModelName& model) const {
  const auto named = record.weights.find(model);
  // Those that nobody knows may be the oldest.
  const WeightNumber recorded =
      named == record.weights.end() ? WeightNumber{} : named->second;
  const auto reported = reported_.find(record.id);
  if (reported == reported_.end() || reported->second.born != record.born)
    return recorded;
  const auto told = reported->second.weights.find(model);
  return told == reported->second.weights.end()
             ? recorded
             : std::max(recorded, told->second);
}

std::set<EndpointId> WeightSteward::Behind(
    const std::set<EndpointId>& endpoints) const {
  std::set<EndpointId> behind;
  if (endpoints.empty())
    return behind;
  for (const RolloutEngine& engine : Engines()) {
    const auto target = rollout_.Target(engine.model);
    if (target && engine.weights < *target && endpoints.contains(engine.id))
      behind.insert(engine.id);
  }
  return behind;
}

// Past the lease's end only while the log doesn't answer: nobody can have
// succeeded through it unseen for longer than the lease protects, and engines
// that check fencing bar whoever was succeeded. After a suspension of this
// process the last call had an answer, so the log is asked first.
std::optional<FencingNumber> WeightSteward::MayOrder(MonotonicTime now) const {
  const auto number = lease_.MayOrder(settings_.engines_check_fencing, now);
  if (!number || stopped_)
    return std::nullopt;
  const bool expired = now >= lease_.expires();
  if (expired && !(log_failing_ && settings_.engines_check_fencing))
    return std::nullopt;
  return number;
}

void WeightSteward::Drop(const EndpointId& endpoint) {
  const auto found = orders_.find(endpoint);
  if (found == orders_.end())
    return;
  loop_.CancelTimer(found->second->timer);
  orders_.erase(found);
}

bool WeightSteward::IsMyTurn(MonotonicTime now) {
  const auto& holding = lease_.holding();
  // Whoever held it last goes on, as nobody has to wait for its end; also a
  // process that has just started in its place.
  if (holding && holding->holder == settings_.entry)
    return true;
  const bool other_holds = holding && cluster_.IsLive(holding->holder);
  std::size_t turns = cluster_.Rank();
  if (other_holds)
    ++turns;
  return now - seen_at_ >= kTurn * static_cast<int>(turns);
}

void WeightSteward::OnTick() {
  if (stopped_ || config_ == nullptr)
    return;
  const MonotonicTime now = loop_.now();
  const std::vector<RolloutEngine> engines = Engines();
  NoteOverdue(engines);
  if (!rollout_.HasWork(engines)) {
    seen_.clear();
    if (!history_read_)
      ReadAlong();
    return;
  }
  std::vector<WeightNumber> seen;
  for (const RolloutEngine& engine : engines)
    seen.push_back(engine.weights);
  if (seen != seen_) {
    seen_ = std::move(seen);
    seen_at_ = now;
  }
  if (IsMyTurn(now)) {
    DriveLease();
    GiveOrders(engines);
  } else if (IsSuccessor() || !history_read_ || deadlines_.HasGuess()) {
    ReadAlong();
  }
}

void WeightSteward::ReadAlong() {
  if (!lease_call_.active() && loop_.now() >= lease_wait_)
    Perform(lease_.Observe(loop_.now()));
}

void WeightSteward::DriveLease() {
  if (lease_call_.active() || loop_.now() < lease_wait_)
    return;
  lease_.SetNote(
      EncodeWeightNote(deadlines_.Namings(), loop_.now(), WallNow()));
  Perform(lease_.Next(loop_.now()));
}

bool WeightSteward::IsSuccessor() const {
  constexpr std::size_t kFirstRanks = 2;
  return cluster_.Rank() < kFirstRanks;
}

void WeightSteward::Perform(const LeaseAction& action) {
  if (const auto* read = std::get_if<ReadLog>(&action))
    ReadLease(read->from);
  else if (const auto* append = std::get_if<AppendLog>(&action))
    AppendLease(append->payload);
  else
    lease_wait_ = std::get<WaitUntil>(action).time;
}

void WeightSteward::ReadLease(LogOffset from) {
  lease_call_.Start(
      client_, loop_, settings_.log,
      SerializeRequest(dialects_.log.EncodeRead(stream_, from, Milliseconds(0)),
                       settings_.log, ""),
      CallOptions(kLeaseCallTimeout),
      [this, from](const FetchOutcome& outcome) {
        const bool held = lease_.IsHolder();
        Result<LogBatch> batch =
            outcome.status
                ? dialects_.log.DecodeRead(*outcome.status, outcome.body, from)
                : Error{ResultCode::kLogUnavailable,
                        std::string(outcome.reason)};
        log_failing_ = !outcome.status;
        OnLeaseRead(batch, outcome.body);
        if (held != lease_.IsHolder()) {
          const auto& holding = lease_.holding();
          LogEvent(LogLevel::kInfo, held ? "lease_lost" : "lease_held",
                   {{"fencing", holding ? holding->number.value() : 0}});
        }
        if (rollout_.HasWork(Engines()) && IsMyTurn(loop_.now()))
          DriveLease();
      });
}

void WeightSteward::OnLeaseRead(const Result<LogBatch>& batch,
                                std::string_view body) {
  const MonotonicTime now = loop_.now();
  if (!batch.ok() && batch.error().code == ResultCode::kLogRecordExpired) {
    if (const auto first = dialects_.log.DecodeFirstRetained(body)) {
      LogEvent(LogLevel::kInfo, "lease_records_dropped",
               {{"first", first->value()}});
      lease_.OnDropped(*first, now);
      return;
    }
  }
  lease_.OnRead(batch, now);
  if (!batch.ok() || !batch.value().records.empty())
    return;
  ReadNote();
  history_read_ = true;
  DateFoundTargets();
}

void WeightSteward::AppendLease(const std::string& payload) {
  std::string body;
  const HttpHead head =
      dialects_.log.EncodeAppend(stream_, payload, std::nullopt, &body);
  lease_call_.Start(
      client_, loop_, settings_.log,
      SerializeRequest(head, settings_.log, body),
      CallOptions(kLeaseCallTimeout), [this](const FetchOutcome& outcome) {
        Result<LogOffset> offset =
            outcome.status
                ? dialects_.log.DecodeAppend(*outcome.status, outcome.body)
                : Error{outcome.sent ? ResultCode::kLogOutcomeUnknown
                                     : ResultCode::kLogUnavailable,
                        std::string(outcome.reason)};
        log_failing_ = !outcome.status;
        lease_.OnAppended(offset, loop_.now());
        DriveLease();
      });
}

void WeightSteward::GiveOrders(const std::vector<RolloutEngine>& engines) {
  const auto number = MayOrder(loop_.now());
  if (!number)
    return;
  for (const RolloutStep& step : rollout_.Next(engines, loop_.now())) {
    cluster_.AnnounceDraining(step.endpoint, *number, kDrainLife);
    if (step.kind == RolloutStepKind::kOrder)
      AskThenOrder(step);
  }
}

void WeightSteward::AskThenOrder(const RolloutStep& step) {
  const EndpointRecord* const record = registry_.Find(step.endpoint);
  if (record == nullptr)
    return;
  Drop(step.endpoint);
  auto order = std::make_shared<Order>();
  order->step = step;
  order->sent = loop_.now();
  order->address = record->address;
  order->born = record->born;
  orders_[step.endpoint] = order;
  order->fetch.Start(
      client_, loop_, order->address,
      SerializeRequest(dialects_.engine.EncodeReportQuestion(), order->address,
                       ""),
      CallOptions(kAnswerTimeout), [this, order](const FetchOutcome& outcome) {
        Result<EngineReport> report =
            outcome.status
                ? dialects_.engine.DecodeReport(*outcome.status, outcome.body)
                : Error{ResultCode::kEndpointFailed,
                        std::string(outcome.reason)};
        if (!report.ok()) {
          rollout_.OnOrderFailed(order->step.endpoint, kAskAgain, loop_.now());
          Drop(order->step.endpoint);
        } else if (report.value().busy) {
          rollout_.OnBusy(order->step.endpoint, kAskAgain, loop_.now());
          Drop(order->step.endpoint);
        } else if (!TakeWeights(order, report.value())) {
          SendOrder(order, report.value());
        }
      });
}

void WeightSteward::SendOrder(const std::shared_ptr<Order>& order,
                              const EngineReport& report) {
  // The process may have been suspended since it held the lease.
  const auto number = MayOrder(loop_.Refresh());
  if (!number) {
    rollout_.OnOrderFailed(order->step.endpoint, kAskAgain, loop_.now());
    Drop(order->step.endpoint);
    return;
  }
  const WeightOrder wanted{.model = order->step.model,
                           .number = order->step.number,
                           .endpoint = order->step.endpoint,
                           .holder = settings_.entry.value(),
                           .fencing = *number,
                           .after_orders = report.orders};
  std::string body;
  const HttpHead head = dialects_.engine.EncodeOrder(wanted, &body);
  LogEvent(LogLevel::kInfo, "order_sent",
           {{"endpoint", order->step.endpoint.value()},
            {"model", order->step.model.value()},
            {"weights", order->step.number.value()},
            {"fencing", number->value()},
            {"after_orders", report.orders}});
  order->fetch.Start(client_, loop_, order->address,
                     SerializeRequest(head, order->address, body),
                     CallOptions(kAnswerTimeout),
                     [this, order](const FetchOutcome& outcome) {
                       OnOrderReply(order, outcome);
                     });
}

void WeightSteward::OnOrderReply(const std::shared_ptr<Order>& order,
                                 const FetchOutcome& outcome) {
  const EndpointId endpoint = order->step.endpoint;
  LogEvent(LogLevel::kInfo, "order_answered",
           {{"endpoint", endpoint.value()},
            {"status", outcome.status.value_or(0)},
            {"reason", outcome.reason}});
  const auto reply =
      outcome.status
          ? std::optional(dialects_.engine.DecodeOrderReply(*outcome.status))
          : std::nullopt;
  if (reply == OrderOutcome::kConflict) {
    rollout_.OnBusy(endpoint, kAskAgain, loop_.now());
    Drop(endpoint);
    return;
  }
  const bool refused = reply && *reply != OrderOutcome::kAccepted &&
                       *reply != OrderOutcome::kAlreadyDone;
  if (refused) {
    rollout_.OnOrderFailed(endpoint, kAskAgain, loop_.now());
    Drop(endpoint);
    return;
  }
  if (!outcome.status) {
    // It may be carried out, now or seconds later. Given again with the same
    // count of orders before it, it is carried out once at most; left alone,
    // engines that lose answers would keep their old weights for ten seconds
    // each.
    rollout_.OnOrderFailed(endpoint, kAskAgain, loop_.now());
    Drop(endpoint);
    return;
  }
  rollout_.OnAccepted(endpoint, loop_.now());
  WatchLater(order, kWatchFirst);
}

bool WeightSteward::TakeWeights(const std::shared_ptr<Order>& order,
                                const EngineReport& report) {
  const EndpointId endpoint = order->step.endpoint;
  const auto found = report.weights.find(order->step.model);
  if (found == report.weights.end() || found->second <= order->step.weights)
    return false;
  reported_[endpoint] = {order->born, report.weights};
  rollout_.OnAdvanced(endpoint);
  LogEvent(
      LogLevel::kInfo, "weights_loaded",
      {{"endpoint", endpoint.value()}, {"weights", found->second.value()}});
  if (on_loaded_)
    on_loaded_(endpoint, order->step.model, found->second);
  Drop(endpoint);
  OnTick();
  return true;
}

void WeightSteward::WatchLater(const std::shared_ptr<Order>& order,
                               Milliseconds wait) {
  order->timer = loop_.AddTimer(loop_.now() + wait, [this, order] {
    order->fetch.Start(client_, loop_, order->address,
                       SerializeRequest(dialects_.engine.EncodeReportQuestion(),
                                        order->address, ""),
                       CallOptions(kAnswerTimeout),
                       [this, order](const FetchOutcome& outcome) {
                         OnWatched(order, outcome);
                       });
  });
}

void WeightSteward::OnWatched(const std::shared_ptr<Order>& order,
                              const FetchOutcome& outcome) {
  const Result<EngineReport> report =
      outcome.status
          ? dialects_.engine.DecodeReport(*outcome.status, outcome.body)
          : Error{ResultCode::kEndpointFailed, std::string(outcome.reason)};
  if (report.ok() && TakeWeights(order, report.value()))
    return;
  // It has crashed in its load and is back with its former weights. Waiting for
  // the end of the order's life would leave its place among those that load
  // without use for seconds.
  if (report.ok() && !report.value().busy) {
    const EndpointId endpoint = order->step.endpoint;
    LogEvent(LogLevel::kWarning, "load_lost",
             {{"endpoint", endpoint.value()},
              {"weights", order->step.number.value()}});
    rollout_.OnOrderFailed(endpoint, kAskAgain, loop_.now());
    Drop(endpoint);
    return;
  }
  if (loop_.now() - order->sent > kMaxWatch) {
    Drop(order->step.endpoint);
    return;
  }
  WatchLater(order, kWatchAgain);
}

}  // namespace carobshift
