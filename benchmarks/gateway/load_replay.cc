#include "benchmarks/gateway/load_replay.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

const ServiceName kEngines("engines");
const ModelName kModel("m");
constexpr int kStores = 2;
constexpr int kSlots = 64;
constexpr Tokens kSystemTokens = 400;
constexpr Milliseconds kEventPollInterval{100};
constexpr Milliseconds kStoreCleanupInterval{1000};
constexpr Milliseconds kDatagramDelay{2};
constexpr Milliseconds kWeightLoadTime{1800};
constexpr Milliseconds kRecordLag{500};

NetAddress AddressOf(const std::string& name) {
  return {name, 1};
}

}  // namespace

struct LoadReplay::Instance {
  explicit Instance(std::string name) : id(std::move(name)) {}

  EntryId id;
  EndpointRegistry registry;
  EndpointHealthTable health;
  RateLimits limits;
  ColdStartLimits cold_starts{{}};
  RejectionLimits rejections;
  ZoneEvacuations evacuations;
  ZoneRegions regions;
  StatedAvailability stated{1};
  EndpointEligibility eligibility{evacuations, regions,    limits,
                                  cold_starts, rejections, stated};
  LoadTracker loads;
  PromptSizes sizes;
  CacheContents contents;
  // The replay announces no weight deadlines.
  WeightDeadlines deadlines{Milliseconds(15000)};
  AttemptPlanner planner{registry, health,   eligibility, loads,
                         sizes,    contents, deadlines};
  OverloadGuard guard;
  CacheRelay relay;
  LoadAggregator load_aggregator;
  std::uint64_t reports = 0;
  std::uint64_t updates = 0;

  [[nodiscard]] Incarnation incarnation() const {
    return Incarnation(FastHash(id.value()));
  }
};

LoadReplay::LoadReplay(const ReplayOptions& options, std::uint64_t seed)
    : options_(options), simulation_(seed) {
  result_.request_classes.resize(options.request_classes.size());
  routes_.resize(options.request_classes.size());
  for (std::size_t i = 0; i < options.request_classes.size(); ++i) {
    routes_[i].name = std::to_string(i);
    routes_[i].latency_target = options.request_classes[i].target;
    routes_[i].priority = static_cast<int>(i);
    routes_[i].prompts = true;
  }
  for (int i = 0; i < options.instances; ++i) {
    instances_.push_back(
        std::make_unique<Instance>("instance-" + std::to_string(i)));
    live_.push_back(instances_.back()->id);
    members_.emplace_back().id = instances_.back()->id;
  }
  for (const auto& instance : instances_) {
    instance->loads.SetOwnLoadCallback(
        [this, from = instance.get()](const auto& id) {
          SendLoadUpdate(*from, id);
        });
  }
  AddHolders();
  AssignRoles();
}

LoadReplay::~LoadReplay() = default;

void LoadReplay::AddHolders() {
  ServingConfig config;
  config.services[kEngines].name = kEngines;
  config.services[kEngines].engine = EngineTraits{kSlots,
                                                  options_.engine.kv_capacity,
                                                  /*store_per_part=*/true,
                                                  options_.event_readers,
                                                  {kModel}};
  for (int i = 0; i < kStores; ++i) {
    const std::string name = "store-" + std::to_string(i);
    stores_.push_back(
        std::make_unique<StoreModel>(simulation_, options_.store_capacity,
                                     options_.store_link_rate, result_.counts));
    holders_[AddressOf(name)] = stores_.back().get();
    store_addresses_[AddressOf(name)] = stores_.back().get();
    holders_by_name_[CacheHolder(name)] = stores_.back().get();
    DeclaredService& service = config.services[ServiceName(name)];
    service.name = ServiceName(name);
    service.store =
        StoreTraits{AddressOf(name), ZoneName("z"), options_.store_capacity,
                    /*managed=*/true, options_.event_readers};
  }
  for (int i = 0; i < options_.engines; ++i) {
    const std::string name = "engine-" + std::to_string(i);
    engines_.push_back(
        std::make_unique<EngineModel>(simulation_, options_.engine, holders_,
                                      store_addresses_, result_.counts));
    holders_[AddressOf(name)] = engines_.back().get();
    holders_by_name_[CacheHolder(name)] = engines_.back().get();
    EndpointRecord record;
    record.id = EndpointId(name);
    record.service = kEngines;
    record.address = AddressOf(name);
    record.slots = kSlots;
    record.weights[kModel] = WeightNumber(1);
    records_.push_back(record);
  }
  for (const auto& instance : instances_) {
    instance->planner.SetConfig(config);
    if (options_.abandons_slow_fetches) {
      instance->planner.SetWaitEstimate(
          [guard = &instance->guard](const ServiceName& service, double ahead) {
            return guard->ExpectedWait(service, ahead);
          });
    }
    for (const EndpointRecord& record : records_)
      instance->registry.Put(record, simulation_.now());
    // The instances have known the holders for long.
    const MonotonicTime now = simulation_.now();
    for (const auto& [holder, model] : holders_by_name_) {
      instance->contents.OnEvents(holder, model->log().After(0, now),
                                  now - CacheContents::kFetchLease);
    }
  }
}

