#include "carobshift/base/result.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace carobshift {

TEST_CASE("a result holds a value or an error") {
  const Result<int> good(3);
  REQUIRE(good.ok());
  CHECK(good.value() == 3);
  const Result<int> bad(Error{ResultCode::kOverloaded, "full"});
  REQUIRE_FALSE(bad.ok());
  CHECK(bad.error().error_code() == ResultCode::kOverloaded);
}

TEST_CASE("every code in the table has a name of its own") {
  std::set<std::string> names;
  int count = 0;
  for (int number = 0; number < 1000; ++number) {
    const auto code = ResultCodeFromNumber(number);
    if (!code)
      continue;
    ++count;
    names.insert(std::string(ResultCodeName(*code)));
  }
  CHECK(count > 30);
  CHECK(names.size() == static_cast<std::size_t>(count));
}

}  // namespace carobshift
