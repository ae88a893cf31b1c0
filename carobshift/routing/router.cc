#include "carobshift/routing/router.h"

#include <algorithm>
#include <array>

namespace carobshift {

namespace {

constexpr std::array kStrategies = {
    RoutingStrategy{"ours", &ChooseLeastExpectedTime},
    RoutingStrategy{"round_robin", &ChooseRoundRobin},
    RoutingStrategy{"least_loaded", &ChooseLeastLoaded},
    RoutingStrategy{"prefix_affinity", &ChoosePrefixAffinity},
};

std::uint64_t Mix(std::uint64_t value) {
  value ^= value >> 33;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33;
  value *= 0xc4ceb9fe1a85ec53ULL;
  return value ^ (value >> 33);
}

Microseconds PrefillTime(const EndpointLoad& load, Tokens tokens) {
  return Microseconds(static_cast<std::int64_t>(static_cast<double>(tokens) /
                                                load.prefill_rate * 1e6));
}

Microseconds Stretch(Microseconds time, double factor) {
  return Microseconds(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

Tokens EstimatedQueuedPrefill(const EndpointLoad& load) {
  const Tokens others = std::max<Tokens>(
      0, load.reported_queued_prefill - load.own_prefill_at_report);
  return others + load.own_pending_prefill;
}

Microseconds ExpectedWait(const EndpointLoad& load) {
  const double over = EstimatedInProgress(load) + 1 - load.limit;
  Microseconds wait = PrefillTime(load, EstimatedQueuedPrefill(load));
  if (over > 0)
    wait += Stretch(load.slot_time, over);
  return wait;
}

bool IsExcluded(const RoutingInput& input, std::size_t endpoint) {
  const auto& excluded = input.request.excluded;
  return std::find(excluded.begin(), excluded.end(), endpoint) !=
         excluded.end();
}

Tokens CachedAt(const RoutingInput& input, std::size_t endpoint) {
  for (const CacheHit& hit : input.hits) {
    if (hit.endpoint == endpoint)
      return hit.cached;
  }
  return 0;
}

// Mean utilization of the limits of the healthy endpoints.
double MeanUse(const RoutingInput& input) {
  double in_progress = 0;
  double limits = 0;
  for (const EndpointLoad& load : input.endpoints) {
    if (load.health != EndpointHealth::kHealthy)
      continue;
    in_progress += EstimatedInProgress(load);
    limits += load.limit;
  }
  return limits > 0 ? in_progress / limits : 0;
}

// Bounded loads: returns whether the endpoint's load exceeds kLoadBound times
// the mean plus the new request. An endpoint below half of its limit is never
// over the bound.
bool IsOverBound(const EndpointLoad& load, double mean_use) {
  const double allowed = kLoadBound * mean_use * load.limit + 1;
  return EstimatedInProgress(load) > std::max(allowed, 0.5 * load.limit);
}

class BestChoice {
 public:
  explicit BestChoice(const RoutingInput& input) : input_(input) {}

  void Consider(std::size_t endpoint, Tokens cached) {
    const RoutingChoice choice = EvaluateEndpoint(input_, endpoint, cached);
    if (best_.found() &&
        choice.expected_first_token >= best_.expected_first_token)
      return;
    best_ = choice;
  }

  [[nodiscard]] const RoutingChoice& best() const { return best_; }

 private:
  const RoutingInput& input_;
  RoutingChoice best_;
};

// Returns the first endpoint whose probe is due. Probing it makes it no longer
// due, so no state is needed to take the endpoints in turn.
std::optional<std::size_t> FindProbeDue(const RoutingInput& input) {
  for (std::size_t i = 0; i < input.endpoints.size(); ++i) {
    if (input.endpoints[i].health == EndpointHealth::kProbeDue &&
        !IsExcluded(input, i))
      return i;
  }
  return std::nullopt;
}

void ConsiderHolders(const RoutingInput& input,
                     double mean_use,
                     BestChoice* best) {
  std::size_t considered = 0;
  for (const CacheHit& hit : input.hits) {
    if (considered == kMaxHolders)
      return;
    if (hit.endpoint >= input.endpoints.size())
      continue;
    const EndpointLoad& load = input.endpoints[hit.endpoint];
    if (load.health != EndpointHealth::kHealthy ||
        IsOverBound(load, mean_use) || IsExcluded(input, hit.endpoint))
      continue;
    best->Consider(hit.endpoint, hit.cached);
    ++considered;
  }
}

void ConsiderSample(const RoutingInput& input,
                    double mean_use,
                    BestChoice* best) {
  const std::size_t count = input.endpoints.size();
  std::uint64_t draw = Mix(input.request.request_hash);
  std::size_t considered = 0;
  // Draws with replacement. Up to twice as many draws as samples, so that
  // ejected and full endpoints don't use up the sample.
  for (std::size_t i = 0;
       i < 2 * kSampledEndpoints && considered < kSampledEndpoints; ++i) {
    draw = Mix(draw + i + 1);
    const std::size_t endpoint = draw % count;
    const EndpointLoad& load = input.endpoints[endpoint];
    if (load.health != EndpointHealth::kHealthy ||
        IsOverBound(load, mean_use) || IsExcluded(input, endpoint))
      continue;
    best->Consider(endpoint, CachedAt(input, endpoint));
    ++considered;
  }
}

// Used when the sample contains no candidate: chooses from all endpoints, the
// healthy ones first. A slow answer is better than none.
RoutingChoice ChooseAny(const RoutingInput& input) {
  for (const bool healthy_only : {true, false}) {
    BestChoice best(input);
    for (std::size_t i = 0; i < input.endpoints.size(); ++i) {
      const bool healthy =
          input.endpoints[i].health == EndpointHealth::kHealthy;
      if ((healthy || !healthy_only) && !IsExcluded(input, i))
        best.Consider(i, CachedAt(input, i));
    }
    if (best.best().found())
      return best.best();
  }
  return {};
}

RoutingChoice Baseline(const RoutingInput& input,
                       std::size_t endpoint,
                       RouteReason reason) {
  RoutingChoice choice =
      EvaluateEndpoint(input, endpoint, CachedAt(input, endpoint));
  choice.reason = reason;
  return choice;
}

}  // namespace

std::span<const RoutingStrategy> RoutingStrategies() {
  return kStrategies;
}

const RoutingStrategy* FindRoutingStrategy(std::string_view name) {
  for (const RoutingStrategy& strategy : kStrategies) {
    if (strategy.name == name)
      return &strategy;
  }
  return nullptr;
}

int EstimatedInProgress(const EndpointLoad& load) {
  const int reported = load.reported_running + load.reported_queued;
  return std::max(0, reported - load.own_at_report) + load.own_in_progress;
}

RoutingChoice EvaluateEndpoint(const RoutingInput& input,
                               std::size_t endpoint,
                               Tokens cached) {
  const EndpointLoad& load = input.endpoints[endpoint];
  const Tokens prompt = input.request.prompt_tokens;
  RoutingChoice choice;
  choice.reason = RouteReason::kLeastExpectedTime;
  choice.endpoint = endpoint;
  choice.cached = std::min(cached, prompt);
  choice.prefill = prompt - choice.cached;
  Microseconds ready = PrefillTime(load, choice.prefill);
  for (std::size_t i = 0; i < input.imports.size(); ++i) {
    const ImportOption& option = input.imports[i];
    const Tokens rest = std::max<Tokens>(0, prompt - option.tokens);
    const Microseconds time = option.link_time + PrefillTime(load, rest);
    if (option.tokens <= choice.cached || time >= ready)
      continue;
    choice.import = i;
    choice.cached = std::min(option.tokens, prompt);
    choice.prefill = rest;
    ready = time;
  }
  choice.unloaded_first_token = ready;
  choice.expected_wait = ExpectedWait(load);
  choice.expected_first_token =
      Stretch(choice.expected_wait + ready, load.slowdown);
  if (load.zone != input.request.zone)
    choice.expected_first_token += kZoneRoundTrip;
  return choice;
}

RoutingChoice ChooseLeastExpectedTime(const RoutingInput& input) {
  if (input.endpoints.empty())
    return {};
  if (const auto probe = FindProbeDue(input)) {
    RoutingChoice choice = Baseline(input, *probe, RouteReason::kProbe);
    return choice;
  }
  const double mean_use = MeanUse(input);
  BestChoice best(input);
  ConsiderHolders(input, mean_use, &best);
  ConsiderSample(input, mean_use, &best);
  return best.best().found() ? best.best() : ChooseAny(input);
}

RoutingChoice ChooseRoundRobin(const RoutingInput& input) {
  const std::size_t count = input.endpoints.size();
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t endpoint = (input.turn + i) % count;
    if (!IsExcluded(input, endpoint))
      return Baseline(input, endpoint, RouteReason::kRoundRobin);
  }
  return {};
}

RoutingChoice ChooseLeastLoaded(const RoutingInput& input) {
  std::optional<std::size_t> least;
  for (std::size_t i = 0; i < input.endpoints.size(); ++i) {
    if (IsExcluded(input, i))
      continue;
    if (!least || EstimatedInProgress(input.endpoints[i]) <
                      EstimatedInProgress(input.endpoints[*least]))
      least = i;
  }
  return least ? Baseline(input, *least, RouteReason::kLeastLoaded)
               : RoutingChoice{};
}

RoutingChoice ChoosePrefixAffinity(const RoutingInput& input) {
  std::optional<std::size_t> first;
  std::uint64_t highest = 0;
  for (std::size_t i = 0; i < input.endpoints.size(); ++i) {
    const std::uint64_t score = Mix(input.request.prefix_hash ^ Mix(i + 1));
    if (IsExcluded(input, i) || (first && score <= highest))
      continue;
    first = i;
    highest = score;
  }
  return first ? Baseline(input, *first, RouteReason::kPrefixAffinity)
               : RoutingChoice{};
}

}  // namespace carobshift
