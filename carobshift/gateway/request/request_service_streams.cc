// The part of RequestService that keeps streams at the service and the software
// version that began them.

#include <algorithm>
#include <utility>
#include <vector>

#include "carobshift/gateway/request/request_resolver.h"
#include "carobshift/gateway/request/request_service.h"
#include "carobshift/gateway/streams/stream_continuation.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

// A caller may take its stream up until its deadline; the rest covers requests
// that are under way then.
constexpr Milliseconds kRecordReserve{2000};

std::optional<AccountId> AccountOf(const ExchangeSetup& setup) {
  if (setup.account == nullptr)
    return std::nullopt;
  return setup.account->name;
}

bool TakesUpStream(const ExchangeSetup& setup) {
  return setup.route->streaming && setup.request.last_event.has_value();
}

// Returns whether `config`, which may be newer than the one that led the
// request to its service, leads it to that service alone.
bool LeadsToSameService(const ServingConfigSnapshot* config,
                        const ExchangeSetup& setup) {
  const Result<ResolvedRequest> resolved =
      ResolveRequest(config, setup.request);
  if (!resolved.ok())
    return false;
  const std::vector<WeightedService>& services =
      resolved.value().route->services;
  return services.size() == 1 && services.front().service == setup.service;
}

}  // namespace

void RequestService::Begin(const std::shared_ptr<ExchangeRun>& run) {
  const ExchangeSetup& setup = run->exchange().setup();
  if (RefusesParts(run->exchange())) {
    run->exchange().RefuseToStart(ResultCode::kRequestSuspected, loop_.now());
    return;
  }
  if (!TakesUpStream(setup)) {
    Place(run);
    return;
  }
  const auto& handed = runs_.at(&run->exchange()).handed_beginning;
  if (handed) {
    ContinueStream(run, {handed, StreamSource::kHandoff});
    return;
  }
  if (stream_directory_ == nullptr) {
    ContinueStream(run, {});
    return;
  }
  const SoleVersionQuestion question = SoleVersionQuestionOf(setup);
  // A record goes before what the service's versions show.
  if (!setup.request.stream_beginning && SoleVersion(question)) {
    ContinueAtSoleVersion(run);
    return;
  }
  // A request that names no beginning has an id that no stream has yet, and
  // learns only what can be said of the service.
  const RequestId& beginning =
      setup.request.stream_beginning.value_or(setup.request.id);
  stream_directory_->Find(
      StreamKeyOf(AccountOf(setup), beginning), question,
      [this, run, question, asked = loop_.now()](const StreamLookup& lookup) {
        // The caller may have disconnected meanwhile.
        if (!run->exchange().over())
          OnStreamLookup(run, lookup, question, asked);
      });
}

void RequestService::OnStreamLookup(const std::shared_ptr<ExchangeRun>& run,
                                    const StreamLookup& lookup,
                                    const SoleVersionQuestion& question,
                                    MonotonicTime asked) {
  if (lookup.beginning) {
    ContinueStream(run, lookup);
    return;
  }
  // The records of the instance that answered may be older than those here, and
  // lack a version.
  if (lookup.sole_version) {
    registry_.OnSoftwareLearned(
        {question.service, *lookup.sole_version, question.span, asked},
        loop_.now());
  }
  ContinueAtSoleVersion(run);
}

void RequestService::ContinueAtSoleVersion(
    const std::shared_ptr<ExchangeRun>& run) {
  const ExchangeSetup& setup = run->exchange().setup();
  StreamLookup known;
  if (LeadsToSameService(config_.get(), setup))
    known.sole_version = SoleVersion(SoleVersionQuestionOf(setup));
  // Another instance may have read a new version's record sooner, or a
  // configuration, and begun the stream there.
  const bool may_be_outdated =
      known.sole_version && !HasReadUpTo(setup.arrived);
  if (may_be_outdated &&
      loop_.now() - setup.arrived < Exchange::kMaxResumeWait) {
    take_ups_.push_back(run);
    return;
  }
  if (may_be_outdated)
    known.sole_version.reset();
  ContinueStream(run, known);
}

bool RequestService::HasReadUpTo(MonotonicTime time) const {
  return records_as_of_() >= time &&
         (!config_as_of_ || config_as_of_() >= time);
}

