#include "carobshift/gateway/crash_record.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};

TEST_CASE(
    "a request that takes down its endpoints is refused at the fourth try") {
  // One dossier makes each engine that reads it crash, and its caller sends it
  // again at other instances, under other ids. They tell each other; two runs
  // elsewhere and one here are three.
  CrashRecord record;
  CallerRequest request;
  request.target = "/review/1";
  request.body = "poison";
  const auto fingerprint = FingerprintOf(request, AccountId("north"));
  CHECK(fingerprint != FingerprintOf(request, AccountId("south")));
  for (const char* run : {"r1.1", "r2.1"}) {
    const auto told = ReadCrash(DescribeCrash(fingerprint, run));
    REQUIRE(told.has_value());
    record.OnBroken(told->fingerprint, told->run, kStart);
    record.OnBroken(told->fingerprint, told->run, kStart);
  }
  CHECK_FALSE(record.Refuses(fingerprint, kStart));
  record.OnBroken(fingerprint, "r3.1", kStart);
  CHECK(record.Refuses(fingerprint, kStart));
  CHECK_FALSE(record.Refuses(fingerprint, kStart + CrashRecord::kRefusal));
  CHECK_FALSE(ReadCrash("nonsense").has_value());
}

TEST_CASE("a popular request that was there when endpoints died stays served") {
  CrashRecord record;
  const RequestFingerprint fingerprint(7);
  record.OnBroken(fingerprint, "r1.1", kStart);
  record.OnBroken(fingerprint, "r2.1", kStart);
  record.OnCompleted(fingerprint);
  record.OnBroken(fingerprint, "r3.1", kStart);
  CHECK_FALSE(record.Refuses(fingerprint, kStart));
}

TEST_CASE("told again of runs that a good one has cleared, it stays served") {
  // Endpoints die and a popular request breaks with them, three times. Then it
  // runs well. Instances tell each other of broken runs for a minute; counted
  // again each time, they would keep the request refused for that minute.
  CrashRecord record;
  const RequestFingerprint fingerprint(7);
  for (const char* run : {"r1.1", "r2.1", "r3.1"})
    record.OnBroken(fingerprint, run, kStart);
  CHECK(record.Refuses(fingerprint, kStart));
  record.OnCompleted(fingerprint);
  for (const char* run : {"r1.1", "r2.1", "r3.1"})
    record.OnBroken(fingerprint, run, kStart + Milliseconds(100));
  CHECK_FALSE(record.Refuses(fingerprint, kStart + Milliseconds(100)));
  // Broken runs after the good one count from one again.
  record.OnBroken(fingerprint, "r4.1", kStart + Seconds(1));
  record.OnBroken(fingerprint, "r5.1", kStart + Seconds(1));
  CHECK_FALSE(record.Refuses(fingerprint, kStart + Seconds(1)));
  record.OnBroken(fingerprint, "r6.1", kStart + Seconds(1));
  CHECK(record.Refuses(fingerprint, kStart + Seconds(1)));
  // Whoever tells of the first runs can't do so longer than this.
  record.Expire(kStart + Seconds(1) + CrashRecord::kRefusal);
  CHECK(record.empty());
}

}  // namespace
}  // namespace carobshift
