#include "carobshift/gateway/cache_relay.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};
const CacheHolder kEngine("engine");
const PromptPart kFirst{"first", 100};
const PromptPart kSecond{"second", 100};
const PromptPart kThird{"third", 100};

std::vector<EntryId> Instances(int count) {
  std::vector<EntryId> live;
  for (int i = 0; i < count; ++i)
    live.emplace_back("entry-" + std::to_string(i));
  return live;
}

// The read after `since`, which stores one part.
StoreEvents Stores(const PromptPart& part, std::uint64_t since) {
  StoreEvents events;
  events.epoch = 1;
  events.next = since + 1;
  events.events = {{true, "s", part.id, part.tokens}};
  return events;
}

// A teller and a listener with their own tables; the way between them may lose
// datagrams.
struct Scene {
  void Read(const PromptPart& part) {
    const std::uint64_t since = teller.next(kEngine);
    Read(Stores(part, since), since);
  }
  void Read(const StoreEvents& events, std::uint64_t since) {
    teller.OnEvents(kEngine, events, kStart);
    relay.OnRead(kEngine, since, events, whole);
  }
  void Tell(bool lost = false) {
    for (const CacheNews& news : relay.Take(teller, kStart)) {
      const auto decoded = DecodeCacheNews(EncodeCacheNews(news));
      REQUIRE(decoded.ok());
      for (const HolderNews& of_holder : decoded.value().holders) {
        if (!lost)
          listener.OnNews(of_holder, kStart);
      }
    }
  }
  [[nodiscard]] bool Knows(const PromptPart& part) const {
    return listener.HoldsWhole(kEngine, "s", part, kStart);
  }

  CacheContents teller;
  CacheContents listener;
  CacheRelay relay;
  // Whether long runs are told as well.
  bool whole = false;
};

TEST_CASE("up to its limit a holder is read by all, beyond it by two") {
  // Twenty instances before engines that serve twelve readers each: every
  // engine is read by two of them, and by other ones than the next engine.
  const auto few = Instances(12);
  for (const EntryId& self : few)
    CHECK(CacheReaderRoles(few, self).Of(kEngine, 12) ==
          CacheReaderRole::kReader);
  const auto many = Instances(20);
  std::map<EntryId, int> tells;
  for (int i = 0; i < 60; ++i) {
    const CacheHolder engine("engine-" + std::to_string(i));
    int tellers = 0;
    int readers = 0;
    for (const EntryId& self : many) {
      const CacheReaderRole role = CacheReaderRoles(many, self).Of(engine, 12);
      readers += role == CacheReaderRole::kReader ? 1 : 0;
      if (role != CacheReaderRole::kTeller)
        continue;
      ++tellers;
      ++tells[self];
    }
    CHECK(tellers == 1);
    CHECK(readers == 1);
  }
  CHECK(tells.size() >= 15);
}

TEST_CASE("the reader beside the teller takes over when that one dies") {
  auto live = Instances(20);
  EntryId reader;
  EntryId teller;
  for (const EntryId& self : live) {
    const CacheReaderRole role = CacheReaderRoles(live, self).Of(kEngine, 12);
    if (role == CacheReaderRole::kReader)
      reader = self;
    if (role == CacheReaderRole::kTeller)
      teller = self;
  }
  std::erase(live, teller);
  CHECK(CacheReaderRoles(live, reader).Of(kEngine, 12) ==
        CacheReaderRole::kTeller);
}

TEST_CASE("a listener learns what the teller reads") {
  Scene scene;
  scene.Read(kFirst);
  scene.Tell();
  CHECK(scene.Knows(kFirst));
  scene.Read(kSecond);
  scene.Tell();
  CHECK(scene.Knows(kSecond));
  StoreEvents dropped = Stores(kFirst, 2);
  dropped.events[0] = {false, "s", kFirst.id, 0};
  scene.Read(dropped, 2);
  scene.Tell();
  CHECK_FALSE(scene.Knows(kFirst));
  CHECK(scene.Knows(kSecond));
}

