#include "carobshift/telemetry/log_output.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

TEST_CASE("lines are kept whole and in order") {
  LineBuffer buffer(1000);
  buffer.Append("one ");
  CHECK(buffer.size() == 0);
  buffer.Append("line\ntwo\nthr");
  CHECK(buffer.Front(100) == "one line\ntwo\n");
  CHECK(buffer.Front(3) == "one");
  buffer.Consume(9);
  CHECK(buffer.Front(100) == "two\n");
}

TEST_CASE("nobody reads the log: its memory is bounded, and the loss is told") {
  // The log reader hangs during a burst of lines. The buffer fills up to its
  // limit, further lines are dropped, and the next line that fits reports their
  // number.
  LineBuffer buffer(100);
  for (int i = 0; i < 1000; ++i)
    buffer.Append("0123456789\n");
  CHECK(buffer.size() <= 100);
  CHECK(buffer.dropped() > 900);
  const auto dropped = buffer.dropped();
  buffer.Consume(buffer.size());
  buffer.Append("after\n");
  CHECK(buffer.Front(1000) ==
        R"({"event":"log_lines_dropped","level":"warning","lines":)" +
            std::to_string(dropped) + "}\nafter\n");
}

}  // namespace
}  // namespace carobshift
