#include "carobshift/membership/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <set>

#include "carobshift/membership/gossip_codec.h"

namespace carobshift {
namespace {

constexpr char kSecret[] = "shared";
constexpr MonotonicTime kStart{Seconds(1000)};

MemberInfo Info(int index, std::uint64_t start_count = 1) {
  const auto port = static_cast<std::uint16_t>(7000 + index);
  return {.id = EntryId("entry-" + std::to_string(index)),
          .incarnation = Incarnation(1000 * start_count + index),
          .version = MemberVersion(start_count),
          .zone = ZoneName("zone-a"),
          .host = "127.0.0.1",
          .gossip_port = port};
}

// Several members on a network without loss or delay.
class Cluster {
 public:
  explicit Cluster(int size) {
    for (int i = 0; i < size; ++i)
      Start(i, 1);
  }

  void Start(int index, std::uint64_t start_count) {
    Membership member({}, Info(index, start_count), kSecret,
                      17 * start_count + index, now_);
    member.SetSeeds({Info(0).gossip_address(), Info(1).gossip_address()});
    members_.insert_or_assign(index, std::move(member));
  }

  void Stop(int index) { members_.erase(index); }

  // Drops all datagrams to and from the member.
  void CutOff(int index, bool cut) {
    if (cut)
      cut_off_.insert(index);
    else
      cut_off_.erase(index);
  }

  void Deliver(std::vector<SendDatagram> queue) {
    while (!queue.empty()) {
      const SendDatagram next = std::move(queue.back());
      queue.pop_back();
      largest_ = std::max(largest_, next.bytes.size());
      const int index = next.to.port - 7000;
      if (!members_.contains(index) || cut_off_.contains(index))
        continue;
      for (SendDatagram& answer :
           members_.at(index).OnDatagram(next.bytes, now_))
        queue.push_back(std::move(answer));
    }
  }

  void Run(Milliseconds duration) {
    for (const MonotonicTime end = now_ + duration; now_ < end;
         now_ += Membership::kTick) {
      for (auto& [index, member] : members_) {
        std::vector<SendDatagram> sent = member.OnTick(now_);
        if (!cut_off_.contains(index))
          Deliver(std::move(sent));
      }
    }
  }

  // Runs until the condition holds, at most `limit`, and returns the time
  // taken.
  Milliseconds RunUntil(Milliseconds limit,
                        const std::function<bool()>& condition) {
    const MonotonicTime begin = now_;
    while (!condition() && now_ - begin < limit)
      Run(Membership::kTick);
    return std::chrono::duration_cast<Milliseconds>(now_ - begin);
  }

  [[nodiscard]] bool AllSee(std::size_t live) const {
    return std::all_of(members_.begin(), members_.end(),
                       [live](const auto& item) {
                         return item.second.LiveMembers().size() == live;
                       });
  }

  Membership& at(int index) { return members_.at(index); }
  [[nodiscard]] MonotonicTime now() const { return now_; }
  [[nodiscard]] std::size_t largest() const { return largest_; }

