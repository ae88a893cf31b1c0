#include "carobshift/net/http_message.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

TEST_CASE("fields are found in any case and replaced as one") {
  HttpHead head;
  head.fields = {{"Host", "a"}, {"X-One", "1"}, {"x-one", "2"}};
  REQUIRE(head.Find("hOST") != nullptr);
  CHECK(*head.Find("hOST") == "a");
  CHECK(head.Count("X-ONE") == 2);
  head.Set("X-One", "3");
  CHECK(head.Count("x-one") == 1);
  CHECK(*head.Find("x-one") == "3");
  CHECK(head.Find("absent") == nullptr);
}

TEST_CASE("fields of one connection are told from those of the message") {
  CHECK(IsConnectionField("keep-alive", ""));
  CHECK(IsConnectionField("Transfer-Encoding", ""));
  CHECK(IsConnectionField("X-Hop", "close, x-hop"));
  CHECK_FALSE(IsConnectionField("X-Hop", "close"));
  CHECK_FALSE(IsConnectionField("Content-Type", ""));
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