TEST_CASE("one lost datagram is made up by the next") {
  // On a lossy link one datagram in forty is lost. Taken for a gap, each would
  // make a listener forget all that an engine holds.
  Scene scene;
  scene.Read(kFirst);
  scene.Tell();
  scene.Read(kSecond);
  scene.Tell(/*lost=*/true);
  scene.Read(kThird);
  scene.Tell();
  CHECK(scene.Knows(kFirst));
  CHECK(scene.Knows(kSecond));
  CHECK(scene.Knows(kThird));
}

TEST_CASE("two lost datagrams in a row are seen as a gap") {
  // What was dropped meanwhile isn't known, so nothing older may be believed.
  Scene scene;
  scene.Read(kFirst);
  scene.Tell();
  scene.Read(kSecond);
  scene.Tell(/*lost=*/true);
  scene.Tell(/*lost=*/true);
  scene.Read(kThird);
  scene.Tell();
  CHECK_FALSE(scene.Knows(kFirst));
  CHECK(scene.Knows(kThird));
}

TEST_CASE("a listener that starts late asks for a list of a store") {
  Scene scene;
  scene.Read(kFirst);
  scene.Tell(/*lost=*/true);
  scene.Tell(/*lost=*/true);
  scene.Read(kSecond);
  scene.Tell();
  CHECK(scene.listener.NeedsListing(kEngine));
  scene.listener.OnListing(
      kEngine, {1, 2, {{true, "s", "first", 100}, {true, "s", "second", 100}}},
      kStart);
  scene.Read(kThird);
  scene.Tell();
  CHECK(scene.Knows(kFirst));
  CHECK(scene.Knows(kThird));
  CHECK_FALSE(scene.listener.NeedsListing(kEngine));
}

TEST_CASE("a holder that restarts empty is forgotten by the listeners") {
  Scene scene;
  scene.Read(kFirst);
  scene.Tell();
  StoreEvents restarted = Stores(kSecond, 0);
  restarted.epoch = 2;
  scene.Read(restarted, 1);
  scene.Tell();
  CHECK_FALSE(scene.Knows(kFirst));
  CHECK(scene.Knows(kSecond));
  CHECK_FALSE(scene.listener.NeedsListing(kEngine));
}

TEST_CASE("a teller that hears nothing tells nothing") {
  // News that go on would keep the listeners' trust in a silent holder.
  Scene scene;
  scene.Read(kFirst);
  scene.teller.OnReaderLost(kEngine);
  CHECK(scene.relay.Take(scene.teller, kStart).empty());
}

TEST_CASE("a listener trusts a holder no longer than its reader does") {
  // A store goes dark for two seconds and comes back empty. News that went on
  // after the reader last heard of it must not keep the listeners' trust until
  // the store is written to anew: they would fetch parts that are half written.
  Scene scene;
  scene.Read(kFirst);
  const MonotonicTime late = kStart + CacheContents::kTrust - Milliseconds(100);
  for (const CacheNews& news : scene.relay.Take(scene.teller, late)) {
    const auto decoded = DecodeCacheNews(EncodeCacheNews(news));
    REQUIRE(decoded.ok());
    scene.listener.OnNews(decoded.value().holders.at(0), late);
  }
  CHECK(scene.listener.HoldsWhole(kEngine, "s", kFirst, late));
  CHECK_FALSE(scene.listener.HoldsWhole(kEngine, "s", kFirst,
                                        late + Milliseconds(200)));
}

TEST_CASE("news of many holders are cut into datagrams") {
  CacheContents contents;
  CacheRelay relay;
  for (int i = 0; i < 100; ++i) {
    const CacheHolder holder("engine-" + std::to_string(i));
    contents.OnEvents(holder, Stores(kFirst, 0), kStart);
    relay.OnRead(holder, 0, Stores(kFirst, 0), /*whole=*/false);
  }
  std::size_t holders = 0;
  for (const CacheNews& news : relay.Take(contents, kStart)) {
    holders += news.holders.size();
    CHECK(EncodeCacheNews(news).size() <= CacheRelay::kMaxNewsBytes);
  }
  CHECK(holders == 100);
}

