// A deployment whose endpoints crash on a part of prompts: how many of them
// end, and how many sound requests are answered at their first attempt, side by
// side.
//
// The load is that of an incident: 17 endpoints, some hundred requests a second
// in sessions that share first parts, and a few requests a second with the
// crashing part among sound ones. Endpoints come back after some seconds.
// Instances tell each other what they see, with delays and losses.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "carobshift/gateway/request/part_suspects.h"

namespace carobshift {
namespace {

constexpr Milliseconds kStep{5};
constexpr MonotonicTime kBegin{Seconds(1000)};
constexpr Milliseconds kCrashesBegin{10'000};
constexpr Milliseconds kRunTime{40'000};
constexpr Milliseconds kDownTime{3000};
constexpr Milliseconds kTimeToCrash{60};
constexpr Milliseconds kReportHold{60};
constexpr Milliseconds kRepeatInterval{1000};
// As the platform counts: from this long after the fifth crash.
constexpr Milliseconds kAdoptionTime{3000};
constexpr Milliseconds kRecoveryTime{6000};
constexpr int kMaxLateArrivals = 3;
const ServiceName kService("engines");

// Where a crashing part stands among the parts of its request.
enum class Place { kFirst, kMiddle, kLastButOne };

struct Scenario {
  int instances = 7;
  int endpoints = 17;
  int requests_per_second = 90;
  double crashing_per_second = 4;
  int crashing_parts = 1;
  Place place = Place::kFirst;
  // A third of the endpoints crashes every 3 s, for another reason.
  bool waves = false;
  // The first owner of the crashing part starts anew at 20 s.
  bool restart = false;
  // Instance 0 gets and sends no message from 9 to 14 s.
  bool cut = false;
  bool refuses = true;
  bool refuses_all = false;
};

struct Request {
  std::vector<PartDigest> parts;
  bool crashes = false;
  bool counted = false;
  std::size_t instance = 0;
  int attempts = 0;
  MonotonicTime sent{};
  std::size_t endpoint = 0;
  MonotonicTime begins{};
  bool answered = false;
};

struct Endpoint {
  std::uint64_t incarnation = 0;
  MonotonicTime up_at{};
  std::optional<MonotonicTime> crashes_at;
};

struct Message {
  MonotonicTime due{};
  std::size_t to = 0;
  std::optional<PartCrash> crash{};
  std::optional<PartVerdict> verdict{};
};

struct Outcome {
  int crashes = 0;
  // Requests with a crashing part that reached endpoints too late.
  int late_arrivals = 0;
  int sound = 0;
  int answered_at_first_attempt = 0;
  int sound_refused = 0;
  int messages = 0;

  [[nodiscard]] double SoundShare() const {
    return sound == 0 ? 1 : answered_at_first_attempt / double(sound);
  }
};

class World {
 public:
  World(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario),
        engine_(seed),
        instances_(static_cast<std::size_t>(scenario.instances)),
        endpoints_(static_cast<std::size_t>(scenario.endpoints)) {
    for (std::size_t i = 0; i < instances_.size(); ++i)
      Start(i);
    for (std::size_t i = 0; i < endpoints_.size(); ++i)
      endpoints_[i].incarnation = ++incarnations_;
  }

  Outcome Run() {
    for (now_ = kBegin; now_ < kBegin + kRunTime; now_ += kStep) {
      Deliver();
      Disturb();
      Arrive();
      Progress();
      Tick();
    }
    return outcome_;
  }

 private:
  [[nodiscard]] bool OneIn(double count) {
    return std::uniform_real_distribution<double>(0, count)(engine_) < 1;
  }
  [[nodiscard]] int Between(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(engine_);
  }

  void Start(std::size_t index) {
    instances_[index] = std::make_unique<PartSuspects>();
    // Consecutive instances own a part.
    instances_[index]->SetOwnerRank([this, index](PartDigest part) {
      const std::size_t first = part.value() % instances_.size();
      return (index + instances_.size() - first) % instances_.size();
    });
  }

  void Send(std::size_t from, const Message& message) {
    for (std::size_t to = 0; to < instances_.size(); ++to) {
      if (to == from)
        continue;
      ++outcome_.messages;
      const bool is_cut = scenario_.cut && (from == 0 || to == 0) &&
                          now_ >= kBegin + Seconds(9) &&
                          now_ < kBegin + Seconds(14);
      if (is_cut || OneIn(50))
        continue;
      Message one = message;
      one.to = to;
      one.due = now_ + Milliseconds(Between(1, 30));
      messages_.push_back(one);
    }
  }

  void Announce(std::size_t from) {
    for (const PartVerdict& verdict : instances_[from]->TakeVerdicts())
      Send(from, {.verdict = verdict});
  }

  void Deliver() {
    std::vector<Message> due;
    std::erase_if(messages_, [&](const Message& message) {
      if (message.due > now_)
        return false;
      due.push_back(message);
      return true;
    });
    for (const Message& message : due) {
      PartSuspects& suspects = *instances_[message.to];
      if (message.crash)
        suspects.OnCrash(*message.crash, now_);
      if (message.verdict)
        suspects.OnPeerVerdict(*message.verdict);
      Announce(message.to);
    }
  }

  void Disturb() {
    const auto time = now_ - kBegin;
    if (scenario_.waves && time >= kCrashesBegin &&
        time % Milliseconds(3000) == Milliseconds(0)) {
      for (std::size_t i = 0; i < endpoints_.size(); i += 3)
        Crash(i);
    }
    if (scenario_.restart && time == Milliseconds(20'000))
      Start(Part("bad1").value() % instances_.size());
  }

  [[nodiscard]] PartDigest Part(const std::string& id) const {
    PromptTraits prompt;
    prompt.parts = {{id, 1}, {"last", 1}};
    return JudgedParts(kService, prompt).front();
  }

  void Arrive() {
    const double steps_per_second = Seconds(1) / kStep;
    if (OneIn(steps_per_second / scenario_.requests_per_second))
      New(/*crashes=*/false);
    const bool has_begun = now_ >= kBegin + kCrashesBegin;
    if (has_begun && scenario_.crashing_parts > 0 &&
        OneIn(steps_per_second / scenario_.crashing_per_second))
      New(/*crashes=*/true);
  }

  void New(bool crashes) {
    Request request;
    request.crashes = crashes;
    // Few first parts and many sessions, of which some are far more popular.
    request.parts = {Part("first" + std::to_string(Between(0, 3))),
                     Part("session" + std::to_string(std::min(
                                          Between(0, 350), Between(0, 350))))};
    if (crashes) {
      const PartDigest part =
          Part("bad" + std::to_string(Between(1, scenario_.crashing_parts)));
      const auto at = scenario_.place == Place::kFirst    ? 0
                      : scenario_.place == Place::kMiddle ? 1
                                                          : 2;
      request.parts.insert(request.parts.begin() + at, part);
    }
    request.instance = static_cast<std::size_t>(
        Between(0, static_cast<int>(instances_.size()) - 1));
    request.counted =
        !crashes && fifth_crash_ && now_ >= *fifth_crash_ + kRecoveryTime;
    outcome_.sound += request.counted ? 1 : 0;
    Attempt(request);
  }

  // Sends the request to the endpoint with the fewest others.
  void Attempt(Request request) {
    PartSuspects& suspects = *instances_[request.instance];
    const PartDecision decision = scenario_.refuses
                                      ? suspects.Decide(request.parts, now_)
                                      : PartDecision::kRun;
    if (decision == PartDecision::kRefuse || scenario_.refuses_all) {
      outcome_.sound_refused += request.crashes ? 0 : 1;
      return;
    }
    if (decision == PartDecision::kProbe) {
      suspects.OnProbe(request.parts, now_);
      Announce(request.instance);
    }
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      if (now_ >= endpoints_[i].up_at && (!best || Load(i) < Load(*best)))
        best = i;
    }
    if (!best)
      return;
    ++request.attempts;
    request.endpoint = *best;
    request.sent = now_;
    request.begins = now_ + Milliseconds(60 + 25 * Load(*best));
    if (request.crashes && fifth_crash_ && now_ > *fifth_crash_ + kAdoptionTime)
      ++outcome_.late_arrivals;
    requests_.push_back(request);
  }

  [[nodiscard]] int Load(std::size_t endpoint) const {
    return static_cast<int>(std::count_if(
        requests_.begin(), requests_.end(),
        [endpoint](const Request& one) { return one.endpoint == endpoint; }));
  }

  void Progress() {
    std::vector<std::size_t> crashing;
    for (Request& request : requests_) {
      if (request.crashes) {
        if (now_ >= request.begins + kTimeToCrash)
          crashing.push_back(request.endpoint);
        continue;
      }
      if (request.answered || now_ < request.begins)
        continue;
      request.answered = true;
      outcome_.answered_at_first_attempt +=
          request.counted && request.attempts == 1 ? 1 : 0;
      instances_[request.instance]->OnAnswer(request.parts, request.sent);
      Announce(request.instance);
    }
    for (const std::size_t endpoint : crashing) {
      if (now_ >= endpoints_[endpoint].up_at)
        Crash(endpoint);
    }
    std::erase_if(requests_, [this](const Request& request) {
      return request.answered && now_ >= request.begins + Milliseconds(1500);
    });
  }

  // All runs of the endpoint break, and are sent again once.
  void Crash(std::size_t index) {
    Endpoint& endpoint = endpoints_[index];
    if (now_ < endpoint.up_at)
      return;
    ++outcome_.crashes;
    if (outcome_.crashes == 5)
      fifth_crash_ = now_;
    std::vector<Request> broken;
    std::erase_if(requests_, [&](const Request& request) {
      if (request.endpoint != index)
        return false;
      broken.push_back(request);
      return true;
    });
    std::vector<PartCrash> seen(
        instances_.size(),
        PartCrash{IncarnationDigest(endpoint.incarnation), now_, {}});
    for (const Request& request : broken) {
      if (request.answered)
        continue;
      for (const PartDigest part : request.parts)
        seen[request.instance].runs.push_back({part, request.sent});
    }
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      if (!seen[i].runs.empty())
        reports_.push_back({now_ + kReportHold, i, seen[i], std::nullopt});
    }
    endpoint.incarnation = ++incarnations_;
    endpoint.up_at = now_ + kDownTime;
    for (Request& request : broken) {
      if (!request.answered && request.attempts < 2)
        Attempt(request);
    }
  }

  void Tick() {
    std::vector<Message> due;
    std::erase_if(reports_, [&](const Message& report) {
      if (report.due > now_)
        return false;
      due.push_back(report);
      return true;
    });
    for (const Message& report : due) {
      instances_[report.to]->OnCrash(*report.crash, now_);
      Announce(report.to);
      Send(report.to, {.crash = report.crash});
    }
    const auto time = now_ - kBegin;
    if (time % Milliseconds(100) != Milliseconds(0))
      return;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      instances_[i]->OnTick(now_);
      Announce(i);
      if (time % kRepeatInterval != Milliseconds(0))
        continue;
      for (const PartVerdict& verdict : instances_[i]->OwnVerdicts())
        Send(i, {.verdict = verdict});
    }
  }

  const Scenario scenario_;
  std::mt19937_64 engine_;
  MonotonicTime now_{};
  std::uint64_t incarnations_ = 0;
  std::vector<std::unique_ptr<PartSuspects>> instances_;
  std::vector<Endpoint> endpoints_;
  std::vector<Request> requests_;
  std::vector<Message> messages_;
  // What instances have seen and have not told yet; `to` is the instance.
  std::vector<Message> reports_;
  std::optional<MonotonicTime> fifth_crash_;
  Outcome outcome_;
};

// Checks both sides of the bound, so that a rule that refuses nothing and one
// that refuses all fail.
void CheckRefusal(const Scenario& scenario, double min_share) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    const Outcome outcome = World(scenario, seed).Run();
    CAPTURE(seed, outcome.crashes, outcome.sound, outcome.sound_refused,
            outcome.late_arrivals, outcome.messages);
    CHECK(outcome.late_arrivals <= kMaxLateArrivals * scenario.crashing_parts);
    CHECK(outcome.SoundShare() >= min_share);
    if (outcome.sound > 0)
      CHECK(outcome.sound > 100);
  }
}

TEST_CASE("a part that crashes endpoints is refused and sound ones are not") {
  for (const Place place : {Place::kFirst, Place::kMiddle, Place::kLastButOne})
    CheckRefusal({.place = place}, 0.95);
}

TEST_CASE("two parts that crash endpoints are both refused") {
  CheckRefusal({.crashing_parts = 2}, 0.95);
}

TEST_CASE("a part that crashes endpoints now and then is refused") {
  CheckRefusal({.crashing_per_second = 0.5}, 0.95);
}

TEST_CASE("a crashing part is found beside ordinary crashes") {
  // The waves themselves break a part of the first attempts.
  CheckRefusal({.waves = true}, 0.6);
}

TEST_CASE("an instance that starts later refuses the part too") {
  CheckRefusal({.restart = true}, 0.95);
}

TEST_CASE("an instance that was cut off refuses the part too") {
  CheckRefusal({.cut = true}, 0.95);
}

TEST_CASE("sixty instances refuse a crashing part") {
  CheckRefusal({.instances = 60, .endpoints = 60, .requests_per_second = 180},
               0.95);
}

TEST_CASE("nothing is refused for crashes that no part causes") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    const Outcome outcome =
        World({.crashing_parts = 0, .waves = true}, seed).Run();
    CAPTURE(seed, outcome.crashes);
    CHECK(outcome.crashes > 50);
    CHECK(outcome.sound_refused == 0);
  }
}

TEST_CASE("a rule that refuses nothing or all fails the checks") {
  const Outcome nothing = World({.refuses = false}, 1).Run();
  CHECK(nothing.late_arrivals > kMaxLateArrivals);
  CHECK(nothing.crashes > 50);
  const Outcome all = World({.refuses_all = true}, 1).Run();
  CHECK(all.answered_at_first_attempt == 0);
}

}  // namespace
}  // namespace carobshift