ReplayResult LoadReplay::Run(Milliseconds time) {
  for (std::size_t request_class = 0;
       request_class < options_.request_classes.size(); ++request_class)
    ScheduleArrival(request_class);
  SendLoadReports();
  ReadEvents();
  ExpireLoads();
  FreeStores();
  simulation_.RunFor(time);
  for (const auto& engine : engines_)
    result_.most_running =
        std::max(result_.most_running, engine->most_running());
  return result_;
}

void LoadReplay::ScheduleArrival(std::size_t request_class) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  constexpr double kSteps = 1e6;
  SeededRandom& random = simulation_.random();
  const double uniform =
      (static_cast<double>(random.Below(static_cast<std::uint64_t>(kSteps))) +
       1) /
      (kSteps + 1);
  const double gap =
      -std::log(uniform) / options_.request_classes[request_class].per_second;
  simulation_.After(
      Microseconds(static_cast<std::int64_t>(gap * kMicrosecondsPerSecond)),
      [this, request_class] {
        ScheduleArrival(request_class);
        const auto call = std::make_shared<Call>();
        call->request_class = request_class;
        call->arrived = simulation_.now();
        CallerRequest& request = call->setup.request;
        request.id = RequestId("r" + std::to_string(++calls_));
        request.prompt = DrawPrompt(request_class, request.id);
        call->setup.route = &routes_[request_class];
        call->setup.service = kEngines;
        ++result_.request_classes[request_class].offered;
        SendToInstance(call);
      });
}

Tokens LoadReplay::DrawSize(const RequestClassLoad& load,
                            Tokens mean,
                            SeededRandom& random) {
  if (load.size_spread == 0)
    return mean;
  // The sum of twelve uniform random numbers is nearly normal, with a standard
  // deviation of 1.
  constexpr int kTerms = 12;
  double normal = -kTerms / 2.0;
  for (int i = 0; i < kTerms; ++i)
    normal += static_cast<double>(random.Next() >> 11) * 0x1.0p-53;
  const double spread = load.size_spread;
  const double factor = std::exp(spread * normal - spread * spread / 2);
  return std::max<Tokens>(1, std::llround(static_cast<double>(mean) * factor));
}

PromptTraits LoadReplay::DrawPrompt(std::size_t request_class,
                                    const RequestId& request) {
  const RequestClassLoad& load = options_.request_classes[request_class];
  const std::string session = "session-" + std::to_string(request_class) + "-" +
                              std::to_string(simulation_.random().Below(
                                  static_cast<std::uint64_t>(load.sessions)));
  SeededRandom of_session(FastHash(session));
  const Tokens session_tokens = DrawSize(load, load.session_tokens, of_session);
  const Tokens own_tokens =
      DrawSize(load, load.own_tokens, simulation_.random());
  return {kModel,
          kSystemTokens + session_tokens + own_tokens,
          load.output_tokens,
          {{"system", kSystemTokens},
           {session, session_tokens},
           {request.value(), own_tokens}}};
}

