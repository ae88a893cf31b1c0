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

}  // namespace
}  // namespace carobshift
