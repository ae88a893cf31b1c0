#include "carobshift/base/strong_type.h"

#include <catch2/catch.hpp>
#include <unordered_set>

#include "carobshift/base/ids.h"

namespace carobshift {

TEST_CASE("ids order, compare and hash as their values") {
  CHECK(AccountId("a") < AccountId("b"));
  CHECK(AccountId("a") == AccountId("a"));
  const std::unordered_set<LogOffset> set = {LogOffset(1), LogOffset(1)};
  CHECK(set.size() == 1);
}

}  // namespace carobshift
