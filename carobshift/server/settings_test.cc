#include "carobshift/server/settings.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

constexpr char kGood[] =
    "entry: e1\n"
    "zone: a\n"
    "listen: 127.0.0.1:0\n"
    "log: 127.0.0.1:1\n"
    "instance_list: 127.0.0.1:2\n"
    "secret_file: secret\n";

}  // namespace

TEST_CASE("settings come from the file and flags win over it") {
  const auto settings = LoadSettings(kGood, {{"zone", "b"}});
  REQUIRE(settings.ok());
  CHECK(settings.value().entry == EntryId("e1"));
  CHECK(settings.value().zone == ZoneName("b"));
}

TEST_CASE(
    "all errors are reported together with location, key and allowed values") {
  const auto settings = LoadSettings(
      "entry: e1\nzone: a\nlisten: nowhere\nhttp_threads: 2\nhtp: 1\n", {});
  REQUIRE_FALSE(settings.ok());
  const std::string& text = settings.error().message;
  CHECK(text.find("line 3, column 1: listen: \"nowhere\" is not allowed") !=
        std::string::npos);
  CHECK(text.find("http_threads: \"2\" is not allowed; expected 8 to 4096") !=
        std::string::npos);
  CHECK(text.find("line 5, column 1: htp: unknown key") != std::string::npos);
  CHECK(text.find("secret_file: missing") != std::string::npos);
}

TEST_CASE("a text that is no YAML is refused with its place") {
  const auto settings = LoadSettings("entry: [", {});
  REQUIRE_FALSE(settings.ok());
  CHECK(settings.error().message.find("line ") == 0);
}

}  // namespace carobshift
