#include "carobshift/membership/membership.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "carobshift/membership/entry_ranking.h"

namespace carobshift {
namespace {

constexpr MonotonicTime kStart{Seconds(1000)};

MemberInfo Info(std::size_t index) {
  return {.id = EntryId("entry-" + std::to_string(index)),
          .incarnation = Incarnation(index + 1),
          .version = MemberVersion(1'700'000'000'000),
          .zone = ZoneName("zone-" + std::to_string(index % 18)),
          .host = "10.20." + std::to_string(index / 250) + "." +
                  std::to_string(index % 250),
          .gossip_port = static_cast<std::uint16_t>(10000 + index),
          .peer_port = 7002,
          .http_port = 8080};
}

MembershipCounters Total(const std::vector<Membership>& members) {
  MembershipCounters total;
  for (const Membership& member : members) {
    total.sent += member.counters().sent;
    total.sent_bytes += member.counters().sent_bytes;
  }
  return total;
}

// Runs n members for virtual seconds over a network without loss. One iteration
// is one virtual second of all members. At the larger sizes these seconds fall
// into the discovery phase, which needs more datagrams than later ones.
void BM_MemberSecond(benchmark::State& state) {
  const auto size = static_cast<std::size_t>(state.range(0));
  std::vector<Membership> members;
  std::vector<NetAddress> seeds;
  for (std::size_t i = 0; i < size; ++i)
    seeds.push_back(Info(i).gossip_address());
  MonotonicTime now = kStart;
  for (std::size_t i = 0; i < size; ++i) {
    members.emplace_back(MembershipOptions{}, Info(i), "secret", i + 1, now);
    members.back().SetSeeds(seeds);
  }
  const auto run_one_second = [&] {
    for (int tick = 0; tick < 20; ++tick, now += Membership::kTick) {
      for (Membership& member : members) {
        std::vector<SendDatagram> queue = member.OnTick(now);
        while (!queue.empty()) {
          const SendDatagram next = std::move(queue.back());
          queue.pop_back();
          const std::size_t index = next.to.port - 10000U;
          for (SendDatagram& answer :
               members[index].OnDatagram(next.bytes, now))
            queue.push_back(std::move(answer));
        }
      }
    }
  };
  for (int second = 0; second < 20; ++second)
    run_one_second();
  const MembershipCounters before = Total(members);
  std::int64_t seconds = 0;
  for (auto _ : state) {
    run_one_second();
    ++seconds;
  }
  const double node_seconds =
      static_cast<double>(seconds) * static_cast<double>(size);
  const MembershipCounters after = Total(members);
  state.counters["bytes_sent_per_node_second"] =
      static_cast<double>(after.sent_bytes - before.sent_bytes) / node_seconds;
  state.counters["datagrams_sent_per_node_second"] =
      static_cast<double>(after.sent - before.sent) / node_seconds;
  state.counters["core_seconds_per_node_second"] = benchmark::Counter(
      node_seconds, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(BM_MemberSecond)
    ->Arg(7)
    ->Arg(50)
    ->Arg(200)
    ->Arg(420)
    ->Unit(benchmark::kMillisecond)
    ->MinTime(0.5);

void BM_RankEntries(benchmark::State& state) {
  std::vector<MemberInfo> live;
  for (std::size_t i = 0; i < static_cast<std::size_t>(state.range(0)); ++i)
    live.push_back(Info(i));
  const RankingKey key{.account = AccountId("north-tours"),
                       .conversation = ConversationId("dossier-2026-1187"),
                       .zone = ZoneName("zone-3")};
  for (auto _ : state)
    benchmark::DoNotOptimize(RankEntries(key, live, 4));
}
BENCHMARK(BM_RankEntries)->Arg(7)->Arg(50)->Arg(200)->Arg(420);

}  // namespace
}  // namespace carobshift

BENCHMARK_MAIN();
