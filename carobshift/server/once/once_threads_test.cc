// Tests IdempotencyTable with many concurrent threads.

#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "carobshift/once/claim_record.h"
#include "carobshift/server/once/idempotency_table.h"

namespace carobshift {
namespace {

constexpr int kThreads = 8;
constexpr int kKeys = 50;

// Appends and reads back each claim immediately, like a healthy log.
void ServeClaims(IdempotencyTable& table, const std::atomic<bool>& stop) {
  std::vector<LogRecord> records;
  while (!stop) {
    const auto payload = table.AwaitAppend(Milliseconds(5));
    if (payload) {
      records.push_back({LogOffset(records.size()), *payload});
      table.OnAppendReply(records.back().offset);
      table.OnClaims({LogOffset(0), LogOffset(records.size()), records},
                     MonotonicNow(), WallNow());
    }
    table.ExpireWaiters(MonotonicNow());
  }
}

KeyedRequest Request(const std::string& name, bool bound) {
  KeyedRequest request;
  request.account = AccountId("north");
  request.fingerprint = RequestFingerprint(1);
  request.deadline = MonotonicNow() + Seconds(20);
  request.free_key = IdempotencyKey(name);
  request.created = WallNow();
  if (!bound)
    return request;
  const BoundKeyIssuer issuer("secret", EntryId("e"), Incarnation(1),
                              Seconds(60));
  request.bound =
      ParseBoundKey(
          "secret",
          issuer.Issue(request.account, MonotonicTime()).prefix + name)
          .value();
  request.bound->expiry = MonotonicNow() + Seconds(60);
  return request;
}

// Begins and runs a request as KeyedCalls does. Returns its final state.
RunState RunRequest(IdempotencyTable& table,
                    const KeyedRequest& request,
                    std::atomic<int>& runs) {
  for (;;) {
    const KeyDecision decision = table.Begin(request);
    if (const auto* replay = std::get_if<Replay>(&decision))
      return replay->answer.state;
    if (const auto* refusal = std::get_if<Refusal>(&decision))
      return refusal->state;
    if (std::holds_alternative<RunNow>(decision)) {
      FinalAnswer answer;
      answer.state = RunState::kNotRun;
      // The first run is abandoned before dispatch; the next one runs.
      if (runs.fetch_add(1) > 0 &&
          !table.StartDispatch(request, MonotonicNow()))
        answer.state = RunState::kRan;
      table.Finish(request, answer);
      if (answer.state == RunState::kRan)
        return answer.state;
      continue;
    }
    if (!table.AwaitEnd(request))
      return RunState::kOutcomeUnknown;
  }
}

}  // namespace

// Copies of one booking reach an entry on many connections concurrently, and
// admission refuses the first. Exactly one of the others must run.
TEST_CASE("concurrent copies of a request run once and all get the answer") {
  IdempotencyTable table({EntryId("e"), Incarnation(1), Seconds(60)});
  std::atomic<bool> stop{false};
  std::thread log([&] { ServeClaims(table, stop); });
  for (int key = 0; key < kKeys; ++key) {
    const KeyedRequest request =
        Request("k" + std::to_string(key), key % 2 == 0);
    std::atomic<int> takes{0};
    std::atomic<int> ran{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < kThreads; ++i) {
      callers.emplace_back([&] {
        if (RunRequest(table, request, takes) == RunState::kRan)
          ++ran;
      });
    }
    for (std::thread& caller : callers)
      caller.join();
    CHECK(takes == 2);
    CHECK(ran == kThreads);
  }
  stop = true;
  log.join();
}

}  // namespace carobshift
