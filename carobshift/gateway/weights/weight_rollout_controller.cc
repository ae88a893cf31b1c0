#include "carobshift/gateway/weights/weight_rollout_controller.h"

#include <utility>

#include "carobshift/gateway/connection_options.h"
#include "carobshift/gateway/weights/weight_note.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr char kLeaseStream[] = "carobshift-lease";
constexpr Milliseconds kLeaseCallTimeout{900};
// An engine answers within a few milliseconds. If it has not answered by then,
// the answer is lost or the engine will execute the order later. A longer wait
// would keep another engine from loading.
constexpr Milliseconds kAnswerTimeout{150};
// Time after which an order has reached its engine or is lost; part of the
// successor's wait. TCP retransmits a lost segment after 200 ms.
constexpr Milliseconds kOrderTimeout{400};
constexpr Milliseconds kConnectTimeout{300};
// Delay before an engine that is busy with another order, or did not answer, is
// queried again.
constexpr Milliseconds kRetryDelay{100};
// Lifetime of the announcement that an engine is draining: as long as its load
// may take. The drain ends earlier when the engine reports its new weights.
constexpr Milliseconds kDrainLifetime{3000};
// An engine is first polled for the result of an order when the shortest load
// may be complete, then every kPollInterval, for at most kMaxPollTime in all.
constexpr Milliseconds kFirstPollDelay{900};
constexpr Milliseconds kPollInterval{200};
constexpr Milliseconds kMaxPollTime{6000};

LeaseOptions LeaseOptionsOf(const GatewaySettings& settings) {
  LeaseOptions options;
  options.duration = settings.lease;
  options.order_timeout = kOrderTimeout;
  // The gossip port is bound before the first tick.
  options.address = NetAddress{settings.host, settings.gossip_port}.ToString();
  return options;
}

FetchOptions CallOptions(Milliseconds timeout,
                         std::size_t max_body = FetchOptions{}.max_body) {
  FetchOptions options;
  options.call.connect_timeout = kConnectTimeout;
  options.timeout = timeout;
  options.stall_timeout = timeout;
  options.max_body = max_body;
  return options;
}

}  // namespace

