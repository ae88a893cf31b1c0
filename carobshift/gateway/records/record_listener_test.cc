#include "carobshift/gateway/records/record_listener.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "carobshift/gateway/records/listening_instance.h"
#include "carobshift/gateway/records/record_readers.h"

namespace carobshift {
namespace {

using Records = std::vector<std::string>;

// Thirty instances, of which only the two readers and one listener are
// simulated.
struct Fixture {
  Fixture() {
    for (int i = 0; i < 30; ++i)
      members.push_back(MemberNumber(i));
    const auto readers = LogReaders(members);
    REQUIRE(readers.size() == 2);
    const auto listening =
        std::find_if(members.begin(), members.end(), [&](const auto& member) {
          return member.id != readers[0].id && member.id != readers[1].id;
        });
    self = *listening;
    const auto order = ReaderOrderFor(self, readers);
    first_info = order[0];
    first = Add(first_info);
    second = Add(order[1]);
    listener_instance = Add(self);
    for (ListeningInstance* instance : {first, second, listener_instance}) {
      instance->Declare("config=1");
      instance->List("engine=1");
      instance->Start();
    }
    REQUIRE(TickUntil(
        [this] { return listener_instance->listener.is_listener(); }));
    // Lets the reads in flight complete.
    TickFor(Milliseconds(300));
  }

  ListeningInstance* Add(const MemberInfo& info) {
    instances.push_back(std::make_unique<ListeningInstance>(
        loop, "127.0.0.1", info, [this] { return members; }));
    ListeningInstance* const added = instances.back().get();
    for (MemberInfo& member : members) {
      if (member.id != info.id)
        continue;
      member.host = added->server.address().host;
      member.peer_port = added->server.address().port;
    }
    return added;
  }
  bool TickUntil(const std::function<bool()>& done,
                 Milliseconds longest = Milliseconds(5000)) {
    const MonotonicTime end = MonotonicNow() + longest;
    while (!done()) {
      if (MonotonicNow() >= end)
        return false;
      for (const auto& instance : instances)
        instance->listener.OnTick();
      RunFor(loop, Milliseconds(10));
    }
    return true;
  }
  void TickFor(Milliseconds time) {
    TickUntil([] { return false; }, time);
  }

