#include "carobshift/admission/admission_queue.h"

#include <catch2/catch.hpp>
#include <string>

namespace carobshift {
namespace {

const AccountId kLarge("large");
const AccountId kSmall("small");
const MonotonicTime kStart{Seconds(1000)};

AdmissionRequest Request(const std::string& id,
                         const AccountId& account,
                         CostUnits cost = 100) {
  AdmissionRequest request;
  request.id = RequestId(id);
  request.account = account;
  request.cost = cost;
  return request;
}

// Gives the queue a known drain rate in cost units per second, and leaves it
// empty one second after kStart.
void SetDrainRate(AdmissionQueue* queue, double rate) {
  queue->SetCapacity({.slots = 1});
  RequestId running("warm0");
  (void)queue->Submit(Request("warm0", AccountId("warm")), kStart);
  for (int i = 1; i <= 8; ++i)
    (void)queue->Submit(
        Request("warm" + std::to_string(i), AccountId("warm"), rate / 8),
        kStart);
  for (int i = 1; i <= 8; ++i) {
    queue->Finish(running, rate / 8);
    running = queue->Pop(kStart + i * Milliseconds(125)).admitted.at(0);
  }
  queue->Finish(running, rate / 8);
}

TEST_CASE("a free slot is assigned at once, then requests queue") {
  AdmissionQueue queue({});
  queue.SetCapacity({.slots = 1});
  CHECK(queue.Submit(Request("a", kLarge), kStart).verdict ==
        AdmissionVerdict::kAdmitted);
  CHECK(queue.Submit(Request("b", kLarge), kStart).verdict ==
        AdmissionVerdict::kQueued);
  CHECK(queue.Pop(kStart).admitted.empty());
  queue.Finish(RequestId("a"), 100);
  CHECK(queue.Pop(kStart).admitted == std::vector{RequestId("b")});
  CHECK(queue.running() == 1);
  CHECK(queue.queued() == 0);
}

// An account sends fifty times its usual load. In order of arrival, every other
// account's caller would wait for all of it.
TEST_CASE("a small account passes a hot account's backlog") {
  AdmissionQueue queue({});
  queue.SetCapacity({.slots = 1});
  for (int i = 0; i < 100; ++i)
    (void)queue.Submit(Request("l" + std::to_string(i), kLarge), kStart);
  (void)queue.Submit(Request("s", kSmall), kStart);
  queue.Finish(RequestId("l0"), 100);
  const AdmissionStep first = queue.Pop(kStart);
  queue.Finish(first.admitted.at(0), 100);
  const AdmissionStep second = queue.Pop(kStart);
  CHECK((first.admitted.at(0) == RequestId("s") ||
         second.admitted.at(0) == RequestId("s")));
}

TEST_CASE("accounts share by weight in cost units, not by request") {
  AdmissionQueue queue({});
  queue.SetAccount(kLarge, {.weight = 3, .max_in_flight = 1000});
  queue.SetAccount(kSmall, {.weight = 1, .max_in_flight = 1000});
  queue.SetCapacity({.slots = 1});
  (void)queue.Submit(Request("first", kLarge), kStart);
  for (int i = 0; i < 200; ++i) {
    (void)queue.Submit(Request("l" + std::to_string(i), kLarge, 300), kStart);
    (void)queue.Submit(Request("s" + std::to_string(i), kSmall, 50), kStart);
  }
  double large = 0;
  double small = 0;
  RequestId running("first");
  for (int i = 0; i < 100; ++i) {
    queue.Finish(running, running.value()[0] == 's' ? 50 : 300);
    running = queue.Pop(kStart).admitted.at(0);
    (running.value()[0] == 's' ? small : large) +=
        running.value()[0] == 's' ? 50 : 300;
  }
  CHECK(large / small == Approx(3).epsilon(0.1));
}

TEST_CASE("within an account a short request passes a long one, to a bound") {
  AdmissionQueue queue({});
  queue.SetCapacity({.slots = 1});
  (void)queue.Submit(Request("running", kSmall), kStart);
  (void)queue.Submit(Request("long", kSmall, 20000), kStart);
  (void)queue.Submit(Request("short", kSmall, 100), kStart + Milliseconds(100));
  (void)queue.Submit(Request("late", kSmall, 100), kStart + Milliseconds(600));
  std::vector<std::string> order;
  RequestId running("running");
  for (int i = 0; i < 3; ++i) {
    queue.Finish(running, 100);
    running = queue.Pop(kStart + Milliseconds(600)).admitted.at(0);
    order.push_back(running.value());
  }
  CHECK(order == std::vector<std::string>{"short", "long", "late"});
}

// A caller gives a deadline that the queue can't meet any more. Without the
// refusal it would wait until the deadline and get nothing.
TEST_CASE("what can't be started in time is refused on arrival") {
  AdmissionQueue queue({});
  SetDrainRate(&queue, 1000);
  const MonotonicTime now = kStart + Milliseconds(1000);
  (void)queue.Submit(Request("running", kLarge), now);
  (void)queue.Submit(Request("waiting", kLarge, 1500), now);
  AdmissionRequest urgent = Request("urgent", kLarge);
  urgent.first_token_deadline = now + Milliseconds(1000);
  const AdmissionDecision refused = queue.Submit(urgent, now);
  CHECK(refused.verdict == AdmissionVerdict::kRefused);
  CHECK(refused.code == ResultCode::kDeadlineUnreachable);
  CHECK(refused.retry_after >= Milliseconds(500));
  CHECK(refused.expected_wait == Milliseconds(1500));

  AdmissionRequest patient = Request("patient", kLarge);
  patient.first_token_deadline = now + Milliseconds(2000);
  CHECK(queue.Submit(patient, now).verdict == AdmissionVerdict::kQueued);
}

TEST_CASE("retries after a burst of refusals are spread") {
  AdmissionQueue queue({});
  SetDrainRate(&queue, 1000);
  const MonotonicTime now = kStart + Milliseconds(1000);
  (void)queue.Submit(Request("running", kLarge), now);
  std::vector<int> per_second(40, 0);
  for (int i = 0; i < 400; ++i) {
    const AdmissionDecision decision =
        queue.Submit(Request(std::to_string(i), kLarge, 100), now);
    if (decision.verdict == AdmissionVerdict::kRefused)
      ++per_second[static_cast<std::size_t>(decision.retry_after.count() /
                                            1000)];
  }
  // The service can handle 10 requests a second; no second may get many more
  // retries.
  for (const int returns : per_second)
    CHECK(returns <= 40);
}

// Ten dossiers arrive, followed by a question of another account. If all ten
// were dispatched to the endpoints, the question would wait for ten prefills.
TEST_CASE("long prefills are held back once their limit is in progress") {
  AdmissionQueue queue({});
  queue.SetCapacity({.slots = 100, .prefill = 4000});
  AdmissionRequest dossier = Request("d0", kLarge, 12000);
  dossier.prefill = 12000;
  CHECK(queue.Submit(dossier, kStart).verdict == AdmissionVerdict::kAdmitted);
  dossier.id = RequestId("d1");
  CHECK(queue.Submit(dossier, kStart).verdict == AdmissionVerdict::kQueued);
  (void)queue.Submit(Request("question", kSmall), kStart);
  queue.OnFirstToken(RequestId("d0"));
  const AdmissionStep step = queue.Pop(kStart);
  CHECK(step.admitted == std::vector{RequestId("question"), RequestId("d1")});
}

TEST_CASE("a waiting request is given up when its time is over") {
  AdmissionQueue queue({});
  queue.SetCapacity({.slots = 1});
  (void)queue.Submit(Request("running", kLarge), kStart);
  (void)queue.Submit(Request("waiting", kSmall), kStart);
  REQUIRE(queue.NextWakeup() == kStart + Milliseconds(2000));
  CHECK(queue.Pop(kStart + Milliseconds(2000)).expired.empty());
  const AdmissionStep step = queue.Pop(kStart + Milliseconds(2001));
  REQUIRE(step.expired.size() == 1);
  CHECK(step.expired[0].id == RequestId("waiting"));
  CHECK(step.expired[0].code == ResultCode::kOverloaded);
  CHECK(queue.InFlight(kSmall) == 0);
  CHECK_FALSE(queue.NextWakeup());
}

TEST_CASE("an account over its limit is refused without touching others") {
  AdmissionQueue queue({});
  queue.SetAccount(kLarge, {.weight = 1, .max_in_flight = 2});
  queue.SetCapacity({.slots = 10});
  (void)queue.Submit(Request("a", kLarge), kStart);
  (void)queue.Submit(Request("b", kLarge), kStart);
  CHECK(queue.Submit(Request("c", kLarge), kStart).code ==
        ResultCode::kAccountLimit);
  CHECK(queue.Submit(Request("d", kSmall), kStart).verdict ==
        AdmissionVerdict::kAdmitted);
  CHECK(queue.Cancel(RequestId("a")));
  CHECK(queue.Submit(Request("e", kLarge), kStart).verdict ==
        AdmissionVerdict::kAdmitted);
}

}  // namespace
}  // namespace carobshift
