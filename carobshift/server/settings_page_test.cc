#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>

#include "carobshift/server/settings.h"

namespace carobshift {

TEST_CASE("docs/CONFIGURATION.md has a row for every setting") {
  std::ifstream in(CAROBSHIFT_CONFIGURATION_PAGE);
  const std::string page(std::istreambuf_iterator<char>(in), {});
  for (const SettingRow& row : SettingRows()) {
    INFO(row.key);
    CHECK(page.find("| `" + std::string(row.key) + "` |") != std::string::npos);
  }
}

}  // namespace carobshift