// Events of `count` parts, numbered from `first`, without removals.
StoreEvents ManyStored(int first, int count) {
  StoreEvents events;
  events.epoch = 1;
  events.next = static_cast<std::uint64_t>(first + count);
  for (int i = first; i < first + count; ++i)
    events.events.push_back({true, "s", "part-" + std::to_string(i), 100});
  return events;
}

// Hands the listener what the relay tells, but for the datagram `lost`.
void TellMany(Scene& scene, std::size_t lost) {
  std::size_t number = 0;
  for (const CacheNews& news : scene.relay.Take(scene.teller, kStart)) {
    CHECK(EncodeCacheNews(news).size() <= CacheRelay::kMaxNewsBytes);
    if (number++ == lost)
      continue;
    const auto decoded = DecodeCacheNews(EncodeCacheNews(news));
    REQUIRE(decoded.ok());
    for (const HolderNews& holder : decoded.value().holders)
      scene.listener.OnNews(holder, kStart);
  }
}

TEST_CASE("what a store takes in between two tellings is told whole") {
  // Guards against a listener that never hears of most parts, so that each
  // session is read again: with two hundred instances news come once in 0.8 s,
  // and a store takes in more parts than one datagram holds.
  constexpr std::size_t kNone = 99;
  Scene scene;
  scene.whole = true;
  scene.Read(ManyStored(0, 50), 0);
  TellMany(scene, kNone);
  CHECK(scene.listener.size(kEngine) == 50);
  scene.Read(ManyStored(50, 70), 50);
  // One of several datagrams is lost, and made up by the next telling.
  TellMany(scene, 4);
  CHECK(scene.listener.size(kEngine) < 120);
  CHECK_FALSE(scene.listener.NeedsListing(kEngine));
  scene.Read(ManyStored(120, 3), 120);
  TellMany(scene, kNone);
  CHECK(scene.listener.size(kEngine) == 123);
  CHECK_FALSE(scene.listener.NeedsListing(kEngine));
}

TEST_CASE("what an engine takes in fills one datagram at most") {
  // Guards against small links that are full of news: each of a hundred engines
  // changes more in a telling than a datagram holds, and callers' requests then
  // wait behind it.
  Scene scene;
  for (int telling = 0; telling < 5; ++telling) {
    scene.Read(ManyStored(telling * 50, 50),
               static_cast<std::uint64_t>(telling) * 50);
    CHECK(scene.relay.Take(scene.teller, kStart).size() == 1);
  }
}

TEST_CASE("a listener believes nothing older than a gap of its teller") {
  // Guards against a part that the store has dropped meanwhile being fetched
  // while it is written anew.
  Scene scene;
  scene.Read(kFirst);
  scene.Tell();
  REQUIRE(scene.Knows(kFirst));
  StoreEvents after_gap = Stores(kSecond, 1);
  after_gap.gap = true;
  scene.Read(after_gap, 1);
  scene.Tell();
  CHECK_FALSE(scene.Knows(kFirst));
  CHECK(scene.listener.NeedsListing(kEngine));
}

TEST_CASE("news that were cut off are refused") {
  Scene scene;
  scene.Read(kFirst);
  const auto news = scene.relay.Take(scene.teller, kStart);
  REQUIRE(news.size() == 1);
  const std::string payload = EncodeCacheNews(news[0]);
  CHECK(DecodeCacheNews(payload).ok());
  CHECK_FALSE(DecodeCacheNews(payload.substr(0, payload.size() - 1)).ok());
  CHECK_FALSE(DecodeCacheNews("").ok());
}

}  // namespace
}  // namespace carobshift