void LoadReplay::RecordOutcome(const Call& call, bool served) {
  result_.request_classes[call.request_class].outcomes.push_back(
      {call.setup.request.prompt->prompt_tokens, served});
}

double RequestClassResult::ServedBetween(double from, double to) const {
  std::vector<SizedOutcome> ordered = outcomes;
  std::stable_sort(ordered.begin(), ordered.end(),
                   [](const SizedOutcome& a, const SizedOutcome& b) {
                     return a.prompt_tokens < b.prompt_tokens;
                   });
  const auto place = [&ordered](double share) {
    return static_cast<std::ptrdiff_t>(share *
                                       static_cast<double>(ordered.size()));
  };
  const auto first = ordered.begin() + place(from);
  const auto last = ordered.begin() + place(to);
  if (first == last)
    return 0;
  const auto served = std::count_if(
      first, last, [](const SizedOutcome& one) { return one.served; });
  return static_cast<double>(served) / static_cast<double>(last - first);
}

void LoadReplay::SendToInstance(const std::shared_ptr<Call>& call) {
  Instance& instance =
      *instances_[simulation_.random().Below(instances_.size())];
  const auto footprint = RequestFootprint::Of(call->setup.request);
  instance.sizes.OnPrompt(call->setup.route->name,
                          static_cast<double>(footprint.TotalTokens()));
  Serve(instance, call);
}

bool LoadReplay::QueriesAggregators() const {
  return options_.queries_aggregators &&
         instances_.size() > LoadQueryService::kMaxReportingInstances;
}

LoadReplay::Instance& LoadReplay::AggregatorAt(std::uint64_t endpoint) {
  const MemberInfo* const aggregator = FindLoadAggregator(endpoint, members_);
  return *instances_[static_cast<std::size_t>(aggregator - members_.data())];
}

void LoadReplay::SendLoadUpdate(Instance& instance,
                                const EndpointId& endpoint) {
  const LoadUpdate update{instance.incarnation(), ++instance.updates,
                          FastHash(endpoint.value()),
                          instance.loads.OwnLoadAt(endpoint)};
  simulation_.After(kDatagramDelay, [this, update] {
    AggregatorAt(update.endpoint)
        .load_aggregator.OnUpdate(update, simulation_.now());
  });
}

void LoadReplay::Serve(Instance& instance, const std::shared_ptr<Call>& call) {
  if (!QueriesAggregators()) {
    Place(instance, call, {});
    return;
  }
  const LoadShortlist shortlist =
      instance.planner.Shortlist(call->setup, simulation_.now());
  simulation_.After(2 * kDatagramDelay, [this, &instance, call, shortlist] {
    QueryLoads(instance, shortlist.first);
    if (!options_.queries_twice || shortlist.second.empty() ||
        !instance.planner.NeedsSecondQuery(call->setup, shortlist.first)) {
      Place(instance, call, shortlist.first);
      return;
    }
    simulation_.After(2 * kDatagramDelay, [this, &instance, call, shortlist] {
      QueryLoads(instance, shortlist.second);
      std::vector<EndpointId> both = shortlist.first;
      both.insert(both.end(), shortlist.second.begin(), shortlist.second.end());
      Place(instance, call, both);
    });
  });
}

void LoadReplay::QueryLoads(Instance& instance,
                            const std::vector<EndpointId>& endpoints) {
  for (const EndpointId& id : endpoints) {
    const std::uint64_t endpoint = FastHash(id.value());
    instance.loads.OnAggregateLoad(
        endpoint,
        AggregatorAt(endpoint).load_aggregator.Others(
            endpoint, instance.incarnation(), simulation_.now()),
        simulation_.now());
  }
}

