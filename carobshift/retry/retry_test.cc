#include <catch2/catch.hpp>
#include <string>

#include "carobshift/retry/crash_suspects.h"
#include "carobshift/retry/progress_timer.h"
#include "carobshift/retry/retry_budget.h"
#include "carobshift/retry/retry_policy.h"

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(1000)};
const AccountId kAccount("north-tours");
const ServiceName kService("reviews");

// Half of the fleet is gone and every attempt fails. Without a bound, the
// retries would keep the rest overloaded after the cause is gone.
TEST_CASE("retries are a share of the successes") {
  RetryBudget budget({.per_success = 0.1, .reserve = 10});
  int retries = 0;
  for (int i = 0; i < 1000; ++i)
    retries += budget.TrySpend(kAccount, kService) ? 1 : 0;
  CHECK(retries == 10);
  CHECK(budget.TrySpend(AccountId("other"), kService));
  for (int i = 0; i < 100; ++i)
    budget.OnSuccess(kAccount, kService);
  CHECK(budget.Left(kAccount, kService) == Approx(10));
}

RetryRequest Request() {
  RetryRequest request;
  request.id = RequestId("r1");
  return request;
}

TEST_CASE("a transient failure is retried with growing backoff") {
  const RetryPolicy policy;
  RetryRequest request = Request();
  Microseconds longest_before{0};
  for (request.attempts = 1; request.attempts < 4; ++request.attempts) {
    const RetryAction action = DecideRetry(policy, request, {}, kStart);
    REQUIRE(action.kind == RetryActionKind::kRetry);
    CHECK(action.not_before - kStart >= longest_before);
    longest_before = policy.first_backoff * (1 << (request.attempts - 1));
    CHECK(action.not_before - kStart <= longest_before);
  }
  CHECK(DecideRetry(policy, request, {}, kStart).kind ==
        RetryActionKind::kFail);
}

// A booking call breaks off halfway. A retry could confirm a slot twice, so the
// caller is exported that the outcome is unknown.
TEST_CASE("a call that may have run is not repeated unless idempotent") {
  RetryRequest request = Request();
  request.idempotent = false;
  const RetryAction broken = DecideRetry({}, request, {}, kStart);
  CHECK(broken.kind == RetryActionKind::kFail);
  CHECK(broken.run_state == RunState::kOutcomeUnknown);
  const AttemptFailure unsent{ResultCode::kNoEndpoint, false};
  CHECK(DecideRetry({}, request, unsent, kStart).kind ==
        RetryActionKind::kRetry);
  request.attempts = 4;
  CHECK(DecideRetry({}, request, unsent, kStart).run_state ==
        RunState::kNotRun);
}

TEST_CASE("delivered tokens are resumed on the same version or not at all") {
  RetryRequest request = Request();
  request.delivered = 3;
  CHECK(DecideRetry({}, request, {}, kStart).kind == RetryActionKind::kResume);
  request.version_available = false;
  const RetryAction gone = DecideRetry({}, request, {}, kStart);
  CHECK(gone.code == ResultCode::kVersionGone);
  CHECK(gone.run_state == RunState::kRan);
}

TEST_CASE("no attempt outlives the caller's deadline") {
  RetryRequest request = Request();
  request.deadline = kStart + Milliseconds(60);
  CHECK(DecideRetry({}, request, {}, kStart).code ==
        ResultCode::kDeadlineExceeded);
  CHECK(AttemptDeadline({}, request.deadline, kStart) == *request.deadline);
  ProgressTimer timer(Milliseconds(100), Milliseconds(50), kStart);
  CHECK_FALSE(timer.IsStalled(kStart + Milliseconds(149)));
  timer.OnProgress(kStart + Milliseconds(149));
  CHECK(timer.IsStalled(kStart + Milliseconds(249)));
}

class Suspects {
 public:
  void Crash(ContentFingerprint fingerprint, const std::string& endpoint) {
    const bool alone =
        suspects.Judge(fingerprint, now) == SuspectVerdict::kRunIsolated;
    suspects.OnAttemptStart(fingerprint, EndpointId(endpoint), alone);
    suspects.OnEndpointCrash(EndpointId(endpoint), now);
  }

  CrashSuspects suspects{CrashSuspectOptions{}};
  MonotonicTime now = kStart;
  ContentFingerprint bad = FingerprintOf(kAccount, kService, "bad");
};

// A request crashes each endpoint that runs it, and its caller sends it again.
// Undetected, it would crash the whole fleet one endpoint at a time.
TEST_CASE("a request that crashes endpoints is tried alone, then refused") {
  Suspects s;
  s.Crash(s.bad, "e1");
  CHECK(s.suspects.Judge(s.bad, s.now) == SuspectVerdict::kRun);
  s.Crash(s.bad, "e2");
  CHECK(s.suspects.Judge(s.bad, s.now) == SuspectVerdict::kRunIsolated);
  s.Crash(s.bad, "e3");
  CHECK(s.suspects.Judge(s.bad, s.now) == SuspectVerdict::kRefuse);
  CHECK(s.suspects.RemainingRefusal(s.bad, s.now) == Milliseconds(600000));
  CHECK(s.suspects.Judge(FingerprintOf(kAccount, kService, "good"), s.now) ==
        SuspectVerdict::kRun);

  // Another entry that receives the records refuses it too; merging them twice
  // has the same effect as once.
  CrashSuspects other({});
  const auto exported = s.suspects.Export(s.now);
  other.Merge(exported, kStart);
  other.Merge(exported, kStart);
  CHECK(other.Judge(s.bad, kStart) == SuspectVerdict::kRefuse);
  other.Expire(kStart + Milliseconds(1200000));
  CHECK(other.size() == 0);
}

TEST_CASE("an unrelated request is cleared by an isolated attempt") {
  Suspects s;
  s.Crash(s.bad, "e1");
  s.Crash(s.bad, "e2");
  s.suspects.OnAttemptStart(s.bad, EndpointId("e3"), true);
  CHECK(s.suspects.Judge(s.bad, s.now) == SuspectVerdict::kWait);
  const auto exported = s.suspects.Export(s.now);
  s.suspects.OnAttemptEnd(s.bad, EndpointId("e3"), true);
  CHECK(s.suspects.Judge(s.bad, s.now) == SuspectVerdict::kRun);
  // Records of the same crashes that other entries still gossip change nothing.
  s.suspects.Merge(exported, s.now + Milliseconds(100));
  CHECK(s.suspects.Judge(s.bad, s.now) == SuspectVerdict::kRun);
  CHECK(s.suspects.Export(s.now).empty());
}

TEST_CASE("crash records are bounded, confirmed ones kept longest") {
  Suspects s;
  s.Crash(s.bad, "e1");
  s.Crash(s.bad, "e2");
  s.Crash(s.bad, "e3");
  for (int i = 0; i < 5000; ++i) {
    s.now += Microseconds(1);
    s.Crash(FingerprintOf(kAccount, kService, std::to_string(i)), "e4");
  }
  CHECK(s.suspects.size() == 4096);
  CHECK(s.suspects.Judge(s.bad, s.now) == SuspectVerdict::kRefuse);
}

}  // namespace
}  // namespace carobshift
