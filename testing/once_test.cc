// Idempotency keys and the configuration with real processes, while the log is
// down and entries die. A bound key carries the prefix of the entry that handed
// it out, its home; a free key is chosen by the caller and needs a claim in the
// log.

#include <catch2/catch.hpp>
#include <csignal>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "carobshift/config/config_record.h"
#include "carobshift/external/http_log_service.h"
#include "testing/caller.h"
#include "testing/cluster.h"
#include "testing/http_client.h"

namespace carobshift {
namespace {

using Headers = std::vector<std::pair<std::string, std::string>>;

Headers FreeKeyHeaders(const std::string& key) {
  const auto now = WallNow().time_since_epoch().count();
  return {{"Authorization", "Bearer " + std::string(kAccountKey)},
          {"Idempotency-Key", key},
          {"Carobshift-Key-Created", std::to_string(now)}};
}

HttpAnswer Book(const NetAddress& entry,
                const std::string& body,
                const Headers& headers) {
  return HttpSend(
      entry, "POST", "/v1/services/" + std::string(kPlainService) + "/call",
      {.body = body, .headers = headers, .timeout = Milliseconds(10000)});
}

HttpAnswer FetchOutcome(const NetAddress& entry, const std::string& key) {
  return HttpSend(
      entry, "GET", "/v1/outcomes/" + key,
      {.headers = {{"Authorization", "Bearer " + std::string(kAccountKey)}}});
}

// Returns a new key prefix from the entry.
std::string FetchKeyPrefix(const Process& entry) {
  Caller caller({entry.address()}, kAccountKey);
  (void)caller.FetchAddresses("");
  return caller.key_prefix();
}

}  // namespace

// Guards against a double booking: a caller does not receive the response to
// its booking and resends it to other entries. A second run would confirm the
// slot twice.
TEST_CASE("a booking sent three times, to three entries, runs once") {
  Cluster cluster({.entries = 3, .engines = 1});
  const Caller caller(cluster.EntryAddresses(), kAccountKey);
  const std::string key = FetchKeyPrefix(cluster.entry(1)) + "slot-1";
  std::set<std::string> receipts;
  for (std::size_t i = 0; i < cluster.entries(); ++i) {
    const BookingOutcome outcome =
        caller.BookAt(cluster.entry(i).address(), "slot 1", key);
    INFO(outcome.status << " " << outcome.body);
    REQUIRE(outcome.status == 200);
    receipts.insert(outcome.body);
  }
  CHECK(receipts.size() == 1);
  CHECK(cluster.Runs("slot 1") == 1);
  for (std::size_t i = 0; i < cluster.entries(); ++i)
    CHECK(FetchOutcome(cluster.entry(i).address(), key).body ==
          *receipts.begin());
  const BookingOutcome other =
      caller.BookAt(cluster.entry(0).address(), "slot 2", key);
  CHECK(other.error["name"] == "key_reused_for_other_request");
  CHECK(cluster.Runs("slot 2") == 0);
}

// The same with a free key, sent to all entries at the same time.
TEST_CASE(
    "a booking under a free key, sent to all entries at once, runs once") {
  Cluster cluster({.entries = 3, .engines = 1});
  const Headers headers = FreeKeyHeaders("my own key");
  std::vector<HttpAnswer> answers(6);
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    threads.emplace_back([&, i] {
      answers[i] = Book(cluster.entry(i % cluster.entries()).address(),
                        "slot 3", headers);
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  for (const HttpAnswer& answer : answers) {
    INFO(answer.body);
    CHECK(answer.status == 200);
    CHECK(answer.body == answers[0].body);
  }
  CHECK(cluster.Runs("slot 3") == 1);
}

// Guards against a second run of a completion that is resent after its response
// was lost: first to the home of its key, then to another entry. Both return
// the recorded answer.
TEST_CASE("a completion under a key runs once and is replayed whole") {
  Cluster cluster({.entries = 2, .engines = 1});
  const Caller caller(cluster.EntryAddresses(), kAccountKey);
  CompletionCall call{
      .prompt = "pair me with someone kind",
      .max_tokens = 30,
      .headers = {
          {"Idempotency-Key", FetchKeyPrefix(cluster.entry(0)) + "pairing"}}};
  const CompletionOutcome first =
      caller.CompleteAt(cluster.entry(0).address(), call);
  INFO(first.error.dump());
  REQUIRE(first.complete);
  for (std::size_t i = 0; i < cluster.entries(); ++i) {
    const CompletionOutcome again =
        caller.CompleteAt(cluster.entry(i).address(), call);
    CHECK(again.complete);
    CHECK(again.text == first.text);
    CHECK(cluster.State(i)["once"]["bound_keys"] == (i == 0 ? 1 : 0));
  }
  CHECK(cluster.State(0)["once"]["replayed"] == 2);
}

// Guards against bookings that are rejected, or run twice, while the log hangs.
// Bound keys do not need the log.
TEST_CASE("bookings go on through a log outage, none doubled, none refused") {
  Cluster cluster({.entries = 3, .engines = 1});
  const Caller caller(cluster.EntryAddresses(), kAccountKey);
  cluster.log().Signal(SIGSTOP);
  constexpr Milliseconds kOutage{10'000};
  const MonotonicTime end = MonotonicNow() + kOutage;
  int bookings = 0;
  while (MonotonicNow() < end) {
    const std::string body = "outage " + std::to_string(bookings);
    const std::string key =
        FetchKeyPrefix(cluster.entry(static_cast<std::size_t>(bookings) % 3)) +
        "k";
    for (std::size_t copy = 0; copy < 3; ++copy) {
      const BookingOutcome outcome =
          caller.BookAt(cluster.entry(copy).address(), body, key);
      INFO(outcome.status << " " << outcome.body);
      REQUIRE(outcome.status == 200);
    }
    REQUIRE(cluster.Runs(body) == 1);
    ++bookings;
  }
  CHECK(bookings > 20);
  Headers headers = FreeKeyHeaders("during the outage");
  headers.emplace_back("Carobshift-Deadline-Ms", "2000");
  const HttpAnswer refused =
      Book(cluster.entry(0).address(), "unclaimed", headers);
  CHECK(refused.Json()["error"]["state"] == "outcome_unknown");
  cluster.log().Signal(SIGCONT);
  CHECK(cluster.Runs("unclaimed") == 0);
}

// Guards against a wrong statement about a booking whose home was killed after
// the run and restarted. Its outcome is unknown: delaying the caller or running
// the booking again would both be wrong.
TEST_CASE("the home of a key killed: a repeat hears outcome_unknown at once") {
  Cluster cluster({.entries = 2, .engines = 1});
  const Caller caller(cluster.EntryAddresses(), kAccountKey);
  const std::string key = FetchKeyPrefix(cluster.entry(0)) + "slot-4";
  REQUIRE(caller.BookAt(cluster.entry(1).address(), "slot 4", key).status ==
          200);
  cluster.entry(0).Kill();
  const MonotonicTime begin = MonotonicNow();
  const BookingOutcome dead =
      caller.BookAt(cluster.entry(1).address(), "slot 4", key);
  CHECK(dead.run_state == "outcome_unknown");
  CHECK(MonotonicNow() - begin < Milliseconds(1000));
  cluster.RestartEntry(0);
  cluster.WaitUntilServing();
  for (std::size_t i = 0; i < cluster.entries(); ++i) {
    const BookingOutcome outcome =
        caller.BookAt(cluster.entry(i).address(), "slot 4", key);
    INFO(outcome.body);
    CHECK(outcome.run_state == "outcome_unknown");
  }
  CHECK(cluster.Runs("slot 4") == 1);
}

// Guards against an entry that starts while the log is down and rejects every
// request until the log is back: it gets the state of its peers.
TEST_CASE("an entry started during a log outage has the configuration") {
  Cluster cluster({.entries = 3, .engines = 1});
  const auto version = cluster.State(0)["config"]["version"];
  cluster.log().Signal(SIGSTOP);
  cluster.entry(2).Kill();
  cluster.RestartEntry(2);
  CHECK(WaitUntil(
      [&] { return cluster.State(2)["config"]["version"] == version; }));
  const Caller caller(cluster.EntryAddresses(), kAccountKey);
  CHECK(WaitUntil([&] {
    return caller
               .BookAt(cluster.entry(2).address(), "slot 5",
                       FetchKeyPrefix(cluster.entry(2)) + "slot-5")
               .status == 200;
  }));
  cluster.log().Signal(SIGCONT);
}

// Guards against a claim whose append succeeds but whose reply is lost. An
// entry that appended again, or gave up, would run the booking twice or leave
// its key blocked permanently.
TEST_CASE("a booking whose claim's reply is lost runs once all the same") {
  Cluster cluster({.entries = 2, .engines = 1});
  // Lease renewals may use up some of these.
  SetFaults(cluster.log(), {{"lose_replies", 6}});
  const Headers headers = FreeKeyHeaders("lost reply");
  std::vector<HttpAnswer> answers;
  for (std::size_t i = 0; i < cluster.entries(); ++i)
    answers.push_back(Book(cluster.entry(i).address(), "slot 6", headers));
  for (const HttpAnswer& answer : answers) {
    INFO(answer.body);
    CHECK(answer.status == 200);
  }
  CHECK(cluster.Runs("slot 6") == 1);
}

// Guards against log retention that drops the accepted edit after many rejected
// ones. Entries that are all replaced afterwards would find no configuration; a
// checkpoint keeps it.
TEST_CASE("the configuration outlives its own record on the log") {
  Cluster cluster({.entries = 2, .engines = 1});
  const auto config = cluster.State(0)["config"];
  SetFaults(cluster.log(), {{"retain_records", 4}});
  for (int i = 0; i < 8; ++i)
    cluster.Publish("lost-" + std::to_string(i), "format: 1\n", 4000);
  HttpLogService log(cluster.log().address(), HttpOptions());
  REQUIRE(WaitUntil([&] {
    const auto batch =
        log.Read(LogStream(kConfigStream), LogOffset(0), 100, Milliseconds(0));
    return batch.ok() && !batch.value().records.empty() &&
           batch.value().records.back().payload.find("checkpoint") !=
               std::string::npos;
  }));
  for (std::size_t i = 0; i < cluster.entries(); ++i)
    cluster.entry(i).Kill();
  for (std::size_t i = 0; i < cluster.entries(); ++i)
    cluster.RestartEntry(i);
  for (std::size_t i = 0; i < cluster.entries(); ++i)
    CHECK(WaitUntil([&] { return cluster.State(i)["config"] == config; }));
}

}  // namespace carobshift
