#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>

#include "carobshift/base/result_code.h"

namespace carobshift {

TEST_CASE("docs/ERRORS.md has a row for every result code") {
  std::ifstream in(CAROBSHIFT_ERRORS_PAGE);
  const std::string page(std::istreambuf_iterator<char>(in), {});
  REQUIRE_FALSE(page.empty());
  for (int number = 0; number < 1000; ++number) {
    const auto code = ResultCodeFromNumber(number);
    if (!code)
      continue;
    const std::string row = "| " + std::to_string(number) + " | `" +
                            std::string(ResultCodeName(*code)) + "` | " +
                            std::to_string(HttpStatusOf(*code)) + " |";
    INFO(row);
    CHECK(page.find(row) != std::string::npos);
  }
}

}  // namespace carobshift
