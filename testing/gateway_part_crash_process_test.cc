// Gateway processes whose engines crash on a part of prompts: the crashes and
// the share of sound requests that are answered, side by side.

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "testing/gateway_cluster.h"

namespace carobshift {
namespace {

using nlohmann::json;

constexpr int kEngines = 8;
constexpr int kSoundCallers = 6;
constexpr Milliseconds kSoundInterval{50};
constexpr Milliseconds kCrashingInterval{200};
constexpr Milliseconds kRunTime{13000};
constexpr std::int64_t kDownMs = 1500;
// As the platform counts: after the fifth crash, or the last of fewer.
constexpr std::int64_t kAdoptionMs = 3000;
constexpr std::int64_t kRecoveryMs = 6000;
constexpr int kMaxLateArrivals = 3;
const std::string kBadPart = "badc0de";

std::int64_t NowMs() {
  return std::chrono::duration_cast<Milliseconds>(
             MonotonicNow().time_since_epoch())
      .count();
}

struct SoundRequest {
  std::int64_t at_ms = 0;
  bool answered = false;
};

// Sends a review with this prompt to the gateway.
HttpAnswer SendReview(const NetAddress& gateway,
                      const std::string& request,
                      const std::string& prompt) {
  HttpSendOptions options = GatewayCluster::StreamRequestOptions(request);
  options.body = "body of " + request;
  for (auto& [name, value] : options.headers) {
    if (name == "Prompt-Prefix")
      value = prompt;
    if (name == "Deadline-Ms")
      value = "5000";
  }
  return HttpSend(gateway, "POST", "/review/1", options);
}

// Callers of sound requests and one of requests with the bad part, all with the
// same account and the same other parts, each at both gateways in turn.
class Callers {
 public:
  // `prefix` is the prompt of the requests with the bad part, up to its last
  // part.
  Callers(const GatewayCluster& cluster, const std::string& prefix)
      : cluster_(cluster), sound_(kSoundCallers) {
    std::vector<std::jthread> threads;
    const MonotonicTime end = MonotonicNow() + kRunTime;
    for (std::size_t i = 0; i < sound_.size(); ++i) {
      threads.emplace_back([this, i, end] {
        while (MonotonicNow() < end) {
          const std::string id = NextId("50");
          const std::int64_t at = NowMs();
          const HttpAnswer answer = SendReview(
              GatewayOf(i), id,
              "aa:100,bb" + std::to_string(i) + ":100," + id + ":100");
          sound_[i].push_back(
              {at, answer.status == 200 &&
                       answer.body.find("token5") != std::string::npos});
          std::this_thread::sleep_for(kSoundInterval);
        }
      });
    }
    std::this_thread::sleep_for(Milliseconds(500));
    while (MonotonicNow() < end) {
      threads.emplace_back([this, prefix, number = sent_++] {
        const std::string id = NextId("bad");
        (void)SendReview(GatewayOf(number), id, prefix + "," + id + ":100");
      });
      std::this_thread::sleep_for(kCrashingInterval);
    }
  }

  [[nodiscard]] std::vector<SoundRequest> sound() const {
    std::vector<SoundRequest> all;
    for (const auto& one : sound_)
      all.insert(all.end(), one.begin(), one.end());
    return all;
  }

 private:
  [[nodiscard]] NetAddress GatewayOf(std::size_t number) const {
    return cluster_.FrontAddress(number % cluster_.gateways());
  }
  std::string NextId(const std::string& kind) {
    return kind + std::to_string(1000 + ids_++);
  }

  const GatewayCluster& cluster_;
  std::atomic<int> ids_{0};
  std::size_t sent_ = 0;
  std::vector<std::vector<SoundRequest>> sound_;
};

// Returns a field of all engines' records that hold `text`, as times.
std::vector<std::int64_t> TimesOf(const GatewayCluster& cluster,
                                  const std::string& list,
                                  const std::string& text) {
  std::vector<std::int64_t> times;
  for (std::size_t i = 0; i < cluster.replicas(); ++i) {
    const json answer = cluster.RunsOf(i);
    for (const json& one : answer.at(list)) {
      if (one.dump().find(text) != std::string::npos)
        times.push_back(one.at("at_ms").get<std::int64_t>());
    }
  }
  std::sort(times.begin(), times.end());
  return times;
}

void CheckPartIsRefused(const std::string& prefix) {
  GatewayCluster cluster({.engines = kEngines, .plain_services = 0});
  for (std::size_t i = 0; i < cluster.replicas(); ++i) {
    const json fault = {
        {"crash_part", kBadPart}, {"down_ms", kDownMs}, {"queue_ms", 60}};
    REQUIRE(HttpSend(cluster.replica(i).address(), "POST", "/faults",
                     {.body = fault.dump()})
                .status == 200);
  }
  const Callers callers(cluster, prefix);
  // Engines that are down answer again.
  for (std::size_t i = 0; i < cluster.replicas(); ++i) {
    REQUIRE(WaitUntil([&] { return cluster.RunsOf(i).is_object(); }));
  }

  const auto crashes = TimesOf(cluster, "crashes", "");
  REQUIRE(!crashes.empty());
  const std::int64_t last =
      crashes[std::min<std::size_t>(4, crashes.size() - 1)];
  const auto arrivals = TimesOf(cluster, "arrivals", kBadPart);
  const auto late =
      std::count_if(arrivals.begin(), arrivals.end(),
                    [&](std::int64_t at) { return at > last + kAdoptionMs; });
  int sound = 0;
  int answered = 0;
  for (const SoundRequest& request : callers.sound()) {
    if (request.at_ms < last + kRecoveryMs)
      continue;
    ++sound;
    answered += request.answered ? 1 : 0;
  }
  CAPTURE(prefix, crashes.size(), late, sound, answered);
  CHECK(late <= kMaxLateArrivals);
  CHECK(sound >= 100);
  // At least half of the usual share, which is all of them.
  CHECK(answered * 2 >= sound);
}

// Guard against a part of prompts that crashes one engine after another, as the
// blame is put on whole requests, of which no two are alike.
TEST_CASE("a prompt part that crashes engines is refused: the first one") {
  CheckPartIsRefused("badc0de:50,aa:100,bb1:100");
}

TEST_CASE("a prompt part that crashes engines is refused: in the middle") {
  CheckPartIsRefused("aa:100,badc0de:50,bb1:100");
}

TEST_CASE("a prompt part that crashes engines is refused: the last but one") {
  CheckPartIsRefused("aa:100,bb1:100,badc0de:50");
}

}  // namespace
}  // namespace carobshift