  EventLoop loop;
  std::vector<MemberInfo> members;
  MemberInfo self;
  MemberInfo first_info;
  std::vector<std::unique_ptr<ListeningInstance>> instances;
  ListeningInstance* first = nullptr;
  ListeningInstance* second = nullptr;
  ListeningInstance* listener_instance = nullptr;
};

TEST_CASE("an instance that asks a reader doesn't read the log") {
  // Calls to the log are billed, and ninety instances would make hundreds of
  // calls a second for the same records.
  Fixture fixture;
  const int calls = fixture.listener_instance->operator_log.calls() +
                    fixture.listener_instance->endpoint_log.calls();
  fixture.first->Declare("config=2");
  fixture.first->List("engine");
  REQUIRE(fixture.TickUntil([&] {
    return fixture.listener_instance->operator_sink.records.back() ==
               "config=2" &&
           fixture.listener_instance->endpoint_sink.records.back() ==
               "engine=(removed)";
  }));
  fixture.TickFor(Milliseconds(1500));
  CHECK(fixture.listener_instance->operator_log.calls() +
            fixture.listener_instance->endpoint_log.calls() ==
        calls);
  CHECK(fixture.listener_instance->operator_sink.lost == 0);
}

TEST_CASE("heartbeats aren't passed on") {
  // Ninety endpoints write once a second each. If their records were forwarded
  // to eighty instances, they would saturate a small instance's link.
  Fixture fixture;
  fixture.first->endpoint_sink.effect = RecordEffect::kUnchanged;
  fixture.first->List("engine=2");
  REQUIRE(fixture.TickUntil([&] {
    return fixture.first->endpoint_sink.records.back() == "engine=2";
  }));
  fixture.TickFor(2 * RecordListener::kQueryInterval);
  CHECK(fixture.listener_instance->endpoint_sink.records ==
        Records{"engine=1"});
  // The next change arrives with the record's complete content at that time.
  fixture.first->endpoint_sink.effect = RecordEffect::kChanged;
  fixture.first->List("engine=3");
  CHECK(fixture.TickUntil([&] {
    return fixture.listener_instance->endpoint_sink.records ==
           Records{"engine=1", "engine=3"};
  }));
}

TEST_CASE("changes that take longer than the query timeout are accepted") {
  // Many endpoints change at once, and the reader's link is slow.
  Fixture fixture;
  fixture.first->pace = ReplyPace{.pieces = 20, .pause = Milliseconds(50)};
  fixture.second->hangs = true;
  fixture.first->List("engine");
  CHECK(fixture.TickUntil(
      [&] {
        return fixture.listener_instance->endpoint_sink.records.back() ==
               "engine=(removed)";
      },
      RecordListener::kQueryInterval + 2 * fixture.first->pace->Length()));
}

TEST_CASE("a large configuration doesn't come by way of a reader's link") {
  // A reader with a slow link that sends a configuration of megabytes to each
  // of thirty instances takes longer than the time in which it must be in
  // force, and each instance that times out requests all of it again.
  Fixture fixture;
  const std::string large = "config=" + std::string(200'000, 'x');
  const std::size_t sent_before = fixture.first->answered_bytes;
  for (const auto& instance : fixture.instances)
    instance->Declare(large);
  CHECK(fixture.TickUntil([&] {
    return fixture.listener_instance->operator_sink.records.back() == large;
  }));
  CHECK(fixture.first->answered_bytes - sent_before < large.size() / 10);
}

TEST_CASE("a listener has a configuration that no reader knows of yet") {
  // The readers die or lag while the operator declares a configuration; an
  // instance that reaches the log must not depend on them.
  Fixture fixture;
  fixture.listener_instance->Declare("config=2");
  CHECK(fixture.TickUntil(
      [&] {
        return fixture.listener_instance->operator_sink.records.back() ==
               "config=2";
      },
      Milliseconds(800)));
}

TEST_CASE("a listener detects by a reader's answer that its own read hangs") {
  // Its connection to the log has stopped delivering data. The read would wait
  // for seconds more, and callers of a new route would be refused meanwhile.
  Fixture fixture;
  fixture.listener_instance->SetLogMode(FakeLogMode::kSilent);
  const std::string large = "config=" + std::string(200'000, 'x');
  for (const auto& instance : fixture.instances)
    instance->Declare(large);
  fixture.TickFor(Milliseconds(100));
  fixture.listener_instance->SetLogMode(FakeLogMode::kServes);
  CHECK(fixture.TickUntil(
      [&] {
        return fixture.listener_instance->operator_sink.records.back() == large;
      },
      RecordListener::kMaxAnswerAge - Milliseconds(200)));
}

TEST_CASE("a reader that hangs is left for the next one") {
  // The reader's process is suspended and its connections stay open. Meanwhile
  // requests would be sent to an endpoint that has left.
  Fixture fixture;
  fixture.first->hangs = true;
  fixture.second->List("engine");
  CHECK(fixture.TickUntil(
      [&] {
        return fixture.listener_instance->endpoint_sink.records.back() ==
               "engine=(removed)";
      },
      Milliseconds(1700)));
}

TEST_CASE("a reader that the log turns away is left for the next one") {
  // It answers, but with a state that is seconds old.
  Fixture fixture;
  fixture.first->SetLogMode(FakeLogMode::kRefuses);
  fixture.TickFor(RecordListener::kMaxAnswerAge);
  fixture.second->List("engine");
  CHECK(fixture.TickUntil(
      [&] {
        return fixture.listener_instance->endpoint_sink.records.back() ==
               "engine=(removed)";
      },
      Milliseconds(1700)));
}

TEST_CASE("without a reader that knows, an instance reads the log itself") {
  // All readers have died, and gossip has not reported it yet.
  Fixture fixture;
  fixture.first->hangs = true;
  fixture.second->hangs = true;
  fixture.listener_instance->List("engine");
  CHECK(fixture.TickUntil(
      [&] {
        return fixture.listener_instance->endpoint_sink.records.back() ==
               "engine=(removed)";
      },
      RecordListener::kMaxAnswerAge + Milliseconds(600)));
  // The follower pauses again when one of them answers.
  fixture.first->hangs = false;
  fixture.TickFor(Milliseconds(1500));
  const int calls = fixture.listener_instance->endpoint_log.calls();
  fixture.TickFor(Milliseconds(1500));
  CHECK(fixture.listener_instance->endpoint_log.calls() == calls);
}

TEST_CASE("an absence of the log is noticed through the readers") {
  // Endpoints' entries expire while the log is down and are missing when it
  // returns, although the endpoints are alive. They then have a grace period
  // that counts from the return. An instance that does not learn of the return
  // refuses all callers.
  Fixture fixture;
  for (const auto& instance : fixture.instances)
    instance->SetLogMode(FakeLogMode::kRefuses);
  fixture.TickFor(Milliseconds(2500));
  for (const auto& instance : fixture.instances)
    instance->SetLogMode(FakeLogMode::kServes);
  REQUIRE(fixture.TickUntil(
      [&] { return fixture.listener_instance->endpoint_sink.back > 0; }));
  CHECK(fixture.listener_instance->endpoint_sink.lost > 0);
  CHECK(fixture.listener_instance->operator_sink.back > 0);
}

// Guards against a listener that takes records for newer than they are, as its
// reader's answer was long on its way.
TEST_CASE("a listener's records are as old as its reader's answer") {
  Fixture fixture;
  const ReplyPace pace{.pieces = 20, .pause = Milliseconds(50)};
  fixture.first->pace = pace;
  fixture.second->hangs = true;
  fixture.first->List("engine");
  REQUIRE(fixture.TickUntil([&] {
    return fixture.listener_instance->endpoint_sink.records.back() ==
           "engine=(removed)";
  }));
  const auto as_of = fixture.listener_instance->endpoints.records_as_of();
  REQUIRE(as_of);
  CHECK(fixture.loop.now() - *as_of >= pace.Length());
}

// Guards against a listener that takes records for newer than they are, as its
// reader has read only a part of what it missed.
TEST_CASE("a listener's records are as old as its reader's") {
  Fixture fixture;
  fixture.second->hangs = true;
  fixture.first->endpoint_log.SetMaxRecords(1);
  constexpr int kMany = 300;
  for (int i = 0; i < kMany; ++i)
    fixture.first->List("engine=" + std::to_string(i));
  fixture.TickFor(Milliseconds(1000));
  REQUIRE(fixture.first->endpoint_sink.records.size() < kMany);
  CHECK(*fixture.listener_instance->endpoints.records_as_of() <=
        *fixture.first->endpoints.records_as_of());
}

// Guards against a listener that keeps an endpoint, and misses its version, as
// the reader that it asks has started after the endpoint left.
TEST_CASE("a reader that started later doesn't hide what left before") {
  Fixture fixture;
  fixture.first->hangs = true;
  fixture.second->hangs = true;
  ListeningInstance* const restarted = fixture.Add(fixture.first_info);
  for (ListeningInstance* instance : {restarted, fixture.listener_instance}) {
    instance->List("engine");
    instance->List("other=1");
  }
  restarted->Declare("config=1");
  restarted->Start();
  CHECK(fixture.TickUntil(
      [&] {
        return fixture.listener_instance->endpoint_sink.records ==
               Records{"engine=1", "engine=(removed)", "other=1"};
      },
      RecordListener::kMaxAnswerAge + Milliseconds(1500)));
}

// Guards against a listener that misses a version which came and went while its
// reader knew nothing, as the log had dropped the records.
TEST_CASE("a reader that reads anew doesn't hide what came and went") {
  Fixture fixture;
  fixture.second->hangs = true;
  ListeningInstance* const listening = fixture.listener_instance;
  REQUIRE(listening->endpoint_sink.snapshots.size() == 1);
  for (ListeningInstance* instance : {fixture.first, listening}) {
    instance->List("other=2");
    instance->List("other");
    instance->endpoint_log.Compact(instance->dialect.EndpointStream());
  }
  REQUIRE(fixture.TickUntil(
      [&] { return fixture.first->endpoint_sink.snapshots.size() == 2; }));
  // A snapshot of its own tells the listener that records are missing.
  CHECK(fixture.TickUntil(
      [&] { return listening->endpoint_sink.snapshots.size() == 2; },
      RecordListener::kMaxAnswerAge + Milliseconds(1500)));
}

// Guards against a listener that loses a live endpoint for good: its entry
// lapsed with the log away, and was back before its reader had taken it off.
TEST_CASE("a listener learns that an endpoint is listed again") {
  Fixture fixture;
  const auto listener_knows = [&](const std::string& record) {
    return fixture.TickUntil([&] {
      return fixture.listener_instance->endpoint_sink.records.back() == record;
    });
  };
  fixture.first->List("engine");
  REQUIRE(listener_knows("engine=(removed)"));
  fixture.first->endpoint_sink.effect = RecordEffect::kUnchanged;
  fixture.first->List("engine=1");
  CHECK(listener_knows("engine=1"));
}

TEST_CASE("who doesn't know the secret gets no records") {
  // The records contain the keys of all callers.
  Fixture fixture;
  HttpHead query;
  query.method = "GET";
  query.target = "/changes/0000/0/0";
  CHECK_FALSE(fixture.first->listener.Answer(query));
}

}  // namespace
}  // namespace carobshift