void LoadReplay::Place(Instance& instance,
                       const std::shared_ptr<Call>& call,
                       const std::vector<EndpointId>& shortlist) {
  const auto plan =
      instance.planner.Plan(call->setup, {}, simulation_.now(), shortlist);
  const OverloadDecision verdict =
      plan ? instance.guard.Decide(
                 {.service = kEngines,
                  .ahead = plan->queue_ahead_of_mean.Total(),
                  .latency_target = call->setup.route->latency_target,
                  .urgency = call->setup.route->priority,
                  .hash = simulation_.random().Next()})
           : OverloadDecision{true, Milliseconds(0), Milliseconds(500)};
  if (plan && (!verdict.refused || !options_.sheds_load)) {
    Send(instance, call, *plan);
    return;
  }
  if (std::exchange(call->retried, true)) {
    ++result_.request_classes[call->request_class].refused;
    RecordOutcome(*call, /*served=*/false);
    return;
  }
  simulation_.After(verdict.retry_after,
                    [this, call] { SendToInstance(call); });
}

void LoadReplay::Send(Instance& instance,
                      const std::shared_ptr<Call>& call,
                      const AttemptPlan& plan) {
  const auto footprint = RequestFootprint::Of(call->setup.request);
  const EndpointId endpoint = plan.endpoint.id;
  instance.loads.OnStart(endpoint, footprint, plan.prefill_tokens);
  const auto found = std::find_if(
      records_.begin(), records_.end(),
      [&endpoint](const auto& record) { return record.id == endpoint; });
  EngineModel& engine =
      *engines_[static_cast<std::size_t>(found - records_.begin())];
  const MonotonicTime sent = simulation_.now();
  engine.Submit(
      {plan, *call->setup.request.prompt,
       [this, &instance, call, plan, sent] {
         const Microseconds waited = simulation_.now() - call->arrived;
         instance.loads.OnPrefillDone(plan.endpoint.id, plan.prefill_tokens);
         instance.guard.OnFirstToken(kEngines, plan.cost,
                                     simulation_.now() - sent);
         RequestClassResult& request_class =
             result_.request_classes[call->request_class];
         ++(waited <= call->setup.route->latency_target
                ? request_class.in_target
                : request_class.late);
         RecordOutcome(*call, /*served=*/true);
         result_.longest_wait =
             std::max(result_.longest_wait,
                      std::chrono::duration_cast<Milliseconds>(waited));
       },
       [&instance, endpoint, footprint] {
         instance.loads.OnEnd(endpoint, footprint);
       }});
}

void LoadReplay::DeployWeights(std::uint64_t number) {
  LoadNextEngines(number, 0);
}

void LoadReplay::LoadNextEngines(std::uint64_t number, int engine) {
  if (engine >= options_.engines)
    return;
  constexpr int kAtOnce = 2;
  std::set<EndpointId> loading;
  for (int i = engine; i < std::min(engine + kAtOnce, options_.engines); ++i) {
    engines_[static_cast<std::size_t>(i)]->LoadWeights(kWeightLoadTime);
    loading.insert(records_[static_cast<std::size_t>(i)].id);
    simulation_.After(kWeightLoadTime + kRecordLag,
                      [this, i, number] { PublishWeights(i, number); });
  }
  for (const auto& instance : instances_)
    instance->planner.SetDraining(loading);
  simulation_.After(kWeightLoadTime + kRecordLag, [this, number, engine] {
    for (const auto& instance : instances_)
      instance->planner.SetDraining({});
    LoadNextEngines(number, engine + kAtOnce);
  });
}

void LoadReplay::PublishWeights(int engine, std::uint64_t number) {
  EndpointRecord& record = records_[static_cast<std::size_t>(engine)];
  record.weights[kModel] = WeightNumber(number);
  for (const auto& instance : instances_)
    instance->registry.Put(record, simulation_.now());
}

void LoadReplay::RemoveEngines(int count) {
  for (int i = 0; i < count; ++i) {
    for (const auto& instance : instances_) {
      instance->registry.Remove(records_[static_cast<std::size_t>(i)].id,
                                RemovalCause::kAnnounced, simulation_.now());
    }
  }
}

