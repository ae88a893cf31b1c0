#include "carobshift/gateway/admission/account_usage.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};
constexpr Milliseconds kPeriod = AccountUsage::kReportPeriod;
constexpr Milliseconds kLifetime =
    kPeriod * AccountUsage::kReportLifetimePeriods;

const AccountId kNorth("north");
const AccountId kSouth("south");

AccountUsageReport ReportOf(std::uint64_t sender,
                            std::uint64_t sequence,
                            const std::map<std::string, double>& costs) {
  AccountUsageReport report{Incarnation(sender), sequence, kPeriod, {}};
  for (const auto& [account, cost] : costs)
    report.usages.push_back({FastHash(account), cost});
  return report;
}

TEST_CASE("own and reported usage are added and decay by half in a second") {
  AccountUsage usage;
  usage.OnStarted(kNorth, 1000, kStart);
  usage.OnPeerReport(ReportOf(1, 1, {{"north", 600}, {"south", 80}}), kStart);
  usage.OnPeerReport(ReportOf(2, 1, {{"north", 400}}), kStart);
  CHECK(usage.Of(kNorth, kStart) == Approx(2000));
  CHECK(usage.Of(kSouth, kStart) == Approx(80));
  CHECK(usage.Of(AccountId("west"), kStart) == 0);
  CHECK(usage.Of(kNorth, kStart + Seconds(1)) == Approx(1000));
  usage.OnStarted(kNorth, 50, kStart + Seconds(2));
  CHECK(usage.Of(kNorth, kStart + Seconds(2)) == Approx(550));
}

// A slow network delivers an old report after a newer one, or twice.
TEST_CASE("a late report doesn't replace a newer one") {
  AccountUsage usage;
  usage.OnPeerReport(ReportOf(1, 5, {{"north", 600}}), kStart);
  usage.OnPeerReport(ReportOf(1, 4, {{"north", 9000}, {"south", 9000}}),
                     kStart);
  CHECK(usage.Of(kNorth, kStart) == Approx(600));
  CHECK(usage.Of(kSouth, kStart) == 0);
  // A repeated report would otherwise count without the decay so far.
  usage.OnPeerReport(ReportOf(1, 5, {{"north", 600}}), kStart + kPeriod);
  CHECK(usage.Of(kNorth, kStart + Seconds(1)) == Approx(300));
  usage.OnPeerReport(ReportOf(1, 6, {{"south", 70}}), kStart + kPeriod);
  CHECK(usage.Of(kNorth, kStart + kPeriod) == 0);
  CHECK(usage.Of(kSouth, kStart + kPeriod) == Approx(70));
}

// Without the decay on the receiver, the usage of the last report before a loss
// would count in full until it expires.
TEST_CASE("a report loses weight with its age while later ones are lost") {
  AccountUsage usage;
  usage.OnPeerReport(ReportOf(1, 1, {{"north", 800}}), kStart);
  CHECK(usage.Of(kNorth, kStart + kPeriod * 2) ==
        Approx(800 * std::exp2(-0.5)));
  usage.Expire(kStart + kLifetime - Microseconds(1));
  CHECK(usage.Of(kNorth, kStart + kLifetime - Microseconds(1)) ==
        Approx(400).epsilon(1e-5));
  usage.Expire(kStart + kLifetime);
  CHECK(usage.Of(kNorth, kStart + kLifetime) == 0);
}

TEST_CASE("the usage of a crashed peer decays and is removed") {
  AccountUsage usage;
  usage.OnStarted(kNorth, 1000, kStart);
  usage.OnPeerReport(ReportOf(1, 9, {{"north", 600}}), kStart);
  usage.OnPeerReport(ReportOf(2, 9, {{"south", 600}}), kStart);
  CHECK(usage.peers() == 2);
  // Peer 2 continues.
  usage.OnPeerReport(ReportOf(2, 10, {{"south", 500}}), kStart + kPeriod);
  usage.Expire(kStart + kLifetime);
  CHECK(usage.peers() == 1);
  CHECK(usage.peer_accounts() == 1);
  CHECK(usage.Of(kNorth, kStart + kLifetime) == Approx(500));
  CHECK(usage.Of(kSouth, kStart + kPeriod) == Approx(500));
}

