#include "carobshift/gateway/instances/suspect_sharing.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kSent{Seconds(1000)};
// The receiver's steady clock differs.
const MonotonicTime kReceived{Seconds(5)};

TEST_CASE("a crash is read with its times as ages") {
  const PartCrash crash{IncarnationDigest(7),
                        kSent - Milliseconds(60),
                        {{PartDigest(1), kSent - Milliseconds(400)},
                         {PartDigest(2), kSent - Milliseconds(90)}}};
  const auto decoded =
      DecodePartCrash(EncodePartCrash(crash, kSent), kReceived);
  REQUIRE(decoded.ok());
  CHECK(decoded.value().endpoint == crash.endpoint);
  CHECK(decoded.value().at == kReceived - Milliseconds(60));
  REQUIRE(decoded.value().runs.size() == 2);
  CHECK(decoded.value().runs[0].part == PartDigest(1));
  CHECK(decoded.value().runs[0].sent == kReceived - Milliseconds(400));
}

TEST_CASE("verdicts are read with their times as ages") {
  const PartVerdict refused{.part = PartDigest(9),
                            .refused = true,
                            .confirmed = true,
                            .probes = 1,
                            .first_crash = kSent - Seconds(4),
                            .refused_at = kSent - Seconds(3)};
  const PartVerdict cleared{.part = PartDigest(8),
                            .refused = false,
                            .sent = kSent - Milliseconds(300)};
  const auto decoded = DecodePartVerdicts(
      EncodePartVerdicts({refused, cleared}, kSent), kReceived);
  REQUIRE(decoded.ok());
  REQUIRE(decoded.value().size() == 2);
  const PartVerdict& first = decoded.value()[0];
  CHECK(first.part == PartDigest(9));
  CHECK(first.refused);
  CHECK(first.confirmed);
  CHECK(first.probes == 1);
  CHECK(first.first_crash == kReceived - Seconds(4));
  CHECK(first.refused_at == kReceived - Seconds(3));
  const PartVerdict& second = decoded.value()[1];
  CHECK_FALSE(second.refused);
  CHECK(second.sent == kReceived - Milliseconds(300));
}

// Guards against a datagram cut short that is taken for a whole one.
TEST_CASE("crashes and verdicts that are cut short are rejected") {
  const std::string crash = EncodePartCrash(
      {IncarnationDigest(7), kSent, {{PartDigest(1), kSent}}}, kSent);
  const std::string verdicts =
      EncodePartVerdicts({PartVerdict{.part = PartDigest(9)}}, kSent);
  for (std::size_t size = 0; size < crash.size(); ++size)
    CHECK_FALSE(DecodePartCrash(crash.substr(0, size), kReceived).ok());
  for (std::size_t size = 0; size < verdicts.size(); ++size)
    CHECK_FALSE(DecodePartVerdicts(verdicts.substr(0, size), kReceived).ok());
}

}  // namespace
}  // namespace carobshift
