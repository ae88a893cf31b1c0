#include "benchmarks/sim/workload.h"

#include <algorithm>
#include <array>
#include <random>

namespace carobshift {

namespace {

constexpr int kHotAccount = 5;
constexpr int kDossierAccount = 0;
constexpr Tokens kHotPrefixTokens = 4000;
constexpr std::uint64_t kDossiersPerAccount = 40;
constexpr std::uint64_t kConversationsPerAccount = 400;
constexpr std::array<double, kAccounts> kAccountShares = {
    0.25, 0.20, 0.15, 0.08, 0.07, 0.06, 0.06, 0.05, 0.04, 0.04};

constexpr std::array kDeployments = {
    Deployment{.name = "halendisleyfi"},
    Deployment{.name = "golf",
               .engines = 9,
               .entries = 6,
               .rate = 45,
               .dossier_share = 0.03,
               .dossier_tokens = 6000,
               .question_tokens = 700,
               .decode_tokens = 60,
               .swap_seconds = 1},
};

constexpr std::array kScenarios = {
    Scenario{.name = "quiet"},
    Scenario{.name = "burst", .end = 25, .load_factor = 10},
    Scenario{.name = "hot_account", .hot_account_factor = 50},
    Scenario{.name = "hot_prefix", .hot_prefix_share = 0.5},
    Scenario{.name = "slow_endpoint", .fault = Fault::kSlowEngine},
    Scenario{.name = "stalled_endpoint", .fault = Fault::kStalledEngine},
    Scenario{.name = "long_among_short", .dossier_factor = 4},
    Scenario{.name = "overload", .duration = 110, .load_factor = 5},
    Scenario{.name = "crashing_request", .poison_requests = 3},
    Scenario{.name = "half_gone",
             .fault = Fault::kHalfGone,
             .load_factor = 1.5},
    Scenario{.name = "weight_swap",
             .fault = Fault::kWeightSwap,
             .load_factor = 1.5},
    Scenario{.name = "link_at_tenth", .fault = Fault::kLinkAtTenth},
};

class Generator {
 public:
  Generator(const Deployment& deployment,
            const Scenario& scenario,
            std::uint64_t seed)
      : deployment_(deployment), scenario_(scenario), random_(seed) {}

  std::vector<LogicalRequest> Run() {
    for (int account = 0; account < kAccounts; ++account)
      AddAccount(account);
    AddPoison();
    std::ranges::stable_sort(requests_, {}, &LogicalRequest::arrival);
    for (std::size_t i = 0; i < requests_.size(); ++i)
      requests_[i].id = i + 1;
    return std::move(requests_);
  }

 private:
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  std::uint64_t Below(std::uint64_t count) {
    return std::uniform_int_distribution<std::uint64_t>(0, count - 1)(random_);
  }
  // Uniform between half and one and a half of the mean.
  Tokens Around(Tokens mean) {
    return static_cast<Tokens>(static_cast<double>(mean) * (0.5 + Uniform()));
  }

  bool InWindow(double second) const {
    return second >= scenario_.begin && second < scenario_.end;
  }
  double RateOf(int account, double second) const {
    const auto index = static_cast<std::size_t>(account);
    double rate = deployment_.rate * kAccountShares[index];
    if (!InWindow(second))
      return rate;
    rate *= scenario_.load_factor;
    if (account == kHotAccount)
      rate *= scenario_.hot_account_factor;
    return rate;
  }

  // Generates a Poisson process by thinning.
  void AddAccount(int account) {
    const double highest = RateOf(account, scenario_.begin) + 1;
    double second = 0;
    while (true) {
      second += std::exponential_distribution<double>(highest)(random_);
      if (second >= scenario_.duration)
        return;
      if (Uniform() < RateOf(account, second) / highest)
        requests_.push_back(MakeRequest(account, second));
    }
  }

  LogicalRequest MakeRequest(int account, double second) {
    LogicalRequest request;
    request.arrival =
        kSimBegin + Microseconds(static_cast<std::int64_t>(second * 1e6));
    request.account = account;
    double dossiers = deployment_.dossier_share;
    if (InWindow(second) && scenario_.dossier_factor != 1)
      dossiers *= account == kDossierAccount ? scenario_.dossier_factor : 0.5;
    request.dossier = Uniform() < dossiers;
    const auto owner = static_cast<std::uint64_t>(account + 1) * 100000;
    if (request.dossier) {
      // The length is a function of the number, so each dossier always has the
      // same length.
      const std::uint64_t number = Below(kDossiersPerAccount);
      request.prefix = owner + number;
      request.prefix_tokens = deployment_.dossier_tokens / 2 +
                              static_cast<Tokens>(number) *
                                  deployment_.dossier_tokens /
                                  static_cast<Tokens>(kDossiersPerAccount);
    } else {
      request.prefix = owner + 50000 + Below(kConversationsPerAccount);
      request.prefix_tokens = deployment_.question_tokens / 2;
    }
    const Tokens fresh = Around(deployment_.question_tokens / 2);
    request.prompt_tokens = request.prefix_tokens + fresh;
    request.decode_tokens = Around(deployment_.decode_tokens);
    if (InWindow(second) && Uniform() < scenario_.hot_prefix_share) {
      request.prefix = owner;
      request.prefix_tokens = kHotPrefixTokens;
      request.prompt_tokens = kHotPrefixTokens + fresh;
    }
    return request;
  }

  void AddPoison() {
    for (int i = 0; i < scenario_.poison_requests; ++i) {
      LogicalRequest request =
          MakeRequest(kHotAccount, scenario_.begin + 2.0 * i);
      request.poison = true;
      request.dossier = false;
      requests_.push_back(request);
    }
  }

  const Deployment& deployment_;
  const Scenario& scenario_;
  std::mt19937_64 random_;
  std::vector<LogicalRequest> requests_;
};

}  // namespace

std::span<const Deployment> Deployments() {
  return kDeployments;
}

std::span<const Scenario> Scenarios() {
  return kScenarios;
}

const Scenario* FindScenario(std::string_view name) {
  const auto found = std::ranges::find(kScenarios, name, &Scenario::name);
  return found == kScenarios.end() ? nullptr : &*found;
}

std::vector<LogicalRequest> MakeArrivals(const Deployment& deployment,
                                         const Scenario& scenario,
                                         std::uint64_t seed) {
  return Generator(deployment, scenario, seed).Run();
}

}  // namespace carobshift
