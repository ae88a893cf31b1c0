#include "carobshift/gateway/streams/stream_table.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};
const StreamBeginning kBeginning{ServiceName("llm"), SoftwareVersion("v1")};

StreamRecord RecordOf(std::uint64_t key, Milliseconds life = Seconds(10)) {
  return {StreamKey(key), kBeginning, life};
}

TEST_CASE("a record is kept for its life, and that is bounded") {
  StreamTable table;
  table.Put(RecordOf(1, Seconds(10)), kStart);
  table.Put(RecordOf(2, Seconds(100'000)), kStart);
  CHECK(table.Find(StreamKey(1), kStart).beginning() == kBeginning);
  CHECK_FALSE(
      table.Find(StreamKey(1), kStart + Seconds(10)).beginning().has_value());
  CHECK(table.Find(StreamKey(2), kStart + Seconds(10)).beginning());
  table.Expire(kStart + Seconds(10));
  CHECK(table.size() == 1);
  table.Expire(kStart + StreamTable::kMaxLife);
  CHECK(table.size() == 0);
  CHECK(table.dropped() == 0);
}

TEST_CASE("a record that comes again with a longer life is kept longer") {
  StreamTable table;
  table.Put(RecordOf(1, Seconds(10)), kStart);
  table.Put(RecordOf(1, Seconds(5)), kStart + Seconds(8));
  const auto left = table.All(kStart + Seconds(8));
  REQUIRE(left.size() == 1);
  CHECK(left[0].life == Seconds(5));
  CHECK(left[0].beginning == kBeginning);
}

// Guards against memory that grows with the streams of a flood.
TEST_CASE("the oldest record yields when the table is full") {
  StreamTable table(/*max_streams=*/3);
  table.Put(RecordOf(1, Seconds(1)), kStart);
  table.Expire(kStart + Seconds(2));
  for (std::uint64_t key = 2; key <= 6; ++key)
    table.Put(RecordOf(key), kStart + Seconds(2));
  CHECK(table.size() == 3);
  CHECK(table.dropped() == 2);
  CHECK_FALSE(table.Find(StreamKey(3), kStart + Seconds(3)).beginning());
  CHECK(table.Find(StreamKey(4), kStart + Seconds(3)).beginning());
}

}  // namespace
}  // namespace carobshift
