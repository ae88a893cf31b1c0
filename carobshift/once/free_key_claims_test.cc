#include "carobshift/once/free_key_claims.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kNow{Seconds(1000)};
const WallTime kWall{Seconds(1'700'000'000)};
const AccountKey kKey{AccountId("north"), IdempotencyKey("order 1")};

FreeKeyRequest Request() {
  return {.key = kKey,
          .fingerprint = RequestFingerprint(1),
          .created = kWall,
          .deadline = kNow + Seconds(5)};
}

FreeKeyClaims Entry(const std::string& name) {
  FreeKeyOptions options;
  options.entry = EntryId(name);
  options.incarnation = Incarnation(1);
  return FreeKeyClaims(options);
}

class TestLog {
 public:
  Result<LogOffset> Append(const std::string& payload) {
    records_.push_back({LogOffset(records_.size()), payload});
    return records_.back().offset;
  }
  std::vector<ClaimCompletion> Feed(FreeKeyClaims& entry) const {
    LogBatch batch{LogOffset(0), LogOffset(records_.size()), records_};
    return entry.OnBatch(batch, kNow, kWall);
  }

 private:
  std::vector<LogRecord> records_;
};

const Error kLost{ResultCode::kLogOutcomeUnknown, ""};

}  // namespace

// A caller sends its booking to two entries at once. Both claims are on the log
// before either entry reads its own back.
TEST_CASE("the first claim on the log runs, the other is sent to its owner") {
  TestLog log;
  FreeKeyClaims a = Entry("a");
  FreeKeyClaims b = Entry("b");
  CHECK(std::holds_alternative<AwaitClaim>(a.Begin(Request(), kNow, kWall)));
  CHECK(std::holds_alternative<AwaitClaim>(b.Begin(Request(), kNow, kWall)));
  CHECK(b.OnAppendReply(log.Append(*b.TakeAppend(kNow))).empty());
  CHECK(a.OnAppendReply(log.Append(*a.TakeAppend(kNow))).empty());
  const auto for_a = log.Feed(a);
  const auto for_b = log.Feed(b);
  REQUIRE(for_a.size() == 1);
  REQUIRE(for_b.size() == 1);
  CHECK(std::get<AskOwner>(for_a[0].step).entry == EntryId("b"));
  CHECK(std::holds_alternative<RunHere>(for_b[0].step));
  CHECK(std::holds_alternative<RunHere>(b.Begin(Request(), kNow, kWall)));
}

// The reply to an append is lost and the caller gives up. The claim turns out
// to win; without a release the key would stay blocked.
TEST_CASE("a winning claim without waiters is released") {
  TestLog log;
  FreeKeyClaims a = Entry("a");
  FreeKeyClaims b = Entry("b");
  CHECK(std::holds_alternative<AwaitClaim>(a.Begin(Request(), kNow, kWall)));
  CHECK(log.Append(*a.TakeAppend(kNow)).ok());
  CHECK(a.OnAppendReply(kLost).empty());
  CHECK_FALSE(a.TakeAppend(kNow + Seconds(1)));
  const auto late = a.ExpireWaiters(kNow + Seconds(5));
  REQUIRE(late.size() == 1);
  CHECK(std::get<Refusal>(late[0].step).state == RunState::kOutcomeUnknown);
  CHECK(log.Feed(a).empty());
  const auto release = a.TakeAppend(kNow + Seconds(6));
  REQUIRE(release);
  CHECK(a.OnAppendReply(log.Append(*release)).empty());
  CHECK(log.Feed(b).empty());
  CHECK(std::holds_alternative<AwaitClaim>(b.Begin(Request(), kNow, kWall)));
}

// The log is down. Another entry may have run the key an hour ago, and only the
// log could tell.
TEST_CASE("with the log down a request is refused as of unknown outcome") {
  FreeKeyClaims a = Entry("a");
  CHECK(std::holds_alternative<AwaitClaim>(a.Begin(Request(), kNow, kWall)));
  CHECK(a.TakeAppend(kNow));
  const auto refused =
      a.OnAppendReply(Error{ResultCode::kLogUnavailable, "down"});
  REQUIRE(refused.size() == 1);
  CHECK(std::get<Refusal>(refused[0].step).state == RunState::kOutcomeUnknown);
}

// A caller repeats a booking after retention has dropped its claim from the
// log.
TEST_CASE("a key is accepted only while its claims are surely readable") {
  FreeKeyClaims a = Entry("a");
  const WallTime late = kWall + std::chrono::hours(1);
  const ClaimStep step = a.Begin(Request(), kNow, late);
  CHECK(std::get<Refusal>(step).code == ResultCode::kIdempotencyKeyExpired);
  CHECK(std::get<Refusal>(step).state == RunState::kOutcomeUnknown);
  const ClaimStep back = a.Begin(Request(), kNow, kWall);
  CHECK(std::holds_alternative<Refusal>(back));
}

TEST_CASE("another request under a claimed key is refused") {
  TestLog log;
  FreeKeyClaims a = Entry("a");
  CHECK(std::holds_alternative<AwaitClaim>(a.Begin(Request(), kNow, kWall)));
  FreeKeyRequest other = Request();
  other.fingerprint = RequestFingerprint(2);
  CHECK(std::get<Refusal>(a.Begin(other, kNow, kWall)).code ==
        ResultCode::kKeyReusedForOtherRequest);
  CHECK(a.OnAppendReply(log.Append(*a.TakeAppend(kNow))).empty());
  CHECK(log.Feed(a).size() == 1);
  CHECK(std::get<Refusal>(a.Begin(other, kNow, kWall)).state ==
        RunState::kNotRun);
}

TEST_CASE("malformed records on the stream are skipped by all entries") {
  TestLog log;
  CHECK(log.Append("[1").ok());
  CHECK(log.Append("[]").ok());
  CHECK(log.Append(R"({"entry":1})").ok());
  FreeKeyClaims a = Entry("a");
  CHECK(log.Feed(a).empty());
  CHECK(a.next() == LogOffset(3));
  const ClaimBatch batch{EntryId("e"),
                         Incarnation(9),
                         {{.number = 1, .key = kKey}},
                         {{.number = 2,
                           .key = kKey,
                           .fingerprint = RequestFingerprint(3),
                           .created = kWall}}};
  CHECK(DecodeClaimBatch(EncodeClaimBatch(batch)).value() == batch);
}

// At the size expected in two years every entry receives keys all the time. If
// each appended as fast as it could, the log would throttle all of them, and
// with the claims also the configuration and the leases.
TEST_CASE("the entries share the log's appends, however many they are") {
  for (const int entries : {1, 7, 420}) {
    FreeKeyClaims claims = Entry("a");
    claims.SetLiveEntries(entries);
    int appends = 0;
    for (Milliseconds after{0}; after < Seconds(100);
         after += Milliseconds(5)) {
      FreeKeyRequest request = Request();
      request.key.key = IdempotencyKey(std::to_string(after.count()));
      request.deadline = kNow + Seconds(200);
      (void)claims.Begin(request, kNow + after, kWall);
      if (!claims.TakeAppend(kNow + after))
        continue;
      ++appends;
      (void)claims.OnAppendReply(LogOffset(0));
    }
    INFO(entries << " entries");
    CHECK(appends > 0);
    CHECK(appends * entries <= 200 * 100 + entries);
  }
}

}  // namespace carobshift
