// The part of RequestService that holds requests without room at any endpoint.

#include <algorithm>
#include <utility>
#include <vector>

#include "carobshift/gateway/admission/wait_limits.h"
#include "carobshift/gateway/request/request_resolver.h"
#include "carobshift/gateway/request/request_service.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

// Memory of a waiting request beside its body: head, prompt parts and tables.
constexpr std::size_t kWaitingRequestBytes = 4096;
constexpr Milliseconds kWaitingRetryPause = WaitingRoomOptions().retry_pause;

std::string_view RefusalName(WaitRefusal refusal) {
  switch (refusal) {
    case WaitRefusal::kFull:
      return "full";
    case WaitRefusal::kNoTime:
      return "no_time";
    case WaitRefusal::kNone:
      break;
  }
  return "none";
}

}  // namespace

WaitingRoom& RequestService::RoomOf(const ServiceName& service) {
  auto& room = rooms_[service];
  if (room == nullptr) {
    room = std::make_unique<WaitingRoom>(
        WaitingRoomOptions(), [this](const AccountId& account) {
          return account_usage_.Of(account, loop_.now());
        });
  }
  return *room;
}

bool RequestService::MayWait(const ExchangeSetup& setup) {
  return setup.request.prompt && setup.route->streaming &&
         setup.route->latency_target > Milliseconds(0);
}

WaitingRequest RequestService::WaitingRequestOf(const Exchange& exchange,
                                                const AttemptPlan& plan) {
  const ExchangeSetup& setup = exchange.setup();
  const Milliseconds time_to_answer = overload_.ExpectedWait(
      setup.service, plan.cost - plan.queue_ahead.Total());
  const WaitLimits limits = WaitLimitsOf(*setup.route, setup.arrived,
                                         exchange.deadline(), time_to_answer);
  WaitingRequest request;
  // A caller may send two requests with the same id.
  request.id =
      RequestId(setup.request.id.value() + "." + std::to_string(++last_wait_));
  if (setup.account != nullptr)
    request.account = setup.account->name;
  request.kind = setup.route->name;
  request.urgency = plan.fields.urgency.value_or(0);
  // The mean of the kind: by its own need, the largest prompts of a kind would
  // be held back while smaller ones pass them.
  request.cost = sizes_.Mean(setup.route->name);
  request.bytes = setup.request.body.size() + kWaitingRequestBytes;
  request.arrived = setup.arrived;
  request.target = limits.target;
  request.last_start = limits.last_start;
  return request;
}

RequestService::Admission RequestService::Admit(Exchange& exchange,
                                                Running& running,
                                                const AttemptPlan& plan) {
  const ExchangeSetup& setup = exchange.setup();
  const OverloadDecision verdict = JudgeLoad(setup, plan);
  if (!MayWait(setup)) {
    if (!verdict.refused)
      return Admission::kStart;
    running.retry_after = verdict.retry_after;
    LogRefusal(setup, plan, verdict, verdict.retry_after);
    return Admission::kRefuse;
  }
  if (running.wait_id)
    return AdmitWaiting(exchange, running, plan);
  WaitingRoom& room = RoomOf(setup.service);
  const MonotonicTime now = loop_.now();
  const WaitingRequest request = WaitingRequestOf(exchange, plan);
  if (!verdict.refused && !room.MustQueue(request, now))
    return Admission::kStart;
  const WaitDecision decision = room.Enter(request, now);
  if (decision.refusal != WaitRefusal::kNone) {
    running.retry_after = decision.retry_after;
    CountWait(setup, RefusalName(decision.refusal));
    LogRefusal(setup, plan, verdict, decision.retry_after);
    return Admission::kRefuse;
  }
  running.wait_id = request.id;
  running.wait_target = request.target;
  waiting_[request.id] = &exchange;
  CountWait(setup, "waits");
  LogEvent(
      LogLevel::kInfo, "request_waits",
      {{"request", setup.request.id.value()},
       {"route", setup.route->name},
       {"urgency", request.urgency},
       {"ahead", static_cast<std::int64_t>(plan.queue_ahead_of_mean.Total())},
       {"endpoint_wait_ms", verdict.expected.count()},
       {"target_ms", setup.route->latency_target.count()},
       {"expected_ms", decision.expected_wait.count()},
       {"waiting", room.size()},
       {"start_rate", static_cast<std::int64_t>(room.start_rate())},
       {"has_room", !verdict.refused}});
  ScheduleWaitingTry(verdict.refused ? now + kWaitingRetryPause : now);
  return Admission::kWait;
}

