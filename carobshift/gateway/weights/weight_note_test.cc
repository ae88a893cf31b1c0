#include "carobshift/gateway/weights/weight_note.h"

#include <catch2/catch.hpp>
#include <string>

namespace carobshift {
namespace {

const MonotonicTime kWriter{Seconds(100)};
// The steady clock of another machine.
const MonotonicTime kReader{Seconds(7000)};
const WallTime kWritten{Seconds(1'700'000'000)};
const ModelName kModel("m");

Milliseconds AgeAt(MonotonicTime now, const WeightNaming& naming) {
  return std::chrono::duration_cast<Milliseconds>(now - naming.named);
}

TEST_CASE("a naming is as old for the reader as for the writer, and older") {
  const std::string note =
      EncodeWeightNote({{kModel, WeightNumber(2), kWriter - Seconds(9)},
                        {kModel, WeightNumber(3), kWriter - Milliseconds(40),
                         NamingSource::kAssumed}},
                       kWriter, kWritten);
  const auto read =
      DecodeWeightNote(note, kReader, kWritten + Milliseconds(2500));
  REQUIRE(read.ok());
  REQUIRE(read.value().size() == 2);
  CHECK(read.value()[0].number == WeightNumber(2));
  CHECK(AgeAt(kReader, read.value()[0]) == Milliseconds(11500));
  CHECK(AgeAt(kReader, read.value()[1]) == Milliseconds(2540));
  CHECK(read.value()[0].source == NamingSource::kFromPeer);
  CHECK(read.value()[1].source == NamingSource::kAssumed);
}

TEST_CASE("a reader whose calendar clock is behind takes the ages as written") {
  // The reader's wall clock was set back. If a naming looked younger than it
  // was when the note was written, replaced weights would be used past their
  // bound.
  const std::string note = EncodeWeightNote(
      {{kModel, WeightNumber(2), kWriter - Seconds(9)}}, kWriter, kWritten);
  const auto read = DecodeWeightNote(note, kReader, kWritten - Seconds(3600));
  REQUIRE(read.ok());
  CHECK(AgeAt(kReader, read.value().front()) == Seconds(9));
}

TEST_CASE("anything else than a whole note is refused") {
  for (const char* text :
       {"", "{", "[]", "{}", R"({"written_ms":1})",
        R"({"written_ms":"1","named":[]})", R"({"written_ms":1,"named":[{}]})",
        R"({"written_ms":1,"named":[{"model":1,"number":2,"age_ms":3}]})"})
    CHECK_FALSE(DecodeWeightNote(text, kReader, kWritten).ok());
  CHECK(DecodeWeightNote(R"({"written_ms":1,"named":[]})", kReader, kWritten)
            .value()
            .empty());
}

}  // namespace
}  // namespace carobshift
