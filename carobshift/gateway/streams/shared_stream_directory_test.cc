// Directories of several instances, which exchange datagrams over loopback.

#include "carobshift/gateway/streams/shared_stream_directory.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/gateway/instances/cluster.h"
#include "carobshift/gateway/streams/stream_owners.h"
#include "carobshift/net/loopback_server.h"

namespace carobshift {
namespace {

constexpr std::uint16_t kPort = 21003;
const StreamBeginning kOld{ServiceName("llm"), SoftwareVersion("v1")};
const SoleVersionQuestion kQuestion{kOld.service, Milliseconds(30'000)};
const StreamBeginning kNew{ServiceName("llm"), SoftwareVersion("v2")};

// Loopback addresses that no other process uses: test processes run
// concurrently.
std::string HostOf(int number) {
  const int pid = getpid();
  return "127." + std::to_string(number + 130) + "." +
         std::to_string(pid >> 8 & 255) + "." + std::to_string(pid & 255);
}

struct Instance {
  Instance(EventLoop& loop,
           int number,
           const std::vector<MemberInfo>& members,
           const std::vector<MemberInfo>& stopping)
      : settings(SettingsOf(number)),
        cluster(loop, settings),
        datagrams(loop, settings, cluster),
        directory(
            loop,
            {Incarnation(static_cast<std::uint64_t>(number) + 1),
             [&members] { return members; }, [&stopping] { return stopping; }},
            datagrams,
            metrics) {
    REQUIRE(datagrams.Start().ok());
    directory.OnTick();
  }
  static GatewaySettings SettingsOf(int number) {
    GatewaySettings settings;
    settings.entry = EntryId("entry-" + std::to_string(number));
    settings.host = HostOf(number);
    settings.peer_port = kPort;
    return settings;
  }

  GatewaySettings settings;
  Metrics metrics;
  Cluster cluster;
  PeerDatagrams datagrams;
  SharedStreamDirectory directory;
};

class Fixture {
 public:
  explicit Fixture(int instances) {
    for (int i = 0; i < instances; ++i) {
      MemberInfo& member = members.emplace_back();
      member.id = EntryId("entry-" + std::to_string(i));
      member.incarnation = Incarnation(static_cast<std::uint64_t>(i) + 1);
      member.zone = ZoneName("z" + std::to_string(i % 3));
      member.host = HostOf(i);
      member.peer_port = kPort;
    }
    for (int i = 0; i < instances; ++i)
      Start(i);
  }

  void Start(int number) {
    if (instances_.size() <= static_cast<std::size_t>(number))
      instances_.resize(static_cast<std::size_t>(number) + 1);
    auto& instance = instances_[static_cast<std::size_t>(number)];
    instance.reset();
    RunFor(loop, Milliseconds(1));
    instance = std::make_unique<Instance>(loop, number, members, stopping);
  }
  void Kill(std::size_t number) { instances_[number].reset(); }
  [[nodiscard]] SharedStreamDirectory& at(std::size_t number) {
    return instances_[number]->directory;
  }
  void Publish(std::size_t number,
               StreamKey key,
               const StreamBeginning& began) {
    at(number).Publish({key, began, Seconds(10)});
    RunFor(loop, Milliseconds(5));
  }
  [[nodiscard]] StreamLookup Find(std::size_t number, StreamKey key) {
    std::optional<StreamLookup> result;
    at(number).Find(key, kQuestion,
                    [&](const StreamLookup& found) { result = found; });
    RunUntil(loop, [&result] { return result.has_value(); });
    return *result;
  }

  EventLoop loop;
  std::vector<MemberInfo> members;
  std::vector<MemberInfo> stopping;

 private:
  std::vector<std::unique_ptr<Instance>> instances_;
};

// Guards against a stream that nobody knows once the instance that began it is
// gone.
TEST_CASE("any instance knows a stream after the one that began it is killed") {
  Fixture fixture(7);
  for (std::uint64_t key = 1; key <= 20; ++key)
    fixture.Publish(0, StreamKey(key), kOld);
  fixture.Kill(0);
  for (std::uint64_t key = 1; key <= 20; ++key) {
    const StreamLookup found = fixture.Find(1 + key % 6, StreamKey(key));
    CHECK(found.beginning == kOld);
    CHECK(found.source != StreamSource::kUnknown);
  }
}

// Guards against streams that are unknown after two instances were killed and
// have started again, among them owners.
TEST_CASE("streams outlast two instances that start again") {
  Fixture fixture(7);
  for (std::uint64_t key = 1; key <= 20; ++key)
    fixture.Publish(0, StreamKey(key), kOld);
  for (const int number : {0, 4})
    fixture.Start(number);
  for (std::uint64_t key = 1; key <= 20; ++key)
    CHECK(fixture.Find(4, StreamKey(key)).beginning == kOld);
}

TEST_CASE("a stream that nobody knows is unknown, and so is a used id") {
  Fixture fixture(3);
  CHECK_FALSE(fixture.Find(0, StreamKey(1)).beginning.has_value());
  fixture.Publish(0, StreamKey(2), kOld);
  fixture.Publish(1, StreamKey(2), kNew);
  const StreamLookup used_twice = fixture.Find(2, StreamKey(2));
  CHECK_FALSE(used_twice.beginning.has_value());
}

// Guards against streams that are refused after an instance has started again,
// though the others know that there is no choice of versions.
TEST_CASE("others tell the only version that a service has had") {
  Fixture fixture(3);
  fixture.at(1).SetSoleVersionSource([](const SoleVersionQuestion& asked) {
    const bool same =
        asked.service == kQuestion.service && asked.span == kQuestion.span;
    return same ? std::optional(kOld.software) : std::nullopt;
  });
  StreamLookup found = fixture.Find(0, StreamKey(1));
  CHECK_FALSE(found.beginning.has_value());
  CHECK(found.sole_version == kOld.software);
  std::optional<SoftwareVersion> learned;
  fixture.at(2).FindSoleVersion(
      kQuestion, [&](const auto& sole, MonotonicTime) { learned = sole; });
  RunUntil(fixture.loop, [&learned] { return learned.has_value(); });
  CHECK(learned == kOld.software);
  // One of two that contradict each other has missed something.
  fixture.at(2).SetSoleVersionSource(
      [](const SoleVersionQuestion&) { return kNew.software; });
  found = fixture.Find(0, StreamKey(1));
  CHECK_FALSE(found.sole_version.has_value());
}

// Guards against knowledge that is lost as instances are stopped one after the
// other, each while the one before it still ends its requests.
TEST_CASE("instances that are being stopped are asked as well") {
  Fixture fixture(3);
  for (const std::size_t number : {1, 2}) {
    fixture.at(number).SetSoleVersionSource(
        [](const SoleVersionQuestion&) { return kOld.software; });
  }
  fixture.stopping.assign(fixture.members.begin() + 1, fixture.members.end());
  fixture.members.resize(1);
  for (const int number : {0, 1, 2})
    fixture.at(static_cast<std::size_t>(number)).OnTick();
  CHECK(fixture.Find(0, StreamKey(1)).sole_version == kOld.software);
}

// Guards against a lookup that waits for dead instances until its caller gives
// up.
TEST_CASE("a lookup ends soon though no other instance answers") {
  Fixture fixture(7);
  for (std::size_t i = 1; i < 7; ++i)
    fixture.Kill(i);
  RunFor(fixture.loop, SharedStreamDirectory::kJoinTime);
  const MonotonicTime begin = fixture.loop.now();
  CHECK_FALSE(fixture.Find(0, StreamKey(1)).beginning.has_value());
  CHECK(fixture.loop.now() - begin < Milliseconds(300));
}

// Guards against streams that are refused because their callers return to the
// instance that was killed before it knows the others again.
TEST_CASE("an instance that has just started asks until it knows the others") {
  Fixture fixture(3);
  fixture.Publish(1, StreamKey(1), kOld);
  const auto all = std::exchange(fixture.members, {});
  fixture.Start(0);
  std::optional<StreamLookup> result;
  fixture.at(0).Find(StreamKey(1), kQuestion,
                     [&](const StreamLookup& found) { result = found; });
  RunFor(fixture.loop, Milliseconds(300));
  CHECK_FALSE(result.has_value());
  fixture.members = all;
  fixture.at(0).OnTick();
  RunUntil(fixture.loop, [&result] { return result.has_value(); });
  CHECK(result->beginning == kOld);
}

TEST_CASE("an instance that stays alone knows nothing in the end") {
  Fixture fixture(1);
  const MonotonicTime begin = fixture.loop.now();
  CHECK_FALSE(fixture.Find(0, StreamKey(1)).beginning.has_value());
  CHECK(fixture.loop.now() - begin <
        SharedStreamDirectory::kJoinTime + Milliseconds(300));
}

// Guards against streams that are lost as instances are stopped one after the
// other in the planned way.
TEST_CASE("streams outlast a planned stop of each instance in turn") {
  Fixture fixture(7);
  for (std::uint64_t key = 1; key <= 20; ++key)
    fixture.Publish(0, StreamKey(key), kOld);
  for (int number = 0; number < 7; ++number) {
    const auto all = fixture.members;
    fixture.members.erase(fixture.members.begin() + number);
    fixture.at(static_cast<std::size_t>(number)).HandOver();
    RunFor(fixture.loop, Milliseconds(5));
    fixture.members = all;
    fixture.Start(number);
  }
  for (std::uint64_t key = 1; key <= 20; ++key)
    CHECK(fixture.Find(3, StreamKey(key)).beginning == kOld);
}

}  // namespace
}  // namespace carobshift
