// Admission against a simple oracle: every request ends exactly once, places
// are used, nobody's wait outlives its bound, and a refusal on arrival is for
// want of time, places or room.

#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "carobshift/admission/admission_queue.h"

namespace carobshift {
namespace {

constexpr int kFuzzAccounts = 6;
constexpr int kHotAccount = 0;
constexpr int kSmallAccount = 1;
constexpr int kMaxInFlight = 60;

// What the oracle knows of one request.
enum class Fate { kWaiting, kRunning, kEnded };
struct Known {
  Fate fate = Fate::kWaiting;
  int account = 0;
  PriorityClass priority = PriorityClass::kNormal;
  MonotonicTime arrival{};
  CostUnits cost = 1;
};

struct Violations {
  int answered_twice = 0;
  int idle_place = 0;
  int overfull = 0;
  int waited_too_long = 0;
  int untrue_refusal = 0;
  int small_account_passed = 0;
  int low_class_passed = 0;

  [[nodiscard]] int total() const {
    return answered_twice + idle_place + overfull + waited_too_long +
           untrue_refusal + small_account_passed + low_class_passed;
  }
};

// One run of random arrivals, ends, cancellations and waits, by one seed.
class AdmissionRun {
 public:
  AdmissionRun(std::uint64_t seed, AdmissionMutation mutation)
      : random_(seed), queue_(OptionsWith(mutation)) {
    for (int account = 0; account < kFuzzAccounts; ++account)
      queue_.SetAccount(Name(account), {.max_in_flight = kMaxInFlight});
    places_ = 1 + static_cast<int>(Below(4));
    queue_.SetCapacity({.places = static_cast<double>(places_)});
  }

  Violations Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      Step();
      CheckPlaces();
    }
    Drain();
    return violations_;
  }

 private:
  static AdmissionOptions OptionsWith(AdmissionMutation mutation) {
    AdmissionOptions options;
    options.mutation = mutation;
    return options;
  }
  static AccountId Name(int account) {
    return AccountId("account-" + std::to_string(account));
  }
  std::uint64_t Below(std::uint64_t count) { return random_() % count; }

  void Step() {
    switch (Below(10)) {
      case 0:
        now_ += Milliseconds(static_cast<int>(Below(40)));
        break;
      case 1:
      case 2:
      case 3:
        EndOne();
        break;
      case 4:
        CancelOne();
        break;
      default:
        // Most arrivals are the hot account's.
        Arrive(Below(3) > 0 ? kHotAccount
                            : static_cast<int>(Below(kFuzzAccounts)));
    }
    Pop();
  }

  void Arrive(int account) {
    Known known{.account = account,
                .priority = static_cast<PriorityClass>(Below(3)),
                .arrival = now_,
                .cost = 50.0 + static_cast<double>(Below(400))};
    const std::string id = std::to_string(next_++);
    AdmissionRequest request;
    request.id = RequestId(id);
    request.account = Name(account);
    request.priority = known.priority;
    request.cost = known.cost;
    if (Below(3) == 0)
      request.first_token_deadline =
          now_ + Milliseconds(static_cast<int>(Below(3000)));
    const int in_flight = queue_.InFlight(Name(account));
    const AdmissionDecision decision = queue_.Arrive(request, now_);
    if (decision.verdict == AdmissionVerdict::kRefused) {
      CheckRefusal(request, decision, in_flight);
      return;
    }
    known.fate = decision.verdict == AdmissionVerdict::kAdmitted
                     ? Fate::kRunning
                     : Fate::kWaiting;
    known_[id] = known;
  }

  // True only if the account is at its limit, or if what is ahead takes longer
  // at the queue's own measured rate than the request has.
  void CheckRefusal(const AdmissionRequest& request,
                    const AdmissionDecision& decision,
                    int in_flight) {
    const bool at_limit =
        decision.code == ResultCode::kAccountLimit && in_flight >= kMaxInFlight;
    const Milliseconds longest(request.priority == PriorityClass::kLow ? 8000
                                                                       : 2000);
    MonotonicTime latest = now_ + longest;
    if (request.first_token_deadline)
      latest = std::min(latest, *request.first_token_deadline);
    const bool too_late = now_ + decision.expected_wait > latest;
    const bool busy = queue_.running() >= places_;
    if (!at_limit && !(too_late && busy))
      ++violations_.untrue_refusal;
    if (decision.retry_after < Milliseconds(500))
      ++violations_.untrue_refusal;
  }

  void Pop() {
    const AdmissionStep step = queue_.Pop(now_);
    for (const ExpiredRequest& expired : step.expired)
      End(expired.id.value(), Fate::kWaiting);
    for (const RequestId& id : step.admitted)
      Begin(id.value());
  }

  void Begin(const std::string& id) {
    Known& known = known_.at(id);
    if (known.fate != Fate::kWaiting)
      ++violations_.answered_twice;
    const bool is_low = known.priority == PriorityClass::kLow;
    if (now_ - known.arrival > Milliseconds(is_low ? 8000 : 2000))
      ++violations_.waited_too_long;
    known.fate = Fate::kRunning;
    CheckOrder(known);
  }

