#include "carobshift/lease/lease.h"

#include <catch2/catch.hpp>
#include <vector>

namespace carobshift {
namespace {

constexpr MonotonicTime kStart{Seconds(1000)};

// An in-memory log without faults.
struct TestLog {
  std::vector<std::string> records;

  LogOffset Append(const std::string& payload) {
    records.push_back(payload);
    return LogOffset(records.size() - 1);
  }
  LogBatch Read(LogOffset from) const {
    LogBatch batch{.first_retained = LogOffset(0),
                   .next = LogOffset(records.size()),
                   .records = {}};
    for (std::size_t i = from.value(); i < records.size(); ++i)
      batch.records.push_back({LogOffset(i), records[i]});
    return batch;
  }
};

struct Candidate {
  Candidate(TestLog& shared, int index)
      : log(&shared),
        lease({},
              EntryId("entry-" + std::to_string(index)),
              Incarnation(static_cast<std::uint64_t>(index)),
              kStart) {}

  // Performs actions until the next action is to wait.
  void Run(MonotonicTime now) {
    for (int step = 0; step < 10; ++step) {
      const LeaseAction action = lease.Next(now);
      if (const auto* read = std::get_if<ReadLog>(&action))
        lease.OnRead(log->Read(read->from), now);
      else if (const auto* append = std::get_if<AppendLog>(&action))
        lease.OnAppended(log->Append(append->payload), now);
      else
        return;
    }
  }
  void RunThrough(MonotonicTime from, MonotonicTime to) {
    for (MonotonicTime now = from; now <= to; now += Milliseconds(100))
      Run(now);
  }