// The sequence numbers of a restarted peer start again at 1. If they were
// compared with those of its previous run, its reports would be ignored.
TEST_CASE("a restarted peer is another sender") {
  AccountUsage usage;
  usage.OnPeerReport(ReportOf(1, 500, {{"north", 600}}), kStart);
  usage.OnPeerReport(ReportOf(2, 1, {{"north", 80}}), kStart);
  CHECK(usage.Of(kNorth, kStart) == Approx(680));
  usage.Expire(kStart + kLifetime);
  CHECK(usage.Of(kNorth, kStart + kLifetime) == 0);
}

// In a partition, or after its own restart, an instance receives no reports.
// Usage on the other side must not count for longer than reports live.
TEST_CASE("an instance that receives no reports uses its own usage") {
  AccountUsage usage;
  usage.OnPeerReport(ReportOf(1, 1, {{"north", 90'000}}), kStart);
  usage.OnPeerReport(ReportOf(2, 1, {{"north", 90'000}}), kStart);
  const MonotonicTime later = kStart + kLifetime;
  usage.Expire(later);
  usage.OnStarted(kNorth, 1000, later);
  usage.OnStarted(kSouth, 3000, later);
  CHECK(usage.Of(kNorth, later) == Approx(1000));
  CHECK(usage.Of(kSouth, later) == Approx(3000));
  CHECK(usage.ShouldReport(later));
}

// An instance that was stopped reads the reports of several seconds at once.
TEST_CASE("after a stall the newest report of each peer counts") {
  AccountUsage usage;
  usage.OnStarted(kNorth, 4000, kStart);
  usage.OnPeerReport(ReportOf(1, 1, {{"north", 600}}), kStart);
  const MonotonicTime later = kStart + Seconds(2);
  // The datagrams arrive out of order, some before and some after the tick.
  usage.OnPeerReport(ReportOf(1, 2, {{"north", 700}}), later);
  usage.Expire(later);
  usage.OnPeerReport(ReportOf(1, 9, {{"north", 200}}), later);
  usage.OnPeerReport(ReportOf(1, 8, {{"north", 5000}}), later);
  CHECK(usage.Of(kNorth, later) == Approx(4000.0 / 4 + 200));
}

TEST_CASE("an account that becomes active again starts from recent usage") {
  AccountUsage usage;
  usage.OnStarted(kNorth, 8000, kStart);
  usage.OnStarted(kNorth, 100, kStart + Seconds(3));
  CHECK(usage.Of(kNorth, kStart + Seconds(3)) == Approx(1100));
  // No share is saved up while idle.
  usage.OnStarted(kNorth, 100, kStart + Seconds(60));
  CHECK(usage.Of(kNorth, kStart + Seconds(60)) == Approx(100));
}

// Reports are not worth their datagrams without accounts to compare.
TEST_CASE("reports are due only with own usage and two accounts anywhere") {
  AccountUsage usage;
  CHECK_FALSE(usage.ShouldReport(kStart));
  usage.OnStarted(kNorth, 1000, kStart);
  CHECK_FALSE(usage.ShouldReport(kStart));
  usage.OnPeerReport(ReportOf(1, 1, {{"north", 600}}), kStart);
  CHECK_FALSE(usage.ShouldReport(kStart));
  // A peer has usage of a second account.
  usage.OnPeerReport(ReportOf(1, 2, {{"south", 600}}), kStart);
  CHECK(usage.ShouldReport(kStart));
  usage.Expire(kStart + kLifetime);
  CHECK_FALSE(usage.ShouldReport(kStart + kLifetime));
  // This instance has.
  usage.OnStarted(kSouth, 1000, kStart + kLifetime);
  CHECK(usage.ShouldReport(kStart + kLifetime));
  // It has started nothing lately.
  CHECK_FALSE(usage.ShouldReport(kStart + Seconds(60)));

  AccountUsage idle;
  idle.OnPeerReport(ReportOf(1, 1, {{"north", 600}, {"south", 600}}), kStart);
  CHECK_FALSE(idle.ShouldReport(kStart));
}

TEST_CASE("no instance handles more reports a second than the limit") {
  CHECK(AccountUsage::PeriodFor(0) == AccountUsage::kReportPeriod);
  CHECK(AccountUsage::PeriodFor(7) == AccountUsage::kReportPeriod);
  // Compared in integers: quotients that equal the limit are rounded.
  constexpr std::int64_t kMillisecondsPerSecond = 1000;
  constexpr auto kLimit =
      static_cast<std::int64_t>(AccountUsage::kMaxReportsPerSecond);
  for (std::int64_t instances = 1; instances <= 2000; ++instances) {
    const Milliseconds period =
        AccountUsage::PeriodFor(static_cast<std::size_t>(instances));
    REQUIRE(instances * kMillisecondsPerSecond <= kLimit * period.count());
  }
}

// Instances that report at the same moment all choose the same account until
// the next reports.
TEST_CASE("instances report at different moments of the period") {
  constexpr int kInstances = 100;
  std::mt19937_64 random(5);
  int first_half = 0;
  for (int i = 0; i < kInstances; ++i) {
    const Incarnation sender(random());
    const MonotonicTime first =
        AccountUsage::NextReportTime(sender, kPeriod, kStart);
    REQUIRE(first > kStart);
    REQUIRE(first <= kStart + kPeriod);
    first_half += first <= kStart + kPeriod / 2 ? 1 : 0;
    // A tick that is late doesn't delay the reports after it.
    CHECK(AccountUsage::NextReportTime(
              sender, kPeriod, first + Milliseconds(90)) == first + kPeriod);
    CHECK(AccountUsage::NextReportTime(sender, kPeriod, first) ==
          first + kPeriod);
  }
  CHECK(first_half > kInstances / 4);
  CHECK(first_half < kInstances * 3 / 4);
}

TEST_CASE("the accounts with the largest usage are reported") {
  AccountUsage usage;
  constexpr std::size_t kAccounts = AccountUsage::kMaxReportedAccounts + 30;
  for (std::size_t i = 1; i <= kAccounts; ++i)
    usage.OnStarted(AccountId(std::to_string(i)), static_cast<double>(i * 100),
                    kStart);
  const AccountUsageReport report = usage.Report(kStart + Seconds(1));
  REQUIRE(report.usages.size() == AccountUsage::kMaxReportedAccounts);
  CHECK(report.usages.front().account == FastHash(std::to_string(kAccounts)));
  CHECK(report.usages.front().cost == Approx(kAccounts * 100.0 / 2));
  CHECK(report.usages.back().account == FastHash(std::to_string(31)));
}

// Peers' usage must not be reported as the instance's own: it would count once
// more on each instance.
TEST_CASE("a report contains only the instance's own usage") {
  AccountUsage usage;
  usage.OnStarted(kNorth, 1000, kStart);
  usage.OnPeerReport(ReportOf(1, 1, {{"north", 600}, {"south", 600}}), kStart);
  const AccountUsageReport report = usage.Report(kStart);
  REQUIRE(report.usages.size() == 1);
  CHECK(report.usages[0].account == FastHash("north"));
  CHECK(report.usages[0].cost == Approx(1000));
}

TEST_CASE("memory is released when accounts and peers become idle") {
  AccountUsage usage;
  for (int i = 0; i < 1000; ++i)
    usage.OnStarted(AccountId(std::to_string(i)), 5000, kStart);
  // Each of 50 peers restarts 20 times.
  for (std::uint64_t peer = 1; peer <= 1000; ++peer) {
    AccountUsageReport report = ReportOf(peer, 1, {});
    for (std::uint64_t i = 0; i < AccountUsage::kMaxReportedAccounts; ++i)
      report.usages.push_back({peer * 1000 + i, 700});
    usage.OnPeerReport(report, kStart + peer / 50 * kPeriod);
    usage.Expire(kStart + peer / 50 * kPeriod);
    REQUIRE(usage.peers() <=
            50 * (AccountUsage::kReportLifetimePeriods + std::size_t{1}));
    REQUIRE(usage.peer_accounts() ==
            usage.peers() * AccountUsage::kMaxReportedAccounts);
  }
  usage.Expire(kStart + Seconds(60));
  CHECK(usage.own_accounts() == 0);
  CHECK(usage.peers() == 0);
  CHECK(usage.peer_accounts() == 0);
}

// One such cost would make all comparisons with the account meaningless.
TEST_CASE("costs that are not positive and finite are ignored") {
  AccountUsage usage;
  usage.OnStarted(kNorth, 1000, kStart);
  for (const double cost :
       {0.0, -500.0, std::numeric_limits<double>::infinity(),
        std::numeric_limits<double>::quiet_NaN()})
    usage.OnStarted(kNorth, cost, kStart);
  CHECK(usage.Of(kNorth, kStart) == Approx(1000));
}

// The sums are updated with each report; an update that is missed or made twice
// would stay in them.
TEST_CASE("usage is the sum of own starts and the peers' newest reports") {
  rc::prop("whatever order, loss and expiry of reports", [] {
    struct Start {
      std::string account;
      double cost;
      MonotonicTime at;
    };
    struct Newest {
      std::uint64_t sequence = 0;
      std::map<std::string, double> costs;
      MonotonicTime at{};
    };
    const std::vector<std::string> accounts = {"north", "south", "west"};
    const auto left = [](MonotonicTime at, MonotonicTime now) {
      return std::exp2(-std::chrono::duration<double>(now - at).count());
    };
    AccountUsage usage;
    std::vector<Start> starts;
    std::map<std::uint64_t, Newest> newest;
    MonotonicTime now = kStart;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      now += Milliseconds(*rc::gen::inRange(0, 400));
      if (*rc::gen::arbitrary<bool>()) {
        const auto account = *rc::gen::elementOf(accounts);
        const auto cost = static_cast<double>(*rc::gen::inRange(1000, 20'000));
        usage.OnStarted(AccountId(account), cost, now);
        starts.push_back({account, cost, now});
      }
      const auto sender = *rc::gen::inRange<std::uint64_t>(1, 5);
      const auto sequence = *rc::gen::inRange<std::uint64_t>(1, 20);
      std::map<std::string, double> costs;
      for (const std::string& account : accounts) {
        if (*rc::gen::arbitrary<bool>())
          costs[account] = static_cast<double>(*rc::gen::inRange(0, 90'000));
      }
      usage.OnPeerReport(ReportOf(sender, sequence, costs), now);
      if (Newest& known = newest[sender]; sequence > known.sequence)
        known = {sequence, costs, now};
      if (*rc::gen::arbitrary<bool>()) {
        usage.Expire(now);
        std::erase_if(newest, [now](const auto& entry) {
          return now - entry.second.at >= kLifetime;
        });
      }
      for (const std::string& account : accounts) {
        double expected = 0;
        for (const Start& start : starts) {
          if (start.account == account)
            expected += start.cost * left(start.at, now);
        }
        for (const auto& [peer, report] : newest) {
          const auto cost = report.costs.find(account);
          if (cost != report.costs.end())
            expected += cost->second * left(report.at, now);
        }
        // Own usage below kMinUsage may have been dropped. Each start costs
        // 1,000 or more, so 6.6 s pass between two drops, in which the first
        // one decays to 1/100.
        RC_ASSERT(std::abs(usage.Of(AccountId(account), now) - expected) <=
                  AccountUsage::kMinUsage * 1.1 + expected * 1e-9);
      }
    }
  });
}

// Replay of an overload: fifty instances share engines that start two thirds of
// the demand. Requests wait at the instance that they arrive at, for at most
// kPatience.
struct ReplayAccount {
  std::string name;
  double demand_share = 0;
  // Number of instances at which its requests arrive.
  std::size_t instances = 50;
};

enum class Choice { kLeastUsage, kLeastOwnUsage, kArrival };

class Replay {
 public:
  struct Totals {
    double demanded = 0;
    double started = 0;
  };

  Replay(std::vector<ReplayAccount> accounts, Choice choice)
      : accounts_(std::move(accounts)), choice_(choice) {
    std::uniform_int_distribution<std::uint64_t> random_incarnation;
    for (std::size_t i = 0; i < kInstances; ++i) {
      Instance instance;
      instance.waiting.resize(accounts_.size());
      instance.incarnation = Incarnation(random_incarnation(random_));
      instance.next_report = AccountUsage::NextReportTime(
          instance.incarnation, AccountUsage::PeriodFor(kInstances), kStart);
      instances_.push_back(std::move(instance));
    }
  }

  // Returns the cost of each account after a warm-up.
  std::vector<Totals> Run() {
    std::vector<Totals> totals(accounts_.size());
    std::uniform_int_distribution<std::size_t> any_instance(0, kInstances - 1);
    double capacity = 0;
    for (MonotonicTime now = kStart; now < kStart + kDuration;
         now += Milliseconds(1)) {
      const bool counted = now >= kStart + kWarmUp;
      ArriveAll(now, counted ? &totals : nullptr);
      if (choice_ == Choice::kLeastUsage)
        ShareReports(now);
      // An engine that has room again is taken by any instance.
      capacity += kArrivalsPerMillisecond * kMeanCost * kCapacityShare;
      for (int tries = 0; capacity > 0 && tries < 100; ++tries) {
        const auto started = StartOne(instances_[any_instance(random_)], now);
        if (!started)
          continue;
        capacity -= started->second;
        if (counted)
          totals[started->first].started += started->second;
      }
    }
    return totals;
  }

 private:
  static constexpr std::size_t kInstances = 50;
  static constexpr Seconds kWarmUp{5};
  static constexpr Seconds kDuration{35};
  static constexpr Seconds kPatience{3};
  static constexpr double kArrivalsPerMillisecond = 1;
  static constexpr double kMeanCost = 6500;
  static constexpr double kCapacityShare = 0.65;
  static constexpr double kReportLoss = 0.05;

  struct Request {
    MonotonicTime arrived;
    double cost;
  };
  struct Instance {
    Incarnation incarnation;
    AccountUsage usage;
    // By account.
    std::vector<std::deque<Request>> waiting;
    std::uint64_t sequence = 0;
    MonotonicTime next_report{};
  };
  struct Delivery {
    std::size_t receiver;
    std::shared_ptr<const AccountUsageReport> report;
  };

  // Adds the demand of this millisecond to `totals` unless it is null.
  void ArriveAll(MonotonicTime now, std::vector<Totals>* totals) {
    std::uniform_real_distribution<double> cost(1000, 12'000);
    for (std::size_t i = 0; i < accounts_.size(); ++i) {
      std::poisson_distribution<int> arrivals(kArrivalsPerMillisecond *
                                              accounts_[i].demand_share);
      std::uniform_int_distribution<std::size_t> instance(
          0, accounts_[i].instances - 1);
      for (int left = arrivals(random_); left > 0; --left) {
        const Request request{now, cost(random_)};
        instances_[instance(random_)].waiting[i].push_back(request);
        if (totals)
          (*totals)[i].demanded += request.cost;
      }
    }
  }

  void ShareReports(MonotonicTime now) {
    std::uniform_int_distribution<int> delay(1, 80);
    std::bernoulli_distribution lost(kReportLoss);
    for (std::size_t i = 0; i < kInstances; ++i) {
      Instance& sender = instances_[i];
      if (now < sender.next_report)
        continue;
      const Milliseconds period = AccountUsage::PeriodFor(kInstances);
      sender.next_report =
          AccountUsage::NextReportTime(sender.incarnation, period, now);
      sender.usage.Expire(now);
      if (!sender.usage.ShouldReport(now))
        continue;
      auto report =
          std::make_shared<AccountUsageReport>(sender.usage.Report(now));
      report->sender = sender.incarnation;
      report->sequence = ++sender.sequence;
      report->period = period;
      for (std::size_t to = 0; to < kInstances; ++to) {
        if (to != i && !lost(random_))
          deliveries_.emplace(now + Milliseconds(delay(random_)),
                              Delivery{to, report});
      }
    }
    while (!deliveries_.empty() && deliveries_.begin()->first <= now) {
      const Delivery& due = deliveries_.begin()->second;
      instances_[due.receiver].usage.OnPeerReport(*due.report, now);
      deliveries_.erase(deliveries_.begin());
    }
  }

  // Returns the account and the cost of the request started, if one waits.
  std::optional<std::pair<std::size_t, double>> StartOne(Instance& at,
                                                         MonotonicTime now) {
    std::optional<std::size_t> best;
    double best_key = 0;
    for (std::size_t i = 0; i < accounts_.size(); ++i) {
      std::deque<Request>& queue = at.waiting[i];
      while (!queue.empty() && now - queue.front().arrived > kPatience)
        queue.pop_front();
      if (queue.empty())
        continue;
      const double key =
          choice_ == Choice::kArrival
              ? static_cast<double>(
                    queue.front().arrived.time_since_epoch().count())
              : at.usage.Of(AccountId(accounts_[i].name), now);
      if (!best || key < best_key) {
        best = i;
        best_key = key;
      }
    }
    if (!best)
      return std::nullopt;
    const double cost = at.waiting[*best].front().cost;
    at.waiting[*best].pop_front();
    at.usage.OnStarted(AccountId(accounts_[*best].name), cost, now);
    return std::pair(*best, cost);
  }

  std::vector<ReplayAccount> accounts_;
  Choice choice_;
  std::mt19937 random_{17};
  std::vector<Instance> instances_;
  std::multimap<MonotonicTime, Delivery> deliveries_;
};

// Returns the mean cost started for the first `count` accounts.
double MeanStarted(const std::vector<Replay::Totals>& totals,
                   std::size_t count) {
  double started = 0;
  for (std::size_t i = 0; i < count; ++i)
    started += totals[i].started;
  return started / static_cast<double>(count);
}

constexpr double kShareTolerance = 0.1;

// Guards against shares that follow the demand, and against instances that all
// choose the same account while the reports about it are on their way.
TEST_CASE("accounts get equal shares although instances learn of usage late") {
  // The last account demands less than an equal share.
  const std::vector<ReplayAccount> accounts = {
      {"large", 0.333}, {"b", 0.125}, {"c", 0.125},   {"d", 0.125},
      {"e", 0.125},     {"f", 0.127}, {"small", 0.04}};
  const std::size_t small = accounts.size() - 1;
  const auto by_usage = Replay(accounts, Choice::kLeastUsage).Run();
  const auto by_arrival = Replay(accounts, Choice::kArrival).Run();

  const double share = MeanStarted(by_usage, small);
  for (std::size_t i = 0; i < small; ++i) {
    CAPTURE(accounts[i].name);
    CHECK(by_usage[i].started == Approx(share).epsilon(kShareTolerance));
  }
  CHECK(by_usage[small].started >= by_usage[small].demanded * 0.95);

  // By arrival each account is served in proportion to its demand.
  CHECK(by_arrival[0].started > MeanStarted(by_arrival, small) * 1.7);
  CHECK(by_arrival[small].started < by_arrival[small].demanded * 0.8);
}

// Guards against reports without effect: by its own usage alone an instance
// can't know that an account gets nothing at the others.
TEST_CASE("an account with requests at some instances gets an equal share") {
  const std::vector<ReplayAccount> accounts = {
      {"large", 0.333},           {"b", 0.133}, {"c", 0.133}, {"d", 0.133},
      {"in one zone", 0.134, 16}, {"e", 0.134}};
  const auto by_usage = Replay(accounts, Choice::kLeastUsage).Run();
  const auto by_own = Replay(accounts, Choice::kLeastOwnUsage).Run();
  const std::size_t zonal = 4;

  // Its requests can't use what the other instances choose for others while
  // the reports are on their way.
  const double share = MeanStarted(by_usage, accounts.size());
  for (std::size_t i = 0; i < accounts.size(); ++i) {
    CAPTURE(accounts[i].name);
    CHECK(by_usage[i].started == Approx(share).epsilon(0.2));
  }
  CHECK(by_own[zonal].started < MeanStarted(by_own, accounts.size()) * 0.5);
}

}  // namespace
}  // namespace carobshift