  // A start of the hot account passes a request of the small one that waits
  // only so often: at most its cost and one largest request's worth.
  void CheckOrder(const Known& started) {
    bool small_waits = false;
    for (const auto& [id, other] : known_) {
      if (other.fate != Fate::kWaiting)
        continue;
      small_waits = small_waits || other.account == kSmallAccount;
      // Arrived two class steps and a size offset later, and still started
      // before one of the same account that waits.
      if (other.account == started.account &&
          started.arrival > other.arrival + Milliseconds(1500))
        ++violations_.low_class_passed;
    }
    if (started.account == kSmallAccount || !small_waits)
      hot_cost_while_small_waits_ = 0;
    else if (started.account == kHotAccount)
      hot_cost_while_small_waits_ += started.cost;
    if (hot_cost_while_small_waits_ > 2 * 450 + 450)
      ++violations_.small_account_passed;
  }

  void EndOne() {
    const std::string id = Pick(Fate::kRunning);
    if (id.empty())
      return;
    queue_.Finish(RequestId(id), known_.at(id).cost);
    End(id, Fate::kRunning);
  }

  void CancelOne() {
    const std::string id =
        Pick(Below(2) == 0 ? Fate::kRunning : Fate::kWaiting);
    if (id.empty())
      return;
    (void)queue_.Cancel(RequestId(id));
    End(id, known_.at(id).fate);
  }

  void End(const std::string& id, Fate expected) {
    Known& known = known_.at(id);
    if (known.fate != expected)
      ++violations_.answered_twice;
    known.fate = Fate::kEnded;
    if (known.account == kSmallAccount)
      hot_cost_while_small_waits_ = 0;
    known_.erase(id);
  }

  std::string Pick(Fate fate) {
    std::vector<std::string> ids;
    for (const auto& [id, known] : known_) {
      if (known.fate == fate)
        ids.push_back(id);
    }
    return ids.empty() ? "" : ids[Below(ids.size())];
  }

  // Work conserving: nothing waits while a place is free; and no place is
  // given twice.
  void CheckPlaces() {
    int running = 0;
    int waiting = 0;
    for (const auto& [id, known] : known_) {
      running += known.fate == Fate::kRunning ? 1 : 0;
      waiting += known.fate == Fate::kWaiting ? 1 : 0;
    }
    if (running < places_ && waiting > 0)
      ++violations_.idle_place;
    if (running > places_)
      ++violations_.overfull;
  }

  // Everything ends: started and finished, or given up by its wakeup.
  void Drain() {
    for (int i = 0; i < 2000 && !known_.empty(); ++i) {
      EndOne();
      Pop();
      if (const auto wakeup = queue_.NextWakeup(); wakeup && Below(4) == 0) {
        now_ = std::max(now_, *wakeup + Microseconds(1));
        Pop();
      }
    }
    violations_.answered_twice += static_cast<int>(known_.size());
    violations_.answered_twice += queue_.queued() > 0 ? 1 : 0;
  }

  std::mt19937_64 random_;
  AdmissionQueue queue_;
  int places_ = 1;
  MonotonicTime now_{Seconds(1000)};
  std::uint64_t next_ = 1;
  std::map<std::string, Known> known_;
  double hot_cost_while_small_waits_ = 0;
  Violations violations_;
};

Violations RunMany(AdmissionMutation mutation) {
  Violations sum;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    const Violations one = AdmissionRun(seed, mutation).Run(1500);
    sum.answered_twice += one.answered_twice;
    sum.idle_place += one.idle_place;
    sum.small_account_passed += one.small_account_passed;
    sum.low_class_passed += one.low_class_passed;
  }
  return sum;
}

}  // namespace

TEST_CASE("admission answers everybody once, in time and in turn") {
  rc::prop("no violation in a random run", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const Violations found =
        AdmissionRun(seed, AdmissionMutation::kNone).Run(800);
    RC_LOG() << "twice or lost " << found.answered_twice << ", idle place "
             << found.idle_place << ", overfull " << found.overfull
             << ", too long " << found.waited_too_long << ", untrue refusal "
             << found.untrue_refusal << ", small passed "
             << found.small_account_passed << ", low class passed "
             << found.low_class_passed;
    RC_ASSERT(found.total() == 0);
  });
}

TEST_CASE("without fairness the hot account passes the small one") {
  CHECK(RunMany(AdmissionMutation::kNone).small_account_passed == 0);
  CHECK(RunMany(AdmissionMutation::kNoFairness).small_account_passed > 0);
}

TEST_CASE("without aging a low class is passed for ever") {
  CHECK(RunMany(AdmissionMutation::kNone).low_class_passed == 0);
  CHECK(RunMany(AdmissionMutation::kNoAging).low_class_passed > 0);
}

TEST_CASE("a lost wakeup leaves a place idle") {
  CHECK(RunMany(AdmissionMutation::kNone).idle_place == 0);
  CHECK(RunMany(AdmissionMutation::kLostWakeup).idle_place > 0);
}

}  // namespace carobshift
