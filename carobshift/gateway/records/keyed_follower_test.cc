#include "carobshift/gateway/records/keyed_follower.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/gateway/records/fake_log.h"
#include "carobshift/gateway/records/recording_follower_sink.h"

namespace carobshift {
namespace {

struct Fixture {
  EventLoop loop;
  HttpClient client{loop, {}};
  FakeLog log{loop};
  FakeLogDialect dialect;
  LogStream stream = dialect.EndpointStream();
  RecordingFollowerSink sink;
  KeyedFollower follower{loop,    client, log.address(),
                         dialect, stream, QuickFollowerOptions(),
                         sink};

  ~Fixture() { follower.Stop(); }
};

TEST_CASE("a list of several pages is told whole and each record once") {
  // While the pages are read, a key of an earlier page changes and another one
  // is removed. An instance that treated the pages as an atomic snapshot would
  // continue to send requests to an endpoint that has left.
  Fixture fixture;
  for (const char* record : {"a=1", "b=1", "c=1", "d=1", "e=1"})
    fixture.log.Append(fixture.stream, record);
  int pages = 0;
  fixture.log.SetOnPage([&] {
    if (++pages == 1) {
      fixture.log.Append(fixture.stream, "a=2");
      fixture.log.Append(fixture.stream, "b");
    }
  });
  fixture.follower.Start();
  RunUntil(fixture.loop, [&] { return fixture.sink.records.size() == 7; });
  CHECK(pages == 3);
  CHECK(fixture.sink.records == std::vector<std::string>{"a=1", "b=1", "c=1",
                                                         "d=1", "e=1", "a=2",
                                                         "b=(removed)"});
  RunFor(fixture.loop, Milliseconds(60));
  CHECK(fixture.sink.records.size() == 7);
}

TEST_CASE("records that the log dropped unread are made up by a new list") {
  // The log drops its history while an instance is behind. Keys that were
  // removed meanwhile are identified by their absence, unchanged records are
  // not reported again, and the state is never empty in between.
  Fixture fixture;
  fixture.log.Append(fixture.stream, "a=1");
  fixture.log.Append(fixture.stream, "b=1");
  fixture.follower.Start();
  RunUntil(fixture.loop, [&] { return fixture.sink.snapshots.size() == 1; });
  fixture.log.SetMode(FakeLogMode::kRefuses);
  RunUntil(fixture.loop, [&] { return fixture.sink.lost == 1; });
  fixture.log.Append(fixture.stream, "b");
  fixture.log.Append(fixture.stream, "c=1");
  fixture.log.Compact(fixture.stream);
  fixture.log.SetMode(FakeLogMode::kServes);
  RunUntil(fixture.loop, [&] { return fixture.sink.snapshots.size() == 2; });
  CHECK(fixture.sink.snapshots.back() == std::vector<std::string>{"a", "c"});
  CHECK(fixture.sink.records == std::vector<std::string>{"a=1", "b=1", "c=1"});
  CHECK(fixture.sink.back == 1);
}

// Guards against records that are taken for new because the answer that brought
// them was read late, as by a process that was frozen meanwhile.
TEST_CASE("records are as old as the read that brought them") {
  Fixture fixture;
  fixture.log.Append(fixture.stream, "a=1");
  CHECK_FALSE(fixture.follower.records_as_of().has_value());
  constexpr Milliseconds kDelay{100};
  fixture.log.SetDelay(kDelay);
  fixture.follower.Start();
  RunUntil(fixture.loop, [&] { return fixture.follower.caught_up(); });
  REQUIRE(fixture.follower.records_as_of().has_value());
  CHECK(*fixture.follower.last_answer() - *fixture.follower.records_as_of() >=
        kDelay);
}

// Guards against an instance that has read only a part of what it missed, and
// takes the rest for not written.
TEST_CASE("records are as of a read that reaches the end of the log") {
  Fixture fixture;
  fixture.log.Append(fixture.stream, "a=1");
  fixture.follower.Start();
  RunUntil(fixture.loop, [&] { return fixture.sink.snapshots.size() == 1; });
  fixture.log.SetMode(FakeLogMode::kRefuses);
  RunUntil(fixture.loop, [&] { return fixture.sink.lost == 1; });
  const MonotonicTime before = *fixture.follower.records_as_of();
  for (const char* record : {"b=1", "c=1", "d=1"})
    fixture.log.Append(fixture.stream, record);
  fixture.log.SetMaxRecords(1);
  fixture.log.SetMode(FakeLogMode::kServes);
  RunUntil(fixture.loop, [&] { return fixture.sink.records.size() >= 2; });
  CHECK(fixture.sink.records.size() == 2);
  CHECK(*fixture.follower.records_as_of() == before);
  RunUntil(fixture.loop, [&] { return fixture.sink.records.size() == 4; });
  CHECK(*fixture.follower.records_as_of() > before);
}

// Guards against decisions that wait for a read of twenty seconds.
TEST_CASE("a read that waits is ended for records of the present") {
  Fixture fixture;
  fixture.follower.SetLongPoll(true);
  fixture.follower.Start();
  RunUntil(fixture.loop, [&] { return fixture.follower.caught_up(); });
  RunFor(fixture.loop, Milliseconds(50));
  const MonotonicTime asked = fixture.loop.now();
  const int calls = fixture.log.calls();
  RunUntil(fixture.loop, [&] {
    fixture.follower.ReadNow();
    return *fixture.follower.records_as_of() >= asked;
  });
  CHECK(fixture.loop.now() - asked < KeyedFollower::kReadNowInterval);
  RunFor(fixture.loop, Milliseconds(50));
  fixture.follower.ReadNow();
  RunFor(fixture.loop, Milliseconds(50));
  // The one that doesn't wait, and the next one, which does.
  CHECK(fixture.log.calls() == calls + 2);
  CHECK(fixture.sink.lost == 0);
}

// Guards against a peer that isn't told of removals which this instance has
// never known, or has forgotten.
TEST_CASE("removals are known since the snapshot or the oldest one kept") {
  Fixture fixture;
  for (const char* record : {"a=1", "a", "b=1"})
    fixture.log.Append(fixture.stream, record);
  fixture.follower.Start();
  RunUntil(fixture.loop, [&] { return fixture.follower.caught_up(); });
  CHECK(fixture.follower.complete_since() == LogOffset(3));
  fixture.log.Append(fixture.stream, "b");
  RunUntil(fixture.loop,
           [&] { return fixture.sink.records.back() == "b=(removed)"; });
  CHECK(fixture.follower.complete_since() == LogOffset(3));
  constexpr int kHeartbeats = 6000;
  for (int i = 0; i < kHeartbeats; ++i)
    fixture.log.Append(fixture.stream, "c=1");
  fixture.log.Append(fixture.stream, "d");
  RunUntil(fixture.loop,
           [&] { return fixture.sink.records.back() == "d=(removed)"; });
  fixture.log.Append(fixture.stream, "e");
  RunUntil(fixture.loop,
           [&] { return fixture.sink.records.back() == "e=(removed)"; });
  // The removal of b, at 3, is forgotten.
  CHECK(fixture.follower.complete_since() > LogOffset(4));
  CHECK(fixture.follower.complete_since() < LogOffset(kHeartbeats));
}

// Guards against a peer that takes all of this instance's changes for all that
// the log had.
TEST_CASE("removals that the log dropped unread aren't known") {
  Fixture fixture;
  fixture.log.Append(fixture.stream, "a=1");
  fixture.follower.Start();
  RunUntil(fixture.loop, [&] { return fixture.follower.caught_up(); });
  for (const char* record : {"b=1", "b"})
    fixture.log.Append(fixture.stream, record);
  fixture.log.Compact(fixture.stream);
  RunUntil(fixture.loop, [&] { return fixture.sink.snapshots.size() == 2; });
  CHECK(fixture.follower.complete_since() == LogOffset(3));
}

TEST_CASE("a log that falls silent is noticed and followed again") {
  // A connection stops delivering data without being closed. Without a timeout
  // of its own the read would hang until the instance is restarted, and callers
  // would be served by an outdated configuration.
  Fixture fixture;
  fixture.log.Append(fixture.stream, "a=1");
  fixture.follower.Start();
  RunUntil(fixture.loop, [&] { return fixture.sink.records.size() == 1; });
  fixture.log.SetMode(FakeLogMode::kSilent);
  const MonotonicTime silent_since = MonotonicNow();
  RunUntil(fixture.loop, [&] { return fixture.sink.lost == 1; });
  CHECK(MonotonicNow() - silent_since < Milliseconds(1000));
  fixture.log.SetMode(FakeLogMode::kServes);
  fixture.log.Append(fixture.stream, "a=2");
  RunUntil(fixture.loop, [&] { return fixture.sink.records.size() == 2; });
  CHECK(fixture.sink.records.back() == "a=2");
  CHECK(fixture.sink.back == 1);
}

TEST_CASE("a record that takes longer than a read may wait is read once") {
  // A configuration of megabytes arrives over a slow link. If it were cut off
  // by a timeout and restarted each time, it would never be in force, and the
  // link would stay saturated.
  Fixture fixture;
  fixture.log.Append(fixture.stream, "a=1");
  fixture.follower.Start();
  RunUntil(fixture.loop, [&] { return fixture.follower.caught_up(); });
  const ReplyPace pace{.pieces = 20, .pause = Milliseconds(30)};
  REQUIRE(pace.Length() >
          QuickFollowerOptions().wait + QuickFollowerOptions().timeout_margin);
  fixture.log.SetPace(pace);
  fixture.log.Append(fixture.stream, "a=" + std::string(2000, 'x'));
  const MonotonicTime began = MonotonicNow();
  const auto has_it = [&] { return fixture.sink.records.size() == 2; };
  while (!has_it() && MonotonicNow() < began + 3 * pace.Length())
    RunFor(fixture.loop, Milliseconds(20));
  CHECK(has_it());
  CHECK(fixture.sink.lost == 0);
}

TEST_CASE("a list that takes longer than a call may wait is read once") {
  // An instance starts, and the newest records arrive over a slow link.
  Fixture fixture;
  const ReplyPace pace{.pieces = 20, .pause = Milliseconds(100)};
  fixture.log.SetPace(pace);
  fixture.log.Append(fixture.stream, "a=" + std::string(2000, 'x'));
  fixture.follower.Start();
  const MonotonicTime began = MonotonicNow();
  while (!fixture.follower.caught_up() &&
         MonotonicNow() < began + 2 * pace.Length())
    RunFor(fixture.loop, Milliseconds(20));
  CHECK(fixture.follower.caught_up());
  CHECK(fixture.sink.lost == 0);
}

TEST_CASE("a log whose answers come late is given more time") {
  // Ninety instances that start at once read the newest records together, and
  // each waits for the others. Calls that are aborted and repeated only add
  // load, and no instance gets a configuration.
  Fixture fixture;
  fixture.log.Append(fixture.stream, "a=1");
  fixture.log.SetDelay(Milliseconds(1800));
  fixture.follower.Start();
  RunUntil(fixture.loop, [&] { return fixture.follower.caught_up(); });
  CHECK(fixture.log.calls() <= 3);
  // The reads after the snapshot too.
  fixture.log.SetDelay(Milliseconds(250));
  fixture.log.Append(fixture.stream, "a=2");
  RunUntil(fixture.loop, [&] { return fixture.sink.records.size() == 2; });
}

TEST_CASE("a list is asked for again soon after a silent log is back") {
  // A call made while the log was unresponsive never completes. If the follower
  // waited for it as long as for a slow log, the instance would not learn of
  // leaving endpoints.
  Fixture fixture;
  fixture.log.Append(fixture.stream, "a=1");
  fixture.log.SetMode(FakeLogMode::kSilent);
  fixture.follower.Start();
  RunFor(fixture.loop, Milliseconds(5000));
  fixture.log.SetMode(FakeLogMode::kServes);
  const MonotonicTime back = MonotonicNow();
  while (!fixture.follower.caught_up() &&
         MonotonicNow() < back + Milliseconds(8000))
    RunFor(fixture.loop, Milliseconds(20));
  CHECK(MonotonicNow() - back < Milliseconds(2500));
}

TEST_CASE("an answer that stops midway is given up and asked for again") {
  // The connection stops delivering data within an answer. If the follower
  // waited indefinitely, the instance would keep a replaced configuration.
  Fixture fixture;
  fixture.log.Append(fixture.stream, "a=1");
  fixture.follower.Start();
  RunUntil(fixture.loop, [&] { return fixture.follower.caught_up(); });
  fixture.log.SetPace({.pieces = 2, .pause = Milliseconds(60000)});
  fixture.log.Append(fixture.stream, "a=" + std::string(2000, 'x'));
  RunUntil(fixture.loop, [&] { return fixture.sink.lost == 1; });
  fixture.log.SetPace({.pieces = 2, .pause = Milliseconds(10)});
  RunUntil(fixture.loop, [&] { return fixture.sink.records.size() == 2; });
  CHECK(fixture.sink.back == 1);
}

TEST_CASE("a list that breaks off midway begins anew") {
  // The log refuses the instance between two pages. Continuing at the second
  // page later would miss changes made to the first one meanwhile.
  Fixture fixture;
  for (const char* record : {"a=1", "b=1", "c=1"})
    fixture.log.Append(fixture.stream, record);
  fixture.log.SetOnPage([&] {
    if (fixture.sink.lost == 0)
      fixture.log.SetMode(FakeLogMode::kRefuses);
  });
  fixture.follower.Start();
  RunUntil(fixture.loop, [&] { return fixture.sink.lost == 1; });
  CHECK(fixture.sink.snapshots.empty());
  fixture.log.Append(fixture.stream, "a");
  fixture.log.SetMode(FakeLogMode::kServes);
  RunUntil(fixture.loop, [&] { return fixture.sink.snapshots.size() == 1; });
  CHECK(fixture.sink.snapshots.back() == std::vector<std::string>{"b", "c"});
}

TEST_CASE("a peer's older knowledge changes nothing") {
  // An instance that the log refuses gets records from a peer that is behind. A
  // removed endpoint must not come back, and an older record must not replace a
  // newer one.
  Fixture fixture;
  for (const char* record : {"a=1", "b=1", "b", "a=2"})
    fixture.log.Append(fixture.stream, record);
  fixture.follower.Start();
  RunUntil(fixture.loop, [&] { return fixture.sink.snapshots.size() == 1; });
  fixture.log.Append(fixture.stream, "c=1");
  fixture.log.Append(fixture.stream, "c");
  RunUntil(fixture.loop,
           [&] { return fixture.sink.records.back() == "c=(removed)"; });
  const std::size_t before = fixture.sink.records.size();
  CHECK(fixture.follower.MergePeerRecords(
            {{"a", "1", LogOffset(0)}, {"c", "1", LogOffset(4)}}) == 0);
  CHECK(fixture.sink.records.size() == before);
  CHECK(fixture.follower.MergePeerRecords({{"a", "3", LogOffset(6)}}) == 1);
  CHECK(fixture.sink.records.back() == "a=3");
}

TEST_CASE("a read that is overtaken by a peer's answer skips no record") {
  // A peer supplies changes while a read of the log waits. If the read's
  // records were numbered from the end of the peer's answer, every later record
  // would count as an older one, and the instance would keep a replaced
  // configuration.
  Fixture fixture;
  fixture.log.Append(fixture.stream, "a=1");
  fixture.follower.Start();
  RunUntil(fixture.loop, [&] { return fixture.follower.caught_up(); });
  bool overtaken = false;
  fixture.log.SetOnCall([&] {
    if (overtaken)
      return;
    overtaken = true;
    fixture.log.Append(fixture.stream, "b=1");
    fixture.log.Append(fixture.stream, "a=2");
    fixture.follower.OnPeerAnswer(LogOffset(3), fixture.loop.now(),
                                  fixture.loop.now());
    fixture.follower.MergePeerRecords(
        {{"b", "1", LogOffset(1)}, {"a", "2", LogOffset(2)}});
  });
  RunUntil(fixture.loop, [&] { return overtaken; });
  RunFor(fixture.loop, Milliseconds(60));
  fixture.log.Append(fixture.stream, "a=3");
  fixture.log.Append(fixture.stream, "b");
  RunFor(fixture.loop, Milliseconds(60));
  CHECK(fixture.sink.records ==
        std::vector<std::string>{"a=1", "b=1", "a=2", "a=3", "b=(removed)"});
}

// Guards against a listener that has taken an entry's removal and is never told
// that the entry is back, as the reader kept the endpoint for a grace period.
TEST_CASE("an unchanged record after a removal is told to peers") {
  Fixture fixture;
  fixture.follower.MergePeerRecords(
      {{"a", "1", LogOffset(0)}, {"a", std::nullopt, LogOffset(1)}});
  fixture.sink.effect = RecordEffect::kUnchanged;
  fixture.follower.MergePeerRecords({{"a", "1", LogOffset(2)}});
  const auto changed = fixture.follower.ChangedSince(LogOffset(2));
  REQUIRE(changed.size() == 1);
  CHECK(changed.front().value == "1");
  fixture.follower.MergePeerRecords({{"a", "1", LogOffset(3)}});
  CHECK(fixture.follower.ChangedSince(LogOffset(3)).empty());
}

// Guards against peers that are sent a record which the log wrote late.
TEST_CASE("peers are sent what was known before a record that is out of date") {
  Fixture fixture;
  const bool removed = GENERATE(false, true);
  const std::optional<std::string> known =
      removed ? std::nullopt : std::optional<std::string>("2");
  fixture.follower.MergePeerRecords(
      {{"a", "2", LogOffset(0)}, {"a", known, LogOffset(1)}});
  fixture.sink.effect = RecordEffect::kOutOfDate;
  fixture.follower.MergePeerRecords({{"a", "1", LogOffset(2)}});
  CHECK(fixture.follower.ChangedSince(LogOffset(2)).empty());
  const auto changed = fixture.follower.ChangedSince(LogOffset(1));
  REQUIRE(changed.size() == 1);
  CHECK(changed.front().value == known);
  CHECK(changed.front().offset == LogOffset(2));
}

// Guards against an evacuation that is dropped since a peer told of it while
// an older snapshot was being read.
TEST_CASE("a peer's record that is newer than the snapshot is part of it") {
  Fixture fixture;
  for (const char* record : {"a=1", "b=1", "c=1"})
    fixture.log.Append(fixture.stream, record);
  fixture.log.SetOnPage([&] {
    fixture.follower.MergePeerRecords({{"d", "1", LogOffset(9)}});
  });
  fixture.follower.Start();
  RunUntil(fixture.loop, [&] { return fixture.sink.snapshots.size() == 1; });
  CHECK(fixture.sink.snapshots.back() ==
        std::vector<std::string>{"a", "b", "c", "d"});
}

}  // namespace
}  // namespace carobshift