RequestService::Admission RequestService::AdmitWaiting(
    Exchange& exchange,
    Running& running,
    const AttemptPlan& plan) {
  const ExchangeSetup& setup = exchange.setup();
  const MonotonicTime now = loop_.now();
  WaitingRoom& room = RoomOf(setup.service);
  if (!HasRoomForWaiting(setup, running, plan)) {
    room.OnNoRoom(*running.wait_id, now);
    return Admission::kWait;
  }
  room.OnStarted(*running.wait_id, now);
  EndWait(exchange, running);
  CountWait(setup, "started");
  LogEvent(
      LogLevel::kInfo, "wait_over",
      {{"request", setup.request.id.value()},
       {"route", setup.route->name},
       {"waited_ms",
        std::chrono::duration_cast<Milliseconds>(now - setup.arrived).count()},
       {"waiting", room.size()}});
  ScheduleWaitingTry(now);
  return Admission::kStart;
}

bool RequestService::HasRoomForWaiting(const ExchangeSetup& setup,
                                       const Running& running,
                                       const AttemptPlan& plan) const {
  if (JudgeLoad(setup, plan).refused)
    return false;
  // A late request leaves room for another one that can still be in time.
  const bool late = loop_.now() > running.wait_target;
  return !late || plan.queue_ahead_of_mean.free_memory >=
                      2 * plan.queue_ahead_of_mean.need;
}

void RequestService::CountWait(const ExchangeSetup& setup,
                               std::string_view outcome) {
  metrics_.Add("carobshift_waiting_total",
               {{"route", setup.route->name}, {"outcome", outcome}}, 1);
}

void RequestService::ScheduleWaitingTry(MonotonicTime at) {
  if (waiting_.empty() || (next_waiting_try_ && *next_waiting_try_ <= at))
    return;
  next_waiting_try_ = at;
  loop_.AddTimer(at, [this, at] {
    if (next_waiting_try_ != at)
      return;
    next_waiting_try_.reset();
    TryWaiting();
  });
}

void RequestService::TryWaiting() {
  const MonotonicTime now = loop_.now();
  std::vector<std::shared_ptr<ExchangeRun>> next;
  for (const auto& [service, room] : rooms_) {
    RefuseExpired(*room);
    while (const std::optional<RequestId> id = room->Next(now)) {
      const auto found = waiting_.find(*id);
      if (found == waiting_.end())
        room->Leave(*id);
      else
        next.push_back(runs_.at(found->second).run);
    }
  }
  for (const auto& run : next) {
    if (run->exchange().over())
      continue;
    Running& running = runs_.at(&run->exchange());
    // The peer that gets the request admits it like its own.
    if (WouldHandOver(run->exchange().setup()))
      EndWait(run->exchange(), running);
    running.shortlist.clear();
    Place(run);
  }
  ScheduleWaitingTry(now + kWaitingRetryPause);
}

void RequestService::RefuseExpired(WaitingRoom& room) {
  for (const ExpiredWait& expired : room.Expire(loop_.now())) {
    const auto found = waiting_.find(expired.id);
    if (found == waiting_.end())
      continue;
    Exchange& exchange = *found->second;
    Running& running = runs_.at(&exchange);
    running.retry_after = expired.retry_after;
    CountWait(exchange.setup(), "expired");
    LogEvent(LogLevel::kInfo, "wait_expired",
             {{"request", exchange.request().id.value()},
              {"route", exchange.setup().route->name},
              {"waiting", room.size()}});
    exchange.RefuseToStart(ResultCode::kOverloaded, loop_.now());
  }
}

void RequestService::EndWait(const Exchange& exchange, Running& running) {
  if (!running.wait_id)
    return;
  RoomOf(exchange.setup().service).Leave(*running.wait_id);
  waiting_.erase(*running.wait_id);
  running.wait_id.reset();
}

void RequestService::RecheckWaiting() {
  std::vector<std::pair<std::shared_ptr<ExchangeRun>, ResultCode>> refused;
  for (const auto& [id, exchange] : waiting_) {
    const Result<ResolvedRequest> resolved =
        ResolveRequest(config_.get(), exchange->request());
    if (!resolved.ok())
      refused.emplace_back(runs_.at(exchange).run, resolved.error().code);
  }
  for (const auto& [run, code] : refused) {
    CountWait(run->exchange().setup(), "not_allowed");
    run->exchange().RefuseToStart(code, loop_.now());
  }
}

}  // namespace carobshift
