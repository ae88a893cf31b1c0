// Many instances with slow links, versions in quick succession, readers that
// hang and logs that stop answering: each instance has the newest version in
// time, and none ever applies an older one.

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "carobshift/gateway/records/listening_instance.h"
#include "carobshift/gateway/records/record_readers.h"

namespace carobshift {
namespace {

// Time within which a version must be in force at an instance that the log
// answers.
constexpr Milliseconds kBound{3000};
constexpr int kVersions = 6;
constexpr std::size_t kConfigBytes = 20'000;

std::string Version(int number) {
  return "config=" + std::to_string(number) + '.' +
         std::string(kConfigBytes, 'x');
}

// Returns the version number; 0 for a record of another key.
int NumberOf(const std::string& record) {
  const std::string key = "config=";
  return record.starts_with(key) ? std::stoi(record.substr(key.size())) : 0;
}

class Spread {
 public:
  Spread(int instances, std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < instances; ++i)
      members_.push_back(MemberNumber(i));
    for (MemberInfo& member : members_) {
      instances_.push_back(std::make_unique<ListeningInstance>(
          loop_, "127.0.0.1", member, [this] { return members_; }));
      const NetAddress address = instances_.back()->server.address();
      member.host = address.host;
      member.peer_port = address.port;
    }
    for (const auto& instance : instances_) {
      instance->Declare(Version(1));
      instance->List("engine=1");
      instance->Start();
    }
    RunUntil(loop_, [this] { return AllHave(1); });
    // Links that take from 80 ms to 0.8 s per version.
    for (const auto& instance : instances_) {
      instance->operator_log.SetPace(
          {.pieces = 10, .pause = Milliseconds(Between(9, 90))});
    }
    TickFor(Milliseconds(300));
  }

  // Declares versions in quick succession while readers hang and logs do not
  // answer.
  void Declare() {
    for (int number = 2; number <= kVersions; ++number) {
      Disturb();
      for (const auto& instance : instances_)
        instance->Declare(Version(number));
      TickFor(Milliseconds(Between(20, 500)));
      Calm();
    }
  }

  void TickFor(Milliseconds time) {
    const MonotonicTime end = MonotonicNow() + time;
    while (MonotonicNow() < end) {
      for (const auto& instance : instances_)
        instance->listener.OnTick();
      RunFor(loop_, Milliseconds(10));
    }
  }

  [[nodiscard]] bool AllHave(int number) const {
    return std::all_of(
        instances_.begin(), instances_.end(), [number](const auto& instance) {
          const auto& records = instance->operator_sink.records;
          return !records.empty() && NumberOf(records.back()) == number;
        });
  }
  [[nodiscard]] bool NoneWentBack() const {
    return std::all_of(
        instances_.begin(), instances_.end(), [](const auto& instance) {
          const auto& records = instance->operator_sink.records;
          return std::is_sorted(records.begin(), records.end(),
                                [](const auto& a, const auto& b) {
                                  return NumberOf(a) < NumberOf(b);
                                });
        });
  }

 private:
  int Between(int least, int most) {
    return std::uniform_int_distribution(least, most)(random_);
  }
  void Disturb() {
    for (const MemberInfo& reader : LogReaders(members_)) {
      const auto at = std::find(members_.begin(), members_.end(), reader);
      instances_[static_cast<std::size_t>(at - members_.begin())]->hangs =
          Between(0, 1) == 0;
    }
    for (int i = 0; i < 2; ++i) {
      const int last = static_cast<int>(instances_.size()) - 1;
      instances_[static_cast<std::size_t>(Between(0, last))]->SetLogMode(
          FakeLogMode::kSilent);
    }
  }
  void Calm() {
    for (const auto& instance : instances_) {
      instance->hangs = false;
      instance->SetLogMode(FakeLogMode::kServes);
    }
  }

  EventLoop loop_;
  std::mt19937_64 random_;
  std::vector<MemberInfo> members_;
  std::vector<std::unique_ptr<ListeningInstance>> instances_;
};

TEST_CASE("the newest version is in force everywhere in time, none goes back") {
  // A configuration that was acknowledged is not in force at some instances, so
  // that callers of a new route are refused there.
  const int instances = GENERATE(6, 30);
  const std::uint64_t seed = GENERATE(1, 2);
  CAPTURE(instances, seed);
  Spread spread(instances, seed);
  spread.Declare();
  spread.TickFor(kBound);
  CHECK(spread.AllHave(kVersions));
  CHECK(spread.NoneWentBack());
}

}  // namespace
}  // namespace carobshift
