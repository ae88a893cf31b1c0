#include "fuzz/fleet_world.h"

#include <algorithm>
#include <utility>

namespace carobshift {
namespace {

constexpr Milliseconds kRoundInterval{200};
constexpr Milliseconds kMaxGossipDelay{1500};
constexpr Milliseconds kNoNewWorkAfter{2000};
constexpr Milliseconds kListLag{500};
constexpr int kEngines = 9;
// Two failed polls detect a dead engine; two more rounds pass until the
// detection takes effect.
constexpr Milliseconds kDetectionLag{1000};

ServiceSpec MakeService(const std::string& name, int replicas, int floor) {
  ServiceSpec service;
  service.name = ServiceName(name);
  service.pool = PoolName("gpu");
  service.replicas = replicas;
  service.floor = floor;
  service.model = ModelName("model-" + name);
  service.weights = WeightVersion("v1");
  return service;
}

}  // namespace

FleetWorld::FleetWorld(std::uint64_t seed, const FleetWorldOptions& options)
    : simulation_(seed), options_(options) {
  declaration_.pools.push_back({.name = PoolName("gpu"),
                                .kind = ServiceKind::kModel,
                                .checks_fencing = true});
  declaration_.services = {MakeService("front", 4, 2),
                           MakeService("base", 2, 1)};
  declaration_.services[0].depends_on = {ServiceName("base")};
  for (int i = 0; i < kEngines; ++i)
    AddEngine();
  for (int i = 0; i < 3; ++i) {
    entries_.push_back({.view = EndpointView(options.view), .facts = {}});
  }
  MakeLeaseHolder(0);
  for (std::size_t i = 0; i < entries_.size(); ++i)
    RunEntry(i);
}

std::vector<std::string> FleetWorld::Run() {
  simulation_.RunFor(Seconds(25));
  for (int step = 0; step < 20; ++step) {
    InjectFault();
    simulation_.RunFor(random().Between(Milliseconds(100), Seconds(6)));
  }
  faults_off_ = true;
  for (Entry& entry : entries_)
    entry.list_outage = false;
  simulation_.RunFor(Seconds(120));
  CheckConverged();
  return violations_;
}

void FleetWorld::AddViolation(const std::string& what) {
  violations_.push_back(what + " at " +
                        std::to_string(now().time_since_epoch().count()));
}

void FleetWorld::AddEngine() {
  Engine engine;
  engine.status.incarnation = random().Next();
  engines_[EndpointId("engine-" + std::to_string(engines_made_++))] = engine;
}

void FleetWorld::MakeLeaseHolder(std::size_t index) {
  lease_holder_ = index;
  // Not covered: a successor that can't read the list while its predecessor
  // could. It doesn't know of new engines that are already loading.
  entries_[index].list_outage = false;
  PollList(entries_[index]);
  fencing_number_ = FencingNumber(fencing_number_.value() + 1);
  FleetOptions fleet_options;
  fleet_options.mutation = options_.planner;
  planner_.emplace(fleet_options);
  planner_->BeginLeaseTerm(now());
  drains_ = DrainFacts();
}

void FleetWorld::RunEntry(std::size_t index) {
  Entry& entry = entries_[index];
  PollList(entry);
  for (auto& [id, engine] : engines_)
    PollStatus(entry, id, engine);
  for (const EndpointId& id : entry.view.LeavingEndpoints()) {
    Engine& engine = engines_.at(id);
    if (!engine.leaving_seen)
      engine.leaving_seen = now();
  }
  for (const Fact& fact : LeavingFacts(entry.view.LeavingEndpoints()))
    Publish(index, fact);
  UpdateViewFacts(entry);
  if (index == lease_holder_)
    RunPlanner();
  for (int i = 0; i < 3; ++i)
    DispatchWork(entry);
  CheckConcurrentLoads();
  simulation_.After(kRoundInterval, [this, index] { RunEntry(index); });
}

// The list shows a leaving engine after a lag that differs per read, as with
// replicated reads.
void FleetWorld::PollList(Entry& entry) {
  if (entry.list_outage)
    return;
  const Milliseconds lag = random().Between(Milliseconds(0), kListLag);
  std::vector<ListedInstance> list;
  for (const auto& [id, engine] : engines_) {
    const bool shown =
        engine.listed_leaving && now() - *engine.listed_leaving >= lag;
    list.push_back(
        {.id = id.value(),
         .kind = InstanceKind::kEngine,
         .state = shown ? InstanceState::kLeaving : InstanceState::kLive,
         .pool = PoolName("gpu"),
         .zone = ZoneName("zone"),
         .address = {"127.0.0.1", 1}});
  }
  entry.view.OnList(list, now());
}

void FleetWorld::ReportLoad(Engine& engine) {
  if (now() - engine.reported_at < Milliseconds(900))
    return;
  engine.reported_running = engine.status.running;
  engine.reported_at = now();
}

void FleetWorld::PollStatus(Entry& entry,
                            const EndpointId& id,
                            Engine& engine) {
  if (!engine.alive) {
    entry.view.OnFailure(id, now());
    return;
  }
  ReportLoad(engine);
  EngineStatus status = engine.status;
  status.running = engine.reported_running;
  entry.view.OnStatus(id, status, now());
}

void FleetWorld::UpdateViewFacts(Entry& entry) {
  std::set<std::string> leaving;
  std::set<std::string> draining;
  entry.facts.Expire(now());
  for (const Fact& fact : entry.facts.Active(FactKind::kEndpointLeaving, now()))
    leaving.insert(fact.subject);
  for (const Fact& fact :
       entry.facts.Active(FactKind::kEndpointDraining, now()))
    draining.insert(fact.subject);
  entry.view.OnFacts(leaving, draining, now());
}

void FleetWorld::Publish(std::size_t from, const Fact& fact) {
  if (!entries_[from].facts.Publish(fact, now()))
    return;
  RecordDrain(fact);
  for (std::size_t to = 0; to < entries_.size(); ++to) {
    simulation_.After(
        random().Between(Milliseconds(1), kMaxGossipDelay),
        [this, to, fact] { (void)entries_[to].facts.Publish(fact, now()); });
  }
}

void FleetWorld::RecordDrain(const Fact& fact) {
  if (fact.kind != FactKind::kEndpointDraining)
    return;
  Engine& engine = engines_.at(EndpointId(fact.subject));
  if (!fact.active)
    engine.drained_since.reset();
  else if (!engine.drained_since)
    engine.drained_since = now();
}

void FleetWorld::DispatchWork(Entry& entry) {
  const ServiceSpec& service =
      declaration_.services[random().Below(declaration_.services.size())];
  const auto available = entry.view.EligibleEndpoints(service, now());
  if (available.empty())
    return;
  const EndpointId id = available[random().Below(available.size())].id;
  Engine& engine = engines_.at(id);
  CheckDispatch(id, engine);
  const bool accepts = engine.alive &&
                       engine.status.state == EngineState::kReady &&
                       engine.status.role == service.name;
  if (!accepts)
    return;
  ++engine.status.running;
  const std::uint64_t incarnation = engine.status.incarnation;
  simulation_.After(random().Between(Milliseconds(50), Seconds(2)),
                    [this, id, incarnation] {
                      Engine& ran = engines_.at(id);
                      if (ran.status.incarnation == incarnation)
                        --ran.status.running;
                    });
}

void FleetWorld::CheckDispatch(const EndpointId& id, const Engine& engine) {
  if (engine.leaving_seen && now() - *engine.leaving_seen > kNoNewWorkAfter)
    AddViolation("new work to leaving " + id.value());
  if (engine.drained_since && now() - *engine.drained_since > kNoNewWorkAfter)
    AddViolation("new work to draining " + id.value());
}

void FleetWorld::RunPlanner() {
  Entry& entry = entries_[lease_holder_];
  const FleetPlan plan =
      planner_->Plan(declaration_, entry.view.Observed(InstanceKind::kEngine),
                     {}, fencing_number_, now());
  CheckNewDrains(plan);
  std::set<std::string> active;
  for (const Fact& fact :
       entry.facts.Active(FactKind::kEndpointDraining, now()))
    active.insert(fact.subject);
  if (!plan.keep_drains) {
    for (const Fact& fact :
         drains_.Update(plan.drains, active, fencing_number_))
      Publish(lease_holder_, fact);
  }
  UpdateViewFacts(entry);
  for (const FleetOrder& order : plan.orders) {
    CheckDependencies(order);
    planner_->OnOrderSent(order, now());
    // Some orders are lost; others arrive late but within their timeout.
    if (!faults_off_ && random().Chance(0.1))
      continue;
    simulation_.After(random().Between(Milliseconds(1), Milliseconds(900)),
                      [this, order] { ApplyOrder(order); });
  }
}

void FleetWorld::CheckNewDrains(const FleetPlan& plan) {
  for (const FleetDrain& drain : plan.drains) {
    const Engine& engine = engines_.at(drain.endpoint);
    const ServiceSpec* service = declaration_.FindService(engine.status.role);
    const bool begins = !engine.drained_since && engine.alive &&
                        engine.status.state == EngineState::kReady;
    if (!begins || service == nullptr)
      continue;
    if (Serving(*service) - 1 < service->floor)
      AddViolation("a planned stop below the floor of " +
                   service->name.value());
  }
}

int FleetWorld::Serving(const ServiceSpec& service) const {
  int serving = 0;
  for (const auto& [id, engine] : engines_) {
    const bool lost =
        (engine.gone_since && now() - *engine.gone_since > kDetectionLag) ||
        (engine.leaving_seen && now() - *engine.leaving_seen > kNoNewWorkAfter);
    if (!lost && !engine.drained_since &&
        engine.status.state == EngineState::kReady &&
        engine.status.role == service.name)
      ++serving;
  }
  return serving;
}

void FleetWorld::CheckDependencies(const FleetOrder& order) {
  const ServiceSpec* service = declaration_.FindService(order.order.role);
  if (service == nullptr || order.order.kind != OrderKind::kLoad)
    return;
  for (const ServiceName& name : service->depends_on) {
    const ServiceSpec* needed = declaration_.FindService(name);
    if (Serving(*needed) < needed->floor)
      AddViolation("loaded before its dependency " + name.value());
  }
}

void FleetWorld::ApplyOrder(const FleetOrder& order) {
  Engine& engine = engines_.at(order.endpoint);
  if (engine.gone_since || order.order.fencing < engine.status.fencing)
    return;
  engine.status.fencing = order.order.fencing;
  if (order.order.kind == OrderKind::kSetRole ||
      engine.status.state == EngineState::kLoading)
    return;
  const bool same = engine.status.model == order.order.model &&
                    engine.status.version == order.order.version &&
                    engine.status.role == order.order.role;
  if (same)
    return;
  if (engine.status.running > 0)
    AddViolation("an order interrupted requests");
  if (order.order.kind == OrderKind::kLoad) {
    StartLoad(order.endpoint, order.order);
  } else {
    engine.status.state = EngineState::kIdle;
    engine.status.role = ServiceName();
    engine.status.version = WeightVersion();
  }
}

void FleetWorld::StartLoad(const EndpointId& id, const EngineOrder& order) {
  Engine& engine = engines_.at(id);
  engine.status.state = EngineState::kLoading;
  engine.status.role = order.role;
  const std::uint64_t load = ++engine.loads;
  simulation_.After(random().Between(Seconds(1), Seconds(4)),
                    [this, id, order, load] {
                      Engine& loaded = engines_.at(id);
                      if (!loaded.alive || loaded.loads != load)
                        return;
                      loaded.status.state = EngineState::kReady;
                      loaded.status.model = order.model;
                      loaded.status.version = order.version;
                      loaded.status.adapters = order.adapters;
                    });
}

void FleetWorld::CheckConcurrentLoads() {
  const auto loading =
      std::count_if(engines_.begin(), engines_.end(), [](const auto& item) {
        return item.second.alive &&
               item.second.status.state == EngineState::kLoading;
      });
  if (loading > 2)
    AddViolation("more than two swaps at once");
}

void FleetWorld::InjectFault() {
  auto it = engines_.begin();
  std::advance(it,
               static_cast<std::ptrdiff_t>(random().Below(engines_.size())));
  Engine& engine = it->second;
  switch (random().Below(8)) {
    case 0:
      engine.alive = false;
      engine.gone_since = engine.gone_since.value_or(now());
      AddEngine();
      break;
    case 1:
      // Announced only by the list.
      engine.listed_leaving = engine.listed_leaving.value_or(now());
      AddEngine();
      break;
    case 2:
      // Announced only by the engine.
      if (engine.alive)
        engine.status.state = EngineState::kLeaving;
      engine.gone_since = engine.gone_since.value_or(now());
      ++engine.loads;
      AddEngine();
      break;
    case 3:
    case 4:
      declaration_.services[random().Below(2)].weights =
          WeightVersion("v" + std::to_string(++weights_));
      break;
    case 5:
      declaration_.services[0].replicas =
          2 + static_cast<int>(random().Below(4));
      break;
    case 6:
      MakeLeaseHolder(random().Below(entries_.size()));
      break;
    default:
      entries_[random().Below(entries_.size())].list_outage =
          random().Chance(0.6);
  }
}

void FleetWorld::CheckConverged() {
  for (const ServiceSpec& service : declaration_.services) {
    int converged = 0;
    for (const auto& [id, engine] : engines_) {
      if (!engine.gone_since && !engine.listed_leaving &&
          !engine.drained_since && engine.status.role == service.name &&
          engine.status.state == EngineState::kReady &&
          RunsDeclared(engine.status, service))
        ++converged;
    }
    if (converged != service.replicas)
      AddViolation("the declared replicas were not restored: " +
                   service.name.value() + " has " + std::to_string(converged) +
                   " of " + std::to_string(service.replicas));
  }
}

}  // namespace carobshift