void RequestService::ContinueStream(const std::shared_ptr<ExchangeRun>& run,
                                    const StreamLookup& lookup) {
  Exchange& exchange = run->exchange();
  const ExchangeSetup& setup = exchange.setup();
  const Continuation next =
      DecideContinuation(*setup.route, setup.service, lookup);
  if (next.refusal != ResultCode::kOk) {
    LogEvent(LogLevel::kWarning, "stream_not_continued",
             {{"request", setup.request.id.value()},
              {"beginning", setup.request.stream_beginning
                                ? setup.request.stream_beginning->value()
                                : std::string()},
              {"code", ResultCodeName(next.refusal)},
              {"began_at", next.beginning.service.value()},
              {"registry", registry_.revision()}});
    exchange.RefuseToStart(next.refusal, loop_.now());
    return;
  }
  runs_.at(&exchange).stream_source = next.source;
  exchange.BindTo(next.beginning.service, next.beginning.software);
  Place(run);
}

SoleVersionQuestion RequestService::SoleVersionQuestionOf(
    const ExchangeSetup& setup) const {
  return {setup.service, LongestStream(loop_.now())};
}

std::optional<SoftwareVersion> RequestService::SoleVersion(
    const SoleVersionQuestion& question) const {
  const auto as_of = records_as_of_ ? records_as_of_() : std::nullopt;
  if (!as_of || loop_.now() - *as_of > SoftwareHistory::kMaxRecordAge)
    return std::nullopt;
  if (stream_routes_.HasMoved(question.service, loop_.now()))
    return std::nullopt;
  // The instance that asks may not have seen longer timeouts.
  const Milliseconds span = std::max(question.span, LongestStream(loop_.now()));
  return registry_.software_history().SoleVersion(question.service, span,
                                                  loop_.now());
}

void RequestService::OnStreamBegins(Exchange& exchange) {
  const ExchangeSetup& setup = exchange.setup();
  // The record of a stream that is taken up again names its first request, and
  // that of a handed-over one is kept by the instance that has the caller.
  if (stream_directory_ == nullptr || !setup.route->resumable ||
      setup.request.handed_over || TakesUpStream(setup))
    return;
  const MonotonicTime end =
      setup.arrived +
      std::max(setup.request.time_left.value_or(Milliseconds(0)),
               setup.route->timeout) +
      kRecordReserve;
  stream_directory_->Publish(
      {StreamKeyOf(AccountOf(setup), setup.request.id),
       {setup.service, *setup.software},
       std::chrono::duration_cast<Milliseconds>(end - loop_.now())});
}

void RequestService::ResumeSuspendedStreams(MonotonicTime now) {
  std::vector<std::shared_ptr<ExchangeRun>> suspended;
  for (const auto& [exchange, running] : runs_) {
    if (exchange->suspended())
      suspended.push_back(running.run);
  }
  for (const auto& run : suspended)
    run->exchange().OnTick(now);
}

void RequestService::ReportContinuation(const Running& running,
                                        const AttemptParams& wish,
                                        const EndpointRecord& endpoint) {
  const ExchangeSetup& setup = running.run->exchange().setup();
  const CallerRequest& request = setup.request;
  const bool by_caller = !wish.repeat && wish.last_event == request.last_event;
  const std::string_view by = by_caller ? "caller" : "instance";
  metrics_.Add("carobshift_streams_continued_total",
               {{"service", setup.service.value()}, {"by", by}}, 1);
  LogEvent(
      LogLevel::kInfo, "stream_continued",
      {{"request", request.id.value()},
       {"attempt", wish.number.value()},
       {"by", by},
       {"beginning", request.stream_beginning
                         ? request.stream_beginning->value()
                         : std::string()},
       {"known_from", StreamSourceName(running.stream_source)},
       {"bound_to", setup.software ? setup.software->value() : std::string()},
       {"last_event", wish.last_event->value()},
       {"endpoint", endpoint.id.value()},
       {"software", endpoint.software.value()},
       {"born", endpoint.start_time.value()},
       {"registry", registry_.revision()}});
}

}  // namespace carobshift
