#include "carobshift/gateway/streams/stream_messages.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const StreamBeginning kOld{ServiceName("llm"), SoftwareVersion("v1")};
const StreamBeginning kNew{ServiceName("llm"), SoftwareVersion("v2")};

TEST_CASE("stream records are read back as they were written") {
  const std::vector<StreamRecord> records = {
      {StreamKey(7), kOld, Seconds(15)},
      {StreamKey(8), kNew, Seconds(3)},
      {StreamKey(9), kOld, Milliseconds(1)}};
  const std::string payload = EncodeStreamRecords(records);
  const auto decoded = DecodeStreamRecords(payload);
  REQUIRE(decoded.ok());
  REQUIRE(decoded.value().size() == 3);
  int matching = 0;
  for (const StreamRecord& one : decoded.value()) {
    for (const StreamRecord& sent : records) {
      matching += one.key == sent.key && one.beginning == sent.beginning &&
                          one.life == sent.life
                      ? 1
                      : 0;
    }
  }
  CHECK(matching == 3);
  for (std::size_t size = 0; size < payload.size(); ++size)
    CHECK_FALSE(DecodeStreamRecords(payload.substr(0, size)).ok());
}

TEST_CASE("a question and its answers are read back") {
  const auto query = DecodeStreamQuery(
      EncodeStreamQuery({Incarnation(1),
                         2,
                         StreamKey(3),
                         {ServiceName("llm"), Milliseconds(30'000)}}));
  REQUIRE(query.ok());
  CHECK(query.value().requester == Incarnation(1));
  CHECK(query.value().number == 2);
  CHECK(query.value().key == StreamKey(3));
  CHECK(query.value().question.service == ServiceName("llm"));
  CHECK(query.value().question.span == Milliseconds(30'000));
  CHECK_FALSE(DecodeStreamQuery("x").ok());

  StreamEvidence known;
  known.Merge(kOld);
  for (const StreamEvidence& evidence :
       {StreamEvidence(), known, StreamEvidence::Contradictory()}) {
    const std::optional<SoftwareVersion> sole =
        GENERATE(std::optional<SoftwareVersion>(),
                 std::optional<SoftwareVersion>(SoftwareVersion("v1")));
    const auto answer = DecodeStreamAnswer(
        EncodeStreamAnswer({Incarnation(4), 2, evidence, sole}));
    REQUIRE(answer.ok());
    CHECK(answer.value().from == Incarnation(4));
    CHECK(answer.value().number == 2);
    CHECK(answer.value().sole_version == sole);
    CHECK(answer.value().evidence.beginning() == evidence.beginning());
    CHECK(answer.value().evidence.contradictory() == evidence.contradictory());
  }
  CHECK_FALSE(DecodeStreamAnswer("").ok());
}

}  // namespace
}  // namespace carobshift