 private:
  MonotonicTime now_ = kStart;
  std::map<int, Membership> members_;
  std::set<int> cut_off_;
  std::size_t largest_ = 0;
};

TEST_CASE("members that know only seeds find each other") {
  Cluster cluster(7);
  CHECK(cluster.RunUntil(Seconds(10), [&] { return cluster.AllSee(7); }) <
        Seconds(10));
  CHECK(cluster.largest() <= kMaxDatagramBytes);
}

// All instances lose power and restart together, each knowing two others. Until
// they have discovered each other, loads are unknown and each entry dispatches
// as if it were the only one, so callers queue for seconds.
TEST_CASE("ninety entries that start at once find each other in two seconds") {
  Cluster cluster(90);
  CHECK(cluster.RunUntil(Seconds(20), [&] { return cluster.AllSee(90); }) <=
        Seconds(2));
}

// An entry's machine loses power. Until the other entries detect it, callers
// are sent to the dead entry and wait for their connections to fail.
TEST_CASE("a dead entry is found within the stated bound") {
  Cluster cluster(7);
  cluster.Run(Seconds(10));
  const Milliseconds bound = cluster.at(0).DetectionBound();
  cluster.Stop(6);
  CHECK(cluster.RunUntil(Seconds(60), [&] { return cluster.AllSee(6); }) <=
        bound);
}

TEST_CASE("a planned stop leaves the address answers at once") {
  Cluster cluster(7);
  cluster.Run(Seconds(10));
  cluster.at(3).Leave();
  CHECK(cluster.RunUntil(Seconds(10), [&] { return cluster.AllSee(6); }) <=
        Seconds(2));
  CHECK(cluster.at(0).Find(EntryId("entry-3"))->state == MemberState::kAlive);
}

// The platform restarts an entry whose calendar clock was set back. If the
// record of its earlier incarnation superseded the new one, callers would not
// be sent to the entry.
TEST_CASE("a restarted entry replaces its earlier incarnation") {
  Cluster cluster(5);
  cluster.Run(Seconds(10));
  cluster.Start(4, 0);
  const auto replaced = [&] {
    const MemberRecord* record = cluster.at(0).Find(EntryId("entry-4"));
    return record->info.incarnation == Info(4, 0).incarnation &&
           cluster.AllSee(5);
  };
  CHECK(cluster.RunUntil(Seconds(30), replaced) < Seconds(15));
}

// The process is paused for some seconds. When it resumes, all its timeouts
// have expired; it must not declare the other members dead.
TEST_CASE("a pause of this process is not silence of the others") {
  Cluster cluster(5);
  cluster.Run(Seconds(10));
  (void)cluster.at(2).OnTick(cluster.now() + Seconds(20));
  (void)cluster.at(2).OnTick(cluster.now() + Seconds(20));
  CHECK(cluster.at(2).counters().pauses == 1);
  CHECK(cluster.at(2).LiveMembers().size() == 5);
}

TEST_CASE("facts and configuration versions reach all within two seconds") {
  Cluster cluster(7);
  cluster.Run(Seconds(10));
  cluster.at(1).PublishFact({.kind = FactKind::kEndpointLeaving,
                             .subject = "engine-1",
                             .remaining = Seconds(30)},
                            cluster.now());
  cluster.at(1).SetConfigVersion(ConfigVersion(12));
  const auto known = [&] {
    for (int i = 0; i < 7; ++i) {
      const Membership& member = cluster.at(i);
      if (!member.facts().HasActive(FactKind::kEndpointLeaving, "engine-1",
                                    cluster.now()) ||
          member.Find(EntryId("entry-1"))->config_version != ConfigVersion(12))
        return false;
    }
    return true;
  };
  CHECK(cluster.RunUntil(Seconds(10), known) <= Seconds(2));
}

// A request crashes each engine that runs it, and all entries know the fact.
// One entry is then killed and restarted. Each fact is sent about a dozen
// times, so without the rotation for new members the restarted entry would
// never receive it and would dispatch the request to three more engines.
TEST_CASE("an entry that starts later hears of facts that still hold") {
  Cluster cluster(7);
  cluster.Run(Seconds(10));
  cluster.at(1).PublishFact({.kind = FactKind::kSuspectedRequest,
                             .subject = "request-1",
                             .remaining = Seconds(60)},
                            cluster.now());
  cluster.Run(Seconds(20));
  cluster.Start(4, 2);
  const auto known = [&] {
    return cluster.at(4).facts().HasActive(FactKind::kSuspectedRequest,
                                           "request-1", cluster.now());
  };
  CHECK(cluster.RunUntil(Seconds(10), known) <= Seconds(3));
}

// An entry is partitioned while the others learn the fact. Without the rotation
// for rejoined members, it would dispatch the request to engines after the
// partition heals.
TEST_CASE("an entry that was cut off hears of facts that still hold") {
  Cluster cluster(7);
  cluster.Run(Seconds(10));
  cluster.CutOff(4, true);
  cluster.at(1).PublishFact({.kind = FactKind::kSuspectedRequest,
                             .subject = "request-1",
                             .remaining = Seconds(60)},
                            cluster.now());
  cluster.Run(Seconds(10));
  cluster.CutOff(4, false);
  const auto known = [&] {
    return cluster.at(4).facts().HasActive(FactKind::kSuspectedRequest,
                                           "request-1", cluster.now());
  };
  CHECK_FALSE(known());
  CHECK(cluster.RunUntil(Seconds(10), known) <= Seconds(3));
}

// Repeating facts must not extend them beyond their expiry.
TEST_CASE("a fact ends everywhere when its time is over") {
  Cluster cluster(7);
  cluster.Run(Seconds(10));
  cluster.at(1).PublishFact({.kind = FactKind::kSuspectedRequest,
                             .subject = "request-1",
                             .remaining = Seconds(20)},
                            cluster.now());
  cluster.Run(Seconds(10));
  cluster.Start(4, 2);
  cluster.Run(Seconds(11));
  for (int i = 0; i < 7; ++i)
    CHECK(cluster.at(i).facts().size() == 0);
}

// Recorded datagrams are replayed to the same entry, to another entry, and to
// an entry that has restarted without any state.
TEST_CASE("recorded datagrams have no effect") {
  Membership receiver({}, Info(1), kSecret, 5, kStart);
  GossipMessage message{.kind = GossipKind::kPing,
                        .sender = Info(2),
                        .sequence = 1,
                        .to = Info(1).gossip_address()};
  const std::string recorded = EncodeGossip(message, kSecret);
  const auto challenge = receiver.OnDatagram(recorded, kStart);
  REQUIRE(challenge.size() == 1);
  CHECK(receiver.Find(Info(2).id) == nullptr);

  message.kind = GossipKind::kChallengeReply;
  message.number = DecodeGossip(challenge[0].bytes, kSecret).value().number;
  message.sequence = 2;
  const std::string reply = EncodeGossip(message, kSecret);
  CHECK(receiver.OnDatagram(reply, kStart).size() == 1);
  CHECK(receiver.Find(Info(2).id) != nullptr);
  CHECK(receiver.OnDatagram(reply, kStart).empty());
  CHECK(receiver.counters().replayed == 1);

  Membership other({}, Info(3), kSecret, 6, kStart);
  CHECK(other.OnDatagram(reply, kStart).empty());
  CHECK(other.counters().misdirected == 1);

  Membership restarted({}, Info(1, 2), kSecret, 7, kStart);
  CHECK(restarted.OnDatagram(reply, kStart).size() == 1);
  CHECK(restarted.Find(Info(2).id) == nullptr);
}

}  // namespace
}  // namespace carobshift
