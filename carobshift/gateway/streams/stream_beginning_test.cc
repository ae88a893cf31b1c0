#include "carobshift/gateway/streams/stream_beginning.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace carobshift {
namespace {

const StreamBeginning kFirst{ServiceName("llm"), SoftwareVersion("v1")};
const StreamBeginning kSecond{ServiceName("llm"), SoftwareVersion("v2")};

// Guards against a stream that is bound by an id that another account chose.
TEST_CASE("the same id of two accounts names two streams") {
  const RequestId id("r1");
  const StreamKey north = StreamKeyOf(AccountId("north"), id);
  CHECK(north == StreamKeyOf(AccountId("north"), id));
  CHECK(north != StreamKeyOf(AccountId("south"), id));
  CHECK(north != StreamKeyOf(std::nullopt, id));
  CHECK(north != StreamKeyOf(AccountId("north"), RequestId("r2")));
  CHECK(StreamKeyOf(AccountId("a\nb"), RequestId("c")) !=
        StreamKeyOf(AccountId("a"), RequestId("b\nc")));
}

// Guards against a guess at one of two streams to which a caller has given one
// id.
TEST_CASE("contradicting statements name no beginning, in any order") {
  StreamEvidence evidence;
  CHECK_FALSE(evidence.beginning().has_value());
  std::vector<StreamBeginning> statements = {kFirst, kFirst, kSecond};
  do {
    StreamEvidence merged;
    for (const StreamBeginning& one : statements)
      merged.Merge(one);
    CHECK(merged.contradictory());
    CHECK_FALSE(merged.beginning().has_value());
    evidence.Merge(merged);
    evidence.Merge(kFirst);
    CHECK(evidence.contradictory());
  } while (std::next_permutation(
      statements.begin(), statements.end(),
      [](const auto& a, const auto& b) { return a.software < b.software; }));
}

TEST_CASE("a statement that is repeated stays certain") {
  StreamEvidence evidence;
  evidence.Merge(kFirst);
  evidence.Merge(kFirst);
  evidence.Merge(StreamEvidence());
  CHECK(evidence.beginning() == kFirst);
}

}  // namespace
}  // namespace carobshift
