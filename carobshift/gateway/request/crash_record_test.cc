#include "carobshift/gateway/request/crash_record.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};

TEST_CASE(
    "a request that takes down its endpoints is refused at the fourth try") {
  // Guards against a request that crashes one engine after another. A prompt
  // crashes each engine that reads it, and its caller resends it to other
  // instances under other request ids. The instances announce the broken runs;
  // two runs elsewhere and one here add up to three.
  CrashRecord record;
  CallerRequest request;
  request.target = "/review/1";
  request.body = SharedBytes("poison");
  const auto fingerprint = FingerprintOf(request, AccountId("north"));
  CHECK(fingerprint != FingerprintOf(request, AccountId("south")));
  for (const char* run : {"r1.1", "r2.1"}) {
    const auto decoded = DecodeCrashReport(EncodeCrashReport(fingerprint, run));
    REQUIRE(decoded.has_value());
    record.OnBroken(decoded->fingerprint, decoded->run, kStart);
    record.OnBroken(decoded->fingerprint, decoded->run, kStart);
  }
  CHECK_FALSE(record.Refuses(fingerprint, kStart));
  record.OnBroken(fingerprint, "r3.1", kStart);
  CHECK(record.Refuses(fingerprint, kStart));
  CHECK_FALSE(
      record.Refuses(fingerprint, kStart + CrashRecord::kRefusalDuration));
  CHECK_FALSE(DecodeCrashReport("nonsense").has_value());
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

TEST_CASE("repeated reports of cleared runs do not refuse a request") {
  // Guards against refusing a request whose broken runs have been cleared.
  // Endpoints fail and three runs of a popular request break with them; then a
  // run completes. Instances announce broken runs for a minute, and counting
  // them again each time would keep the request refused for that minute.
  CrashRecord record;
  const RequestFingerprint fingerprint(7);
  for (const char* run : {"r1.1", "r2.1", "r3.1"})
    record.OnBroken(fingerprint, run, kStart);
  CHECK(record.Refuses(fingerprint, kStart));
  record.OnCompleted(fingerprint);
  for (const char* run : {"r1.1", "r2.1", "r3.1"})
    record.OnBroken(fingerprint, run, kStart + Milliseconds(100));
  CHECK_FALSE(record.Refuses(fingerprint, kStart + Milliseconds(100)));
  // The count of broken runs restarts after the completed run.
  record.OnBroken(fingerprint, "r4.1", kStart + Seconds(1));
  record.OnBroken(fingerprint, "r5.1", kStart + Seconds(1));
  CHECK_FALSE(record.Refuses(fingerprint, kStart + Seconds(1)));
  record.OnBroken(fingerprint, "r6.1", kStart + Seconds(1));
  CHECK(record.Refuses(fingerprint, kStart + Seconds(1)));
  // Announcements of the first runs end before kRetention has passed.
  record.Expire(kStart + Seconds(1) + CrashRecord::kRefusalDuration);
  CHECK_FALSE(record.empty());
  record.Expire(kStart + Seconds(1) + CrashRecord::kRetention);
  CHECK(record.empty());
}

TEST_CASE("a run that is withdrawn doesn't count") {
  CrashRecord crashes;
  const RequestFingerprint fingerprint(7);
  const MonotonicTime now{Seconds(100)};
  for (const char* const run : {"a.1", "a.2", "b.1"})
    crashes.OnBroken(fingerprint, run, now);
  REQUIRE(crashes.Refuses(fingerprint, now));
  crashes.Withdraw(fingerprint, "a.2");
  crashes.Withdraw(RequestFingerprint(8), "a.2");
  CHECK_FALSE(crashes.Refuses(fingerprint, now));
}

}  // namespace
}  // namespace carobshift