  TestLog* log;
  Lease lease;
};

constexpr MonotonicTime kHeld = kStart + Seconds(5);

TEST_CASE("the first candidate gets the lease and keeps it by renewal") {
  TestLog log;
  Candidate a(log, 1);
  Candidate b(log, 2);
  for (MonotonicTime now = kStart; now <= kStart + Seconds(30);
       now += Milliseconds(100)) {
    a.Run(now);
    b.Run(now);
    CHECK_FALSE(b.lease.MayOrder(false, now));
  }
  REQUIRE(a.lease.MayOrder(false, kStart + Seconds(30)));
  CHECK(a.lease.holding()->number == FencingNumber(0));
}

// The machine suspends the holder's process, which later continues unaware. Two
// instances would send orders to the same endpoints.
TEST_CASE("a paused holder knows before it sends") {
  TestLog log;
  Candidate a(log, 1);
  a.RunThrough(kStart, kHeld);
  REQUIRE(a.lease.MayOrder(false, kHeld));
  CHECK_FALSE(a.lease.MayOrder(false, kHeld + Seconds(10)));
  CHECK(a.lease.MayOrder(true, kHeld + Seconds(10)));

  Candidate b(log, 2);
  b.RunThrough(kHeld, kHeld + Seconds(6));
  REQUIRE(b.lease.MayOrder(false, kHeld + Seconds(6)));
  a.Run(kHeld + Seconds(10));
  CHECK_FALSE(a.lease.MayOrder(true, kHeld + Seconds(10)));
  CHECK(a.lease.holding()->number == b.lease.holding()->number);
  CHECK(b.lease.holding()->number > FencingNumber(0));
}

// The holder's machine loses power during a rollout. The next instance tries to
// acquire the lease three seconds later, when engines no longer change. Had it
// not observed the stream, it would wait for a full lease from then on, and
// engines would keep old weights past their deadline.
TEST_CASE("a successor that reads along need not wait anew") {
  TestLog log;
  Candidate a(log, 1);
  Candidate reader(log, 2);
  const MonotonicTime seen = kHeld + Milliseconds(500);
  for (MonotonicTime now = kStart; now <= seen; now += Milliseconds(100)) {
    if (now <= kHeld)
      a.Run(now);
    const LeaseAction action = reader.lease.Observe(now);
    if (const auto* read = std::get_if<ReadLog>(&action))
      reader.lease.OnRead(log.Read(read->from), now);
    CHECK_FALSE(std::holds_alternative<AppendLog>(action));
  }
  const MonotonicTime turn = kHeld + Seconds(3);
  reader.RunThrough(turn, turn + Seconds(2));
  CHECK(reader.lease.MayOrder(true, turn + Seconds(2)));
  TestLog copy = log;
  copy.records.resize(1);
  Candidate late(copy, 4);
  late.RunThrough(turn, turn + Seconds(2));
  CHECK_FALSE(late.lease.MayOrder(true, turn + Seconds(2)));
}

TEST_CASE("orders to endpoints without fencing need time left to end") {
  TestLog log;
  Candidate a(log, 1);
  a.RunThrough(kStart, kHeld);
  const MonotonicTime end = a.lease.expires();
  CHECK(a.lease.MayOrder(false, end - Milliseconds(1001)));
  CHECK_FALSE(a.lease.MayOrder(false, end - Milliseconds(1000)));
}

// The append took effect but its reply was lost. A holder that trusted the
// error would write again and displace itself.
TEST_CASE("a lost append reply is settled by reading") {
  TestLog log;
  Lease lease({}, EntryId("entry-1"), Incarnation(1), kStart);
  MonotonicTime now = kStart;
  bool lost = false;
  for (; now <= kHeld; now += Milliseconds(100)) {
    const LeaseAction action = lease.Next(now);
    if (const auto* read = std::get_if<ReadLog>(&action)) {
      lease.OnRead(log.Read(read->from), now);
    } else if (const auto* append = std::get_if<AppendLog>(&action)) {
      const LogOffset offset = log.Append(append->payload);
      lease.OnAppended(lost ? Result<LogOffset>(offset)
                            : Error{ResultCode::kLogOutcomeUnknown, "lost"},
                       now);
      lost = true;
    }
  }
  CHECK(lease.MayOrder(false, now));
  CHECK(lease.holding()->number == FencingNumber(0));
}

TEST_CASE("a released lease is taken over at once") {
  TestLog log;
  Candidate a(log, 1);
  Candidate b(log, 2);
  a.RunThrough(kStart, kHeld);
  b.RunThrough(kStart, kHeld);
  a.lease.Resign();
  CHECK_FALSE(a.lease.MayOrder(true, kHeld));
  const MonotonicTime later = kHeld + Milliseconds(500);
  a.RunThrough(kHeld, later);
  b.Run(later);
  CHECK(b.lease.MayOrder(false, later));
}

constexpr char kAddress[] = "10.0.0.1:7700";

// A process of instance 1 that started at `start`.
Lease RestartedProcess(std::uint64_t incarnation,
                       const std::string& address,
                       MonotonicTime start) {
  LeaseOptions options;
  options.address = address;
  return {options, EntryId("entry-1"), Incarnation(incarnation), start};
}

// Performs actions every 100 ms until the lease permits orders. Returns nullopt
// after ten seconds.
std::optional<MonotonicTime> FirstOrderTime(TestLog& log,
                                            Lease& lease,
                                            MonotonicTime start) {
  for (MonotonicTime now = start; now < start + Seconds(10);
       now += Milliseconds(100)) {
    for (int step = 0; step < 10; ++step) {
      const LeaseAction action = lease.Next(now);
      if (const auto* read = std::get_if<ReadLog>(&action))
        lease.OnRead(log.Read(read->from), now);
      else if (const auto* append = std::get_if<AppendLog>(&action))
        lease.OnAppended(log.Append(append->payload), now);
    }
    if (lease.MayOrder(false, now))
      return now;
  }
  return std::nullopt;
}

// The holder's process is killed and restarts a moment later, while the lease
// of its previous incarnation still runs. If it waited for the expiry, no
// orders would be sent for seconds, and engines would keep replaced weights
// meanwhile.
TEST_CASE("a holder that starts again waits for its former orders only") {
  TestLog log;
  Lease former = RestartedProcess(1, kAddress, kStart);
  REQUIRE(FirstOrderTime(log, former, kStart));
  const LeaseOptions options;
  SECTION("at the same address") {
    Lease again = RestartedProcess(2, kAddress, kHeld);
    const auto from = FirstOrderTime(log, again, kHeld);
    REQUIRE(from);
    CHECK(*from >= kHeld + 2 * options.order_timeout);
    CHECK(*from <= kHeld + 2 * options.order_timeout + Milliseconds(200));
    CHECK(again.holding()->number > FencingNumber(0));
  }
  // The machine was replaced under the same id; the previous one may still run.
  SECTION("at another address") {
    Lease again = RestartedProcess(2, "10.0.0.9:7700", kHeld);
    const auto from = FirstOrderTime(log, again, kHeld);
    REQUIRE(from);
    CHECK(*from >= kHeld + options.duration);
  }
  SECTION("where no address is known") {
    Lease again = RestartedProcess(2, "", kHeld);
    const auto from = FirstOrderTime(log, again, kHeld);
    REQUIRE(from);
    CHECK(*from >= kHeld + options.duration);
  }
}

// The log drops records that a reader has not read yet, among them another
// instance's claim. A reader that kept the holder it knew would ignore the new
// holder's renewals and would claim the lease at the same time.
TEST_CASE("a reader that lost records forgets the holder that it knew") {
  TestLog log;
  Candidate a(log, 1);
  a.RunThrough(kStart, kHeld);
  Candidate reader(log, 3);
  reader.lease.OnRead(log.Read(LogOffset(0)), kHeld);
  REQUIRE(reader.lease.holding()->holder == EntryId("entry-1"));
  Candidate b(log, 2);
  const MonotonicTime taken = kHeld + Seconds(6);
  b.RunThrough(kHeld, taken);
  REQUIRE(b.lease.MayOrder(false, taken));
  const std::uint64_t kept = log.records.size();
  reader.lease.OnDropped(LogOffset(kept), taken);
  CHECK_FALSE(reader.lease.holding());
  CHECK(reader.lease.HistoryDropped());
  for (MonotonicTime now = taken; now < taken + Seconds(20);
       now += Milliseconds(100)) {
    b.Run(now);
    reader.Run(now);
    CHECK(b.lease.MayOrder(false, now));
    CHECK_FALSE(reader.lease.MayOrder(false, now));
  }
  CHECK(reader.lease.holding()->holder == EntryId("entry-2"));
}

TEST_CASE("a holder that lost records goes on within its time") {
  TestLog log;
  Candidate a(log, 1);
  a.RunThrough(kStart, kHeld);
  REQUIRE(a.lease.MayOrder(false, kHeld));
  a.lease.OnDropped(LogOffset(log.records.size() + 5), kHeld);
  CHECK(a.lease.MayOrder(false, kHeld));
  a.lease.OnDropped(LogOffset(log.records.size() + 9), kHeld + Seconds(10));
  CHECK_FALSE(a.lease.MayOrder(true, kHeld + Seconds(10)));
}

TEST_CASE("what a holder notes is read by those who come after it") {
  TestLog log;
  Candidate a(log, 1);
  a.lease.SetNote("first");
  a.RunThrough(kStart, kHeld);
  a.lease.SetNote("second");
  a.RunThrough(kHeld, kHeld + Seconds(2));
  Candidate reader(log, 2);
  reader.lease.OnRead(log.Read(LogOffset(0)), kHeld + Seconds(2));
  CHECK(reader.lease.holding()->note == "second");
}

TEST_CASE("lease records survive encoding, and other payloads are refused") {
  const LeaseRecord record{.kind = LeaseRecordKind::kRenew,
                           .holder = EntryId("entry-1"),
                           .incarnation = Incarnation(9),
                           .attempt = 4,
                           .read_up_to = LogOffset(17),
                           .number = FencingNumber(3),
                           .duration = Milliseconds(3000),
                           .address = "10.0.0.1:7700",
                           .note = "\"what\" the next one reads"};
  const auto decoded = DecodeLeaseRecord(EncodeLeaseRecord(record));
  REQUIRE(decoded.ok());
  CHECK(decoded.value() == record);
  const std::string unknown_kind =
      R"({"kind":"steal","holder":"a","incarnation":1,"attempt":1,)"
      R"("read_up_to":1,"number":1,"duration_ms":1})";
  const std::vector<std::string> payloads = {
      "", "{", "[]", R"({"kind":"acquire"})", unknown_kind};
  for (const std::string& text : payloads)
    CHECK_FALSE(DecodeLeaseRecord(text).ok());
}

// A renewal is delayed in flight. It lands behind a record that its writer had
// not read and that the log has dropped since. A reader that starts afterwards
// ignores the renewal, while all others accept it. If the reader's own claim
// then counted only for itself, the previous holder would renew by its own
// state at the same time, and both would send orders until one had read the
// other's next record.
TEST_CASE(
    "a reader that lost records believes in no claim that others refuse") {
  const auto record = [](LeaseRecordKind kind, std::uint64_t incarnation,
                         std::uint64_t read_up_to) {
    LeaseRecord made;
    made.kind = kind;
    made.holder = EntryId("entry-" + std::to_string(incarnation));
    made.incarnation = Incarnation(incarnation);
    made.read_up_to = LogOffset(read_up_to);
    made.duration = Milliseconds(3000);
    return made;
  };
  const std::vector<LeaseRecord> records = {
      record(LeaseRecordKind::kAcquire, 1, 0),
      // Too late: the first claim already counts.
      record(LeaseRecordKind::kAcquire, 2, 0),
      // Delayed in flight.
      record(LeaseRecordKind::kRenew, 1, 1),
      // Written by a reader that starts at offset 2, before it had read the
      // renewal.
      record(LeaseRecordKind::kAcquire, 3, 2)};
  LeaseState whole;
  LeaseState late;
  late.SkipTo(LogOffset(2));
  for (std::size_t i = 0; i < records.size(); ++i) {
    whole.Apply(LogOffset(i), records[i]);
    if (i >= 2)
      late.Apply(LogOffset(i), records[i]);
  }
  REQUIRE(whole.holding());
  REQUIRE(late.holding());
  CHECK(whole.holding()->incarnation == late.holding()->incarnation);
}

}  // namespace
}  // namespace carobshift