void LoadReplay::SendLoadReports() {
  for (const auto& sender : instances_) {
    LoadReport report;
    report.sender = Incarnation(std::hash<std::string>{}(sender->id.value()));
    report.sequence = ++sender->reports;
    report.period = LoadTracker::PeriodFor(instances_.size());
    report.loads = sender->loads.OwnLoads();
    simulation_.After(kDatagramDelay, [this, report, from = sender.get()] {
      for (const auto& instance : instances_) {
        if (instance.get() != from)
          instance->loads.OnPeerReport(report, simulation_.now());
      }
    });
  }
  simulation_.After(LoadTracker::PeriodFor(instances_.size()),
                    [this] { SendLoadReports(); });
}

void LoadReplay::ExpireLoads() {
  for (const auto& instance : instances_)
    instance->loads.Expire(simulation_.now());
  simulation_.After(kEventPollInterval, [this] { ExpireLoads(); });
}

void LoadReplay::AssignRoles() {
  for (const EntryId& id : live_) {
    const CacheReaderRoles of_instance(live_, id);
    for (const auto& [holder, model] : holders_by_name_)
      roles_[holder].push_back(
          of_instance.RoleFor(holder, options_.event_readers));
  }
}

CacheReaderRole LoadReplay::RoleOf(const CacheHolder& holder,
                                   std::size_t instance) const {
  if (options_.relays_cache_events)
    return roles_.at(holder)[instance];
  // Without relayed events, the first instances read and all others have no
  // cache information.
  return instance < static_cast<std::size_t>(options_.event_readers)
             ? CacheReaderRole::kReader
             : CacheReaderRole::kReceiver;
}

void LoadReplay::ReadEventsAt(std::size_t index) {
  const MonotonicTime now = simulation_.now();
  Instance& instance = *instances_[index];
  for (const auto& [holder, model] : holders_by_name_) {
    const CacheReaderRole role = RoleOf(holder, index);
    if (role == CacheReaderRole::kReceiver)
      continue;
    const std::uint64_t since = instance.contents.next(holder);
    const StoreEvents events = model->log().After(since, now);
    instance.contents.OnEvents(holder, events, now);
    if (role == CacheReaderRole::kForwarder)
      instance.relay.OnRead(holder, since, events, /*send_long_ranges=*/false);
  }
  for (const CacheUpdate& update :
       instance.relay.TakeMessages(instance.contents, now))
    simulation_.After(kDatagramDelay,
                      [this, update] { DeliverCacheUpdate(update); });
}

void LoadReplay::DeliverCacheUpdate(const CacheUpdate& update) {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    CacheContents& contents = instances_[i]->contents;
    for (const HolderUpdate& of_holder : update.holders) {
      if (RoleOf(of_holder.holder, i) != CacheReaderRole::kReceiver)
        continue;
      contents.OnPeerUpdate(of_holder, simulation_.now());
      contents.OnClock(*update.clock, simulation_.now());
    }
  }
}

void LoadReplay::ReadEvents() {
  for (std::size_t i = 0; i < instances_.size(); ++i)
    ReadEventsAt(i);
  simulation_.After(kEventPollInterval, [this] { ReadEvents(); });
}

void LoadReplay::FreeStores() {
  simulation_.After(kStoreCleanupInterval, [this] { FreeStores(); });
  if (!options_.frees_stores)
    return;
  Instance& first = *instances_.front();
  std::vector<ScopedEngine> engines;
  for (const auto& [id, record] : first.registry.all())
    engines.push_back({kModel, first.planner.WeightsOf(record, kModel)});
  part_selector_.SetObsolete(ObsoleteScopes(engines, {}), simulation_.now());
  std::vector<CacheHolder> names;
  for (int i = 0; i < kStores; ++i)
    names.emplace_back("store-" + std::to_string(i));
  for (const FreeOrder& order :
       part_selector_.NextOrders(names, first.contents, simulation_.now())) {
    store_addresses_.at(AddressOf(order.store.value()))->Free(order.parts);
    first.contents.OnFreed(order.store, order.parts);
  }
}

}  // namespace carobshift
