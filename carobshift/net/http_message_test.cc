#include "carobshift/net/http_message.h"

#include <catch2/catch.hpp>
#include <string_view>
#include <vector>

namespace carobshift {
namespace {

TEST_CASE("fields are found in any case and replaced as one") {
  HttpHead head;
  head.fields = {{"Host", "a"}, {"X-One", "1"}, {"x-one", "2"}};
  REQUIRE(head.Find("hOST"));
  CHECK(*head.Find("hOST") == "a");
  CHECK(head.Count("X-ONE") == 2);
  head.Set("X-One", "3");
  CHECK(head.Count("x-one") == 1);
  CHECK(*head.Find("x-one") == "3");
  CHECK_FALSE(head.Find("absent"));
}

TEST_CASE("fields of one connection are told from those of the message") {
  CHECK(ConnectionFields().Contains("keep-alive"));
  CHECK(ConnectionFields().Contains("Transfer-Encoding"));
  CHECK_FALSE(ConnectionFields().Contains("Content-Type"));
  HttpHead head;
  head.fields = {{"Connection", "close, x-hop"}, {"connection", "b,,X-Other"}};
  const ConnectionFields named(head);
  CHECK(named.Contains("X-Hop"));
  CHECK(named.Contains("x-other"));
  CHECK(named.Contains("close"));
  CHECK_FALSE(named.Contains("x-ho"));
  CHECK_FALSE(named.Contains("Content-Type"));
}

TEST_CASE("fields are read as they were added") {
  HttpFields fields;
  CHECK(fields.empty());
  CHECK(fields.begin() == fields.end());
  fields = {{"a", ""}, {"b", "x: y"}, {"c", " "}};
  const std::vector<HttpField> read(fields.begin(), fields.end());
  REQUIRE(read.size() == 3);
  CHECK(read[0].name == "a");
  CHECK(read[0].value.empty());
  CHECK(read[1].value == "x: y");
  CHECK(read[2].value == " ");
  fields.Remove("B");
  CHECK(fields.text() == "a: \r\nc:  \r\n");
}

// Guards against a value that adds a field.
TEST_CASE("a line break within a value begins no field") {
  HttpHead head;
  head.Set("X-One", "1\r\nX-Two: 2");
  CHECK(head.fields.size() == 1);
  CHECK_FALSE(head.Find("X-Two"));
  CHECK(*head.Find("X-One") == "1  X-Two: 2");
}

// Guards against a head that takes many times its bytes.
TEST_CASE("many short fields take little more than their bytes") {
  constexpr std::size_t kFields = 3800;
  HttpFields fields;
  for (std::size_t i = 0; i < kFields; ++i)
    fields.push_back({"a", ""});
  CHECK(fields.size() == kFields);
  CHECK(fields.capacity() <= 2 * kFields * std::string_view("a: \r\n").size());
}

TEST_CASE("heads are serialized with their status text and an empty line") {
  HttpHead head;
  head.status = 503;
  head.fields = {{"Retry-After", "0.300"}};
  CHECK(SerializeReplyHead(head) ==
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.300\r\n\r\n");
  HttpHead request;
  request.method = "GET";
  request.target = "/a?b=c";
  CHECK(SerializeRequestHead(request) == "GET /a?b=c HTTP/1.1\r\n\r\n");
}

}  // namespace
}  // namespace carobshift
