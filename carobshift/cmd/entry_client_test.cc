#include "carobshift/cmd/entry_client.h"

#include <catch2/catch.hpp>

#include "carobshift/net/cut_replies.h"

namespace carobshift {
namespace {

// Guards against an answer that breaks off and is printed as a complete one.
TEST_CASE("the command line takes no answer that breaks off for a complete") {
  const bool reset = GENERATE(false, true);
  CutReplyServer server;
  EntryClient client(server.address(), "key", Milliseconds(5000));
  for (const ReplyForm& form : ReplyForms()) {
    for (std::size_t size = 0; size <= form.bytes.size(); ++size) {
      CAPTURE(form.name, size, form.head_size, reset);
      server.Script({.cut = form.bytes.substr(0, size), .reset = reset});
      const EntryReply reply = client.Get("/debug/state");
      if (reply.status == 0) {
        CHECK((reset || !form.MayBeComplete(size, reset)));
      } else {
        CHECK(form.MayBeComplete(size, reset));
        CHECK(reply.body == form.BodyWithin(size));
      }
    }
  }
}

}  // namespace
}  // namespace carobshift
