// Runs many threads on the shared tables concurrently. Also run under the
// thread sanitizer, which reports any unsynchronized access.

#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "carobshift/server/tables/config_table.h"
#include "carobshift/server/tables/endpoint_table.h"
#include "carobshift/server/tables/load_table.h"
#include "carobshift/server/tables/request_journal.h"
#include "carobshift/telemetry/metrics.h"

namespace carobshift {
namespace {

constexpr int kThreads = 8;
constexpr int kRounds = 200;

void RunThreads(const std::function<void(int thread, int round)>& body) {
  std::vector<std::thread> threads;
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&body, thread] {
      for (int round = 0; round < kRounds; ++round)
        body(thread, round);
    });
  }
  for (std::thread& thread : threads)
    thread.join();
}

ServiceSpec ModelService() {
  ServiceSpec service;
  service.name = ServiceName("assistant");
  service.pool = PoolName("gpu");
  service.model = ModelName("m");
  return service;
}

ListedInstance Engine(int number) {
  ListedInstance engine;
  engine.id = "engine-" + std::to_string(number);
  engine.pool = PoolName("gpu");
  engine.address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + number)};
  return engine;
}

EngineStatus ReadyStatus() {
  EngineStatus status;
  status.incarnation = 1;
  status.state = EngineState::kReady;
  status.model = ModelName("m");
  status.role = ServiceName("assistant");
  return status;
}

}  // namespace

// Concurrent log followers and peers activate versions in any order. A reader
// that saw the version decrease would act on a configuration that operators
// have replaced.
TEST_CASE("the configuration's version only rises, whatever the order") {
  ConfigTable table;
  std::atomic<bool> decreased = false;
  RunThreads([&](int thread, int round) {
    const auto before = table.current();
    const auto version =
        static_cast<std::uint64_t>(round * kThreads + (thread * 5) % kThreads);
    table.Activate(ConfigVersion(version), EditId("e"), "", Declaration());
    const auto after = table.current();
    if (before && after->version < before->version)
      decreased = true;
  });
  CHECK_FALSE(decreased);
  CHECK(table.current()->version == ConfigVersion(kThreads * kRounds - 1));
}

TEST_CASE("the endpoint table serves readers while list and status change") {
  EndpointTable table;
  const ServiceSpec service = ModelService();
  // Catch assertions are not thread-safe.
  std::atomic<bool> without_status = false;
  RunThreads([&](int thread, int round) {
    if (thread == 0) {
      table.ReplaceList({Engine(1), Engine(2 + round % 2)}, MonotonicNow());
    } else if (thread == 1) {
      table.UpdateStatus(EndpointId("engine-1"), ReadyStatus(), MonotonicNow());
    } else {
      for (const EndpointInfo& endpoint : table.Candidates(service)) {
        if (!endpoint.status)
          without_status = true;
      }
      (void)table.DumpState();
    }
  });
  CHECK_FALSE(without_status);
  CHECK(table.All(InstanceKind::kEngine).size() == 2);
}

TEST_CASE("the journal keeps its bounds and each request its own notes") {
  RequestJournal journal;
  Metrics metrics;
  std::atomic<bool> foreign_note = false;
  RunThreads([&](int thread, int round) {
    const RequestId id(std::to_string(thread) + "-" + std::to_string(round));
    journal.Begin(id, AccountId("a"), ServiceName("s"), MonotonicNow());
    journal.Note(id, MonotonicNow(), "dispatched", {{"thread", thread}});
    metrics.Add("requests", {{"service", "s"}}, 1);
    metrics.Observe("wait", {{"service", "s"}}, Milliseconds(round));
    const auto record = journal.Explain(id);
    if (record && (*record)["steps"][0]["thread"] != thread)
      foreign_note = true;
    journal.End(id, MonotonicNow(), ResultCode::kOk);
  });
  CHECK_FALSE(foreign_note);
  CHECK(journal.DumpState()["in_progress"] == 0);
  CHECK(metrics.Value("requests", {{"service", "s"}}) == kThreads * kRounds);
}

// More requests than places arrive at once. A request that is forgotten would
// leave its caller without an answer and its thread blocked forever.
TEST_CASE("every request that is admitted or refused gets its answer") {
  LoadTable table(kThreads);
  const ServiceSpec service = ModelService();
  AccountSpec account;
  account.id = AccountId("a");
  EndpointInfo endpoint;
  endpoint.id = EndpointId("engine-1");
  endpoint.status = ReadyStatus();
  table.Refresh(service, {endpoint}, 1, MonotonicNow());
  std::atomic<int> answered = 0;
  RunThreads([&](int thread, int round) {
    AdmitRequest request;
    request.id =
        RequestId(std::to_string(thread) + "-" + std::to_string(round));
    request.account = account.id;
    request.prompt_tokens = 10;
    request.deadline = MonotonicNow() + Seconds(20);
    const AdmitAnswer answer =
        table.Admit(service, account, request, [] { return false; });
    ++answered;
    if (answer.admitted)
      table.Finish(service, request.id, answer, 1, MonotonicNow());
  });
  CHECK(answered == kThreads * kRounds);
}

}  // namespace carobshift
