#include "carobshift/gateway/record_listener.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "carobshift/gateway/listening_instance.h"
#include "carobshift/gateway/record_readers.h"

namespace carobshift {
namespace {

using Told = std::vector<std::string>;

// Thirty instances, of which the two readers and one that asks them exist.
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
    first = Add(order[0]);
    second = Add(order[1]);
    asking = Add(self);
    for (ListeningInstance* instance : {first, second, asking}) {
      instance->Declare("config=1");
      instance->List("engine=1");
      instance->Start();
    }
    REQUIRE(TickUntil([this] { return asking->listener.is_listener(); }));
    // The reads that were under way end.
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
  std::vector<std::unique_ptr<ListeningInstance>> instances;
  ListeningInstance* first = nullptr;
  ListeningInstance* second = nullptr;
  ListeningInstance* asking = nullptr;
};

TEST_CASE("an instance that asks a reader doesn't read the log") {
  // Each call to the log has a price, and ninety instances would make hundreds
  // of calls a second for the same records.
  Fixture fixture;
  const int calls = fixture.asking->operator_log.calls() +
                    fixture.asking->endpoint_log.calls();
  fixture.first->Declare("config=2");
  fixture.first->List("engine");
  REQUIRE(fixture.TickUntil([&] {
    return fixture.asking->operator_sink.told.back() == "config=2" &&
           fixture.asking->endpoint_sink.told.back() == "engine=(removed)";
  }));
  fixture.TickFor(Milliseconds(1500));
  CHECK(fixture.asking->operator_log.calls() +
            fixture.asking->endpoint_log.calls() ==
        calls);
  CHECK(fixture.asking->operator_sink.lost == 0);
}

TEST_CASE("heartbeats aren't passed on") {
  // Ninety endpoints write once a second each. Passed on to eighty instances,
  // their records would fill a small instance's link.
  Fixture fixture;
  fixture.first->endpoint_sink.changes = false;
  fixture.first->List("engine=2");
  REQUIRE(fixture.TickUntil(
      [&] { return fixture.first->endpoint_sink.told.back() == "engine=2"; }));
  fixture.TickFor(2 * RecordListener::kQueryInterval);
  CHECK(fixture.asking->endpoint_sink.told == Told{"engine=1"});
  // What changes next comes with all that the record says by then.
  fixture.first->endpoint_sink.changes = true;
  fixture.first->List("engine=3");
  CHECK(fixture.TickUntil([&] {
    return fixture.asking->endpoint_sink.told == Told{"engine=1", "engine=3"};
  }));
}

TEST_CASE("changes that take longer than a question may wait are taken") {
  // Many endpoints change at once, and the reader's link is small.
  Fixture fixture;
  fixture.first->pace = ReplyPace{.pieces = 20, .pause = Milliseconds(50)};
  fixture.second->hangs = true;
  fixture.first->List("engine");
  CHECK(fixture.TickUntil(
      [&] {
        return fixture.asking->endpoint_sink.told.back() == "engine=(removed)";
      },
      RecordListener::kQueryInterval + 2 * fixture.first->pace->Length()));
}

TEST_CASE("a large configuration doesn't come by way of a reader's link") {
  // A reader with a small link that sends a configuration of megabytes to each
  // of thirty instances takes longer than the time in which it must be in
  // force, and whoever gives up asks for all of it again.
  Fixture fixture;
  const std::string large = "config=" + std::string(200'000, 'x');
  const std::size_t told = fixture.first->answered_bytes;
  for (const auto& instance : fixture.instances)
    instance->Declare(large);
  CHECK(fixture.TickUntil(
      [&] { return fixture.asking->operator_sink.told.back() == large; }));
  CHECK(fixture.first->answered_bytes - told < large.size() / 10);
}

TEST_CASE("a listener has a configuration that no reader knows of yet") {
  // The readers die or lag as the operator declares; whoever is in touch with
  // the log must not depend on them.
  Fixture fixture;
  fixture.asking->Declare("config=2");
  CHECK(fixture.TickUntil(
      [&] { return fixture.asking->operator_sink.told.back() == "config=2"; },
      Milliseconds(800)));
}

TEST_CASE("a listener whose own read hangs notices by a reader's word") {
  // Its connection to the log has gone silent; the read would wait for seconds
  // more, and callers of a new route would be refused meanwhile.
  Fixture fixture;
  fixture.asking->SetLogMode(FakeLogMode::kSilent);
  const std::string large = "config=" + std::string(200'000, 'x');
  for (const auto& instance : fixture.instances)
    instance->Declare(large);
  fixture.TickFor(Milliseconds(100));
  fixture.asking->SetLogMode(FakeLogMode::kServes);
  CHECK(fixture.TickUntil(
      [&] { return fixture.asking->operator_sink.told.back() == large; },
      RecordListener::kMaxAnswerAge - Milliseconds(200)));
}

TEST_CASE("a reader that hangs is left for the next one") {
  // The reader's process is suspended, and its connections stay open. Callers
  // would be sent to an endpoint that has left meanwhile.
  Fixture fixture;
  fixture.first->hangs = true;
  fixture.second->List("engine");
  CHECK(fixture.TickUntil(
      [&] {
        return fixture.asking->endpoint_sink.told.back() == "engine=(removed)";
      },
      Milliseconds(1700)));
}

TEST_CASE("a reader that the log turns away is left for the next one") {
  // It answers, but with what it knew seconds ago.
  Fixture fixture;
  fixture.first->SetLogMode(FakeLogMode::kTurnsAway);
  fixture.TickFor(RecordListener::kMaxAnswerAge);
  fixture.second->List("engine");
  CHECK(fixture.TickUntil(
      [&] {
        return fixture.asking->endpoint_sink.told.back() == "engine=(removed)";
      },
      Milliseconds(1700)));
}

TEST_CASE("without a reader that knows, an instance reads the log itself") {
  // All readers have died, and gossip doesn't tell yet.
  Fixture fixture;
  fixture.first->hangs = true;
  fixture.second->hangs = true;
  fixture.asking->List("engine");
  CHECK(fixture.TickUntil(
      [&] {
        return fixture.asking->endpoint_sink.told.back() == "engine=(removed)";
      },
      RecordListener::kMaxAnswerAge + Milliseconds(600)));
  // And rests again when one of them answers.
  fixture.first->hangs = false;
  fixture.TickFor(Milliseconds(1500));
  const int calls = fixture.asking->endpoint_log.calls();
  fixture.TickFor(Milliseconds(1500));
  CHECK(fixture.asking->endpoint_log.calls() == calls);
}

TEST_CASE("an absence of the log is noticed through the readers") {
  // Entries of endpoints run out while the log is away, and are missing when it
  // returns, although the endpoints live. They have a grace then, which counts
  // from the return; an instance that isn't told of it refuses all callers.
  Fixture fixture;
  for (const auto& instance : fixture.instances)
    instance->SetLogMode(FakeLogMode::kTurnsAway);
  fixture.TickFor(Milliseconds(2500));
  for (const auto& instance : fixture.instances)
    instance->SetLogMode(FakeLogMode::kServes);
  REQUIRE(fixture.TickUntil(
      [&] { return fixture.asking->endpoint_sink.back > 0; }));
  CHECK(fixture.asking->endpoint_sink.lost > 0);
  CHECK(fixture.asking->operator_sink.back > 0);
}

TEST_CASE("who doesn't know the secret gets no records") {
  // They hold the keys of all callers.
  Fixture fixture;
  HttpHead question;
  question.method = "GET";
  question.target = "/changes/0000/0/0";
  CHECK_FALSE(fixture.first->listener.Answer(question));
}

}  // namespace
}  // namespace carobshift