WeightRolloutController::WeightRolloutController(
    EventLoop& loop,
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

void WeightRolloutController::SetTarget(const ModelName& model,
                                        WeightNumber number) {
  RaiseTarget(model, number);
  deadlines_.OnNamed(model, number, loop_.now());
  lease_.RequestRenewal();
  lease_wait_ = {};
}

void WeightRolloutController::SetInitialTarget(const ModelName& model,
                                               WeightNumber number) {
  RaiseTarget(model, number);
  found_targets_[model] = std::max(found_targets_[model], number);
  // Until more is known, the bound counts from now, and the holders' records
  // are read to their end again.
  deadlines_.MergeNaming({model, number, loop_.now(), NamingSource::kAssumed});
  lease_history_read_ = false;
}

void WeightRolloutController::RaiseTarget(const ModelName& model,
                                          WeightNumber number) {
  const auto before = rollout_.Target(model);
  rollout_.SetTarget(model, number);
  if (before == rollout_.Target(model))
    return;
  LogEvent(LogLevel::kInfo, "weights_named",
           {{"model", model.value()}, {"number", number.value()}});
}

void WeightRolloutController::ReadNote() {
  const auto& holding = lease_.holding();
  // This process knows its own namings better than its own note.
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
    deadlines_.MergeNaming(naming);
}

void WeightRolloutController::ResolveFoundTargetTimes() {
  for (const auto& [model, number] : found_targets_) {
    const bool has_note = !deadlines_.IsAssumedTime(model, number);
    // Some holder writes a note within one turn (kSuccessionDelay) of each
    // naming. If the retained records have no note of this naming, it is
    // younger than they are. If no records are retained, it may be older than
    // all dropped ones, and nothing may begin on weights before it.
    const bool is_old = !has_note && lease_.HistoryDropped();
    if (is_old) {
      deadlines_.MergeNaming({model, number,
                              loop_.now() - settings_.weights_replacement_bound,
                              NamingSource::kAssumed});
    }
    LogEvent(LogLevel::kInfo, "weights_dated",
             {{"model", model.value()},
              {"number", number.value()},
              {"by", has_note ? "note"
                     : is_old ? "history_gone"
                              : "start"}});
  }
  found_targets_.clear();
}

void WeightRolloutController::LogOverdueChanges(
    const std::vector<RolloutEngine>& engines) {
  std::set<EndpointId> overdue;
  for (const RolloutEngine& engine : engines) {
    if (!deadlines_.IsOverdue(engine.model, engine.weights, loop_.now()))
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

std::vector<RolloutEngine> WeightRolloutController::Engines() const {
  std::vector<RolloutEngine> engines;
  for (const auto& [id, record] : registry_.all()) {
    if (record.leaving)
      continue;
    for (const ModelName& model : ModelsOf(record))
      engines.push_back({id, model, WeightsOf(record, model)});
  }
  return engines;
}

std::set<ModelName> WeightRolloutController::ModelsOf(
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

WeightNumber WeightRolloutController::WeightsOf(const EndpointRecord& record,
                                                const ModelName& model) const {
  const auto named = record.weights.find(model);
  // Unknown weights may be the oldest.
  const WeightNumber recorded =
      named == record.weights.end() ? WeightNumber{} : named->second;
  const auto reported = reported_.find(record.id);
  if (reported == reported_.end() ||
      reported->second.start_time != record.start_time)
    return recorded;
  const auto reported_weights = reported->second.weights.find(model);
  return reported_weights == reported->second.weights.end()
             ? recorded
             : std::max(recorded, reported_weights->second);
}

std::set<EndpointId> WeightRolloutController::OutdatedEndpoints(
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

// After the lease has expired, orders are permitted only while the log does not
// answer: an unnoticed successor cannot have acquired the lease through it for
// longer than the lease protects, and engines that check fencing reject a
// superseded holder. After a suspension of this process the last call had an
// answer, so the log is read first.
std::optional<FencingNumber> WeightRolloutController::MayOrder(
    MonotonicTime now) const {
  const auto number = lease_.MayOrder(settings_.engines_check_fencing, now);
  if (!number || stopped_ || LeavesOrdersToOthers())
    return std::nullopt;
  const bool expired = now >= lease_.expires();
  if (expired && !(log_failing_ && settings_.engines_check_fencing))
    return std::nullopt;
  return number;
}

void WeightRolloutController::DropOrder(const EndpointId& endpoint) {
  const auto found = orders_.find(endpoint);
  if (found == orders_.end())
    return;
  loop_.CancelTimer(found->second->timer);
  orders_.erase(found);
}

bool WeightRolloutController::LeavesOrdersToOthers() const {
  if (reaches_engines_(settings_.entry))
    return false;
  const std::vector<MemberInfo>& live = cluster_.Live();
  return std::any_of(live.begin(), live.end(), [this](const auto& member) {
    return member.id != settings_.entry && reaches_engines_(member.id);
  });
}

std::size_t WeightRolloutController::RankInReach() const {
  std::size_t rank = 0;
  for (const MemberInfo& member : cluster_.Live()) {
    if (member.id == settings_.entry)
      break;
    if (reaches_engines_(member.id))
      ++rank;
  }
  return rank;
}

bool WeightRolloutController::ShouldSeekLease(MonotonicTime now) {
  if (LeavesOrdersToOthers())
    return false;
  const auto& holding = lease_.holding();
  // The last holder continues, since it need not wait for the lease to expire;
  // this includes a process that has just started in its place.
  if (holding && holding->holder == settings_.entry)
    return true;
  const bool other_holds = holding && cluster_.IsLive(holding->holder) &&
                           reaches_engines_(holding->holder);
  std::size_t delays = RankInReach();
  if (other_holds)
    ++delays;
  return now - last_change_ >= kSuccessionDelay * static_cast<int>(delays);
}

void WeightRolloutController::OnTick() {
  if (stopped_ || config_ == nullptr)
    return;
  const MonotonicTime now = loop_.now();
  const std::vector<RolloutEngine> engines = Engines();
  LogOverdueChanges(engines);
  if (!rollout_.HasWork(engines)) {
    last_engine_weights_.clear();
    if (!lease_history_read_)
      ObserveLease();
    return;
  }
  std::vector<WeightNumber> seen;
  for (const RolloutEngine& engine : engines)
    seen.push_back(engine.weights);
  if (seen != last_engine_weights_) {
    last_engine_weights_ = std::move(seen);
    last_change_ = now;
  }
  if (ShouldSeekLease(now)) {
    DriveLease();
    ExecuteSteps(engines);
  } else if (IsSuccessor() || !lease_history_read_ ||
             deadlines_.HasAssumedTime()) {
    ObserveLease();
  }
}

void WeightRolloutController::ObserveLease() {
  if (!lease_call_.active() && loop_.now() >= lease_wait_)
    Perform(lease_.Observe(loop_.now()));
}

void WeightRolloutController::DriveLease() {
  if (lease_call_.active() || loop_.now() < lease_wait_)
    return;
  lease_.SetNote(
      EncodeWeightNote(deadlines_.Namings(), loop_.now(), WallNow()));
  Perform(lease_.Next(loop_.now()));
}

bool WeightRolloutController::IsSuccessor() const {
  constexpr std::size_t kFirstRanks = 2;
  return cluster_.Rank() < kFirstRanks;
}

void WeightRolloutController::Perform(const LeaseAction& action) {
  if (const auto* read = std::get_if<ReadLog>(&action))
    ReadLease(read->from);
  else if (const auto* append = std::get_if<AppendLog>(&action))
    AppendLease(append->payload);
  else
    lease_wait_ = std::get<WaitUntil>(action).time;
}

void WeightRolloutController::ReadLease(LogOffset from) {
  lease_call_.Start(
      client_, loop_, settings_.log,
      SerializeRequest(dialects_.log.EncodeRead(stream_, from, Milliseconds(0)),
                       settings_.log, ""),
      CallOptions(kLeaseCallTimeout, kMaxLogReplyBytes),
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
        if (rollout_.HasWork(Engines()) && ShouldSeekLease(loop_.now()))
          DriveLease();
      });
}

void WeightRolloutController::OnLeaseRead(const Result<LogBatch>& batch,
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
  lease_history_read_ = true;
  ResolveFoundTargetTimes();
}

void WeightRolloutController::AppendLease(const std::string& payload) {
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

void WeightRolloutController::ExecuteSteps(
    const std::vector<RolloutEngine>& engines) {
  const auto number = MayOrder(loop_.now());
  if (!number)
    return;
  for (const RolloutStep& step : rollout_.Next(engines, loop_.now())) {
    cluster_.AnnounceDraining(step.endpoint, *number, kDrainLifetime);
    if (step.kind == RolloutStepKind::kOrder)
      QueryThenOrder(step);
  }
}

void WeightRolloutController::QueryThenOrder(const RolloutStep& step) {
  const EndpointRecord* const record = registry_.Find(step.endpoint);
  if (record == nullptr)
    return;
  DropOrder(step.endpoint);
  auto order = std::make_shared<Order>();
  order->step = step;
  order->sent = loop_.now();
  order->address = record->address;
  order->start_time = record->start_time;
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
          rollout_.OnOrderFailed(order->step.endpoint, kRetryDelay,
                                 loop_.now());
          DropOrder(order->step.endpoint);
        } else if (report.value().busy) {
          rollout_.OnBusy(order->step.endpoint, kRetryDelay, loop_.now());
          DropOrder(order->step.endpoint);
        } else if (!UpdateLoadedWeights(order, report.value())) {
          SendOrder(order, report.value());
        }
      });
}

void WeightRolloutController::SendOrder(const std::shared_ptr<Order>& order,
                                        const EngineReport& report) {
  // The process may have been suspended since it checked the lease.
  const auto number = MayOrder(MonotonicNow());
  if (!number) {
    rollout_.OnOrderFailed(order->step.endpoint, kRetryDelay, loop_.now());
    DropOrder(order->step.endpoint);
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

void WeightRolloutController::OnOrderReply(const std::shared_ptr<Order>& order,
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
    rollout_.OnBusy(endpoint, kRetryDelay, loop_.now());
    DropOrder(endpoint);
    return;
  }
  const bool refused = reply && *reply != OrderOutcome::kAccepted &&
                       *reply != OrderOutcome::kAlreadyDone;
  if (refused) {
    rollout_.OnOrderFailed(endpoint, kRetryDelay, loop_.now());
    DropOrder(endpoint);
    return;
  }
  if (!outcome.status) {
    // The order may still be executed, now or seconds later. Repeated with the
    // same count of preceding orders, it is executed at most once. Without the
    // repetition, engines that lose answers would keep their old weights for
    // ten seconds each.
    rollout_.OnOrderFailed(endpoint, kRetryDelay, loop_.now());
    DropOrder(endpoint);
    return;
  }
  rollout_.OnAccepted(endpoint, loop_.now());
  SchedulePoll(order, kFirstPollDelay);
}

bool WeightRolloutController::UpdateLoadedWeights(
    const std::shared_ptr<Order>& order,
    const EngineReport& report) {
  const EndpointId endpoint = order->step.endpoint;
  const auto found = report.weights.find(order->step.model);
  if (found == report.weights.end() || found->second <= order->step.weights)
    return false;
  reported_[endpoint] = {order->start_time, report.weights};
  rollout_.OnNewerWeights(endpoint);
  LogEvent(
      LogLevel::kInfo, "weights_loaded",
      {{"endpoint", endpoint.value()}, {"weights", found->second.value()}});
  if (on_loaded_)
    on_loaded_(endpoint, order->step.model, found->second);
  DropOrder(endpoint);
  OnTick();
  return true;
}

void WeightRolloutController::SchedulePoll(const std::shared_ptr<Order>& order,
                                           Milliseconds wait) {
  order->timer = loop_.AddTimer(loop_.now() + wait, [this, order] {
    order->fetch.Start(client_, loop_, order->address,
                       SerializeRequest(dialects_.engine.EncodeReportQuestion(),
                                        order->address, ""),
                       CallOptions(kAnswerTimeout),
                       [this, order](const FetchOutcome& outcome) {
                         OnPollAnswer(order, outcome);
                       });
  });
}

void WeightRolloutController::OnPollAnswer(const std::shared_ptr<Order>& order,
                                           const FetchOutcome& outcome) {
  const Result<EngineReport> report =
      outcome.status
          ? dialects_.engine.DecodeReport(*outcome.status, outcome.body)
          : Error{ResultCode::kEndpointFailed, std::string(outcome.reason)};
  if (report.ok() && UpdateLoadedWeights(order, report.value()))
    return;
  // The engine crashed during its load and is back with its previous weights.
  // Waiting for the order to time out would waste its slot among the loading
  // engines for seconds.
  if (report.ok() && !report.value().busy) {
    const EndpointId endpoint = order->step.endpoint;
    LogEvent(LogLevel::kWarning, "load_lost",
             {{"endpoint", endpoint.value()},
              {"weights", order->step.number.value()}});
    rollout_.OnOrderFailed(endpoint, kRetryDelay, loop_.now());
    DropOrder(endpoint);
    return;
  }
  if (loop_.now() - order->sent > kMaxPollTime) {
    DropOrder(order->step.endpoint);
    return;
  }
  SchedulePoll(order, kPollInterval);
}

}  // namespace carobshift
