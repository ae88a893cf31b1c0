#include "testing/http_client.h"

#include <catch2/catch.hpp>

#include "carobshift/net/cut_replies.h"

namespace carobshift {
namespace {

// Guards against a test that takes a response that breaks off for a whole one,
// and so can't see what the system did with it.
TEST_CASE("tests see that a response breaks off") {
  const bool reset = GENERATE(false, true);
  CutReplyServer server;
  for (const ReplyForm& form : ReplyForms()) {
    for (std::size_t size = 0; size <= form.bytes.size(); ++size) {
      CAPTURE(form.name, size, form.head_size, reset);
      server.Script({.cut = form.bytes.substr(0, size), .reset = reset});
      const HttpAnswer answer = HttpSend(server.address(), "GET", "/");
      CHECK((size >= form.head_size || answer.status == 0));
      if (answer.failure.empty()) {
        CHECK(form.MayBeComplete(size, reset));
        CHECK(answer.body == form.BodyWithin(size));
      } else {
        CHECK((reset || !form.MayBeComplete(size, reset)));
      }
    }
  }
}

}  // namespace
}  // namespace carobshift
