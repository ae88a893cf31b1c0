#include "carobshift/gateway/handoff/handoff_codec.h"

#include <catch2/catch.hpp>
#include <string>

namespace carobshift {
namespace {

const std::string kSecret = "secret";
const std::string kBody = "slot 7";
const EntryId kSelf("entry-2");
const Incarnation kIncarnation(77);

HttpHead RequestHead() {
  HttpHead head;
  head.method = "POST";
  head.target = "/book/1?day=2";
  head.fields = {{"Host", "api.example"},
                 {"Request-Id", "r1"},
                 {"X-Api-Key", "key"},
                 {"Deadline-Ms", "600"}};
  return head;
}

HttpHead SealedHead() {
  HttpHead head = RequestHead();
  SealHandoff(
      {.from = EntryId("entry-1"), .to = kSelf, .to_incarnation = kIncarnation},
      kBody, kSecret, head);
  return head;
}

HandoffRejection RejectionOf(HttpHead head, const std::string& body = kBody) {
  return OpenHandoff(body, kSelf, kIncarnation, kSecret, head).rejection;
}

TEST_CASE("a sealed handoff opens to the request that was sealed") {
  HttpHead head = SealedHead();
  const OpenedHandoff opened =
      OpenHandoff(kBody, kSelf, kIncarnation, kSecret, head);
  CHECK(opened.rejection == HandoffRejection::kNone);
  CHECK(opened.from == EntryId("entry-1"));
  const HttpHead plain = RequestHead();
  CHECK(head.fields.text() == plain.fields.text());
}

// Guards against requests of anyone who reaches the port and holds no secret.
TEST_CASE("a handoff without a seal or with another secret is rejected") {
  CHECK(RejectionOf(RequestHead()) == HandoffRejection::kNotSealed);
  HttpHead head = SealedHead();
  CHECK(OpenHandoff(kBody, kSelf, kIncarnation, "other", head).rejection ==
        HandoffRejection::kBadCode);
  HttpHead partly = SealedHead();
  partly.Remove("Carobshift-Handoff-Code");
  CHECK(RejectionOf(partly) == HandoffRejection::kNotSealed);
}

// Guards against a recorded request that is sent again for another account.
TEST_CASE("a handoff of which any part was changed is rejected") {
  for (const HttpField& field : SealedHead().fields) {
    HttpHead head = SealedHead();
    head.Set(field.name, std::string(field.value) + "0");
    CHECK(RejectionOf(head) == HandoffRejection::kBadCode);
  }
  HttpHead added = SealedHead();
  added.fields.push_back({"Last-Event-Id", "3"});
  CHECK(RejectionOf(added) == HandoffRejection::kBadCode);
  HttpHead removed = SealedHead();
  removed.Remove("Deadline-Ms");
  CHECK(RejectionOf(removed) == HandoffRejection::kBadCode);
  HttpHead target = SealedHead();
  target.target = "/book/2";
  CHECK(RejectionOf(target) == HandoffRejection::kBadCode);
  HttpHead method = SealedHead();
  method.method = "GET";
  CHECK(RejectionOf(method) == HandoffRejection::kBadCode);
  CHECK(RejectionOf(SealedHead(), "slot 8") == HandoffRejection::kBadCode);
}

// Guards against a recorded request that a restarted process runs again.
TEST_CASE("a handoff to another instance or incarnation is rejected") {
  HttpHead head = SealedHead();
  CHECK(OpenHandoff(kBody, EntryId("entry-3"), kIncarnation, kSecret, head)
            .rejection == HandoffRejection::kOtherInstance);
  head = SealedHead();
  CHECK(OpenHandoff(kBody, kSelf, Incarnation(78), kSecret, head).rejection ==
        HandoffRejection::kOtherInstance);
}

// Guards against requests that travel in a circle between instances.
TEST_CASE("a handoff that was sealed twice is rejected") {
  HttpHead head = SealedHead();
  for (const HttpField& field : SealedHead().fields) {
    if (field.name.starts_with("Carobshift-"))
      head.fields.push_back(field);
  }
  CHECK(RejectionOf(head) == HandoffRejection::kSealedTwice);
}

TEST_CASE("fields of the seal that a caller sent are not part of it") {
  HttpHead head = RequestHead();
  head.fields.push_back({"Carobshift-Handoff-From", "entry-9"});
  SealHandoff(
      {.from = EntryId("entry-1"), .to = kSelf, .to_incarnation = kIncarnation},
      kBody, kSecret, head);
  const OpenedHandoff opened =
      OpenHandoff(kBody, kSelf, kIncarnation, kSecret, head);
  CHECK(opened.rejection == HandoffRejection::kNone);
  CHECK(opened.from == EntryId("entry-1"));
}

TEST_CASE("the state of a reply survives the wire and must be a known one") {
  HttpHead head;
  CHECK_FALSE(HandoffStateOf(head));
  for (const HandoffState state : {HandoffState::kAnswer, HandoffState::kNotRun,
                                   HandoffState::kOutcomeUnknown}) {
    SetHandoffState(state, head);
    CHECK(HandoffStateOf(head) == state);
  }
  head.Set(kHandoffStateField, "perhaps");
  CHECK_FALSE(HandoffStateOf(head));
}

// Guards against a caller that chooses the software version of its stream.
TEST_CASE("only the instance that hands over states where a stream began") {
  HttpHead head;
  head.fields = {{std::string(kStreamServiceField), "llm"},
                 {std::string(kStreamSoftwareField), "v9"}};
  SECTION("nothing is known of it") {
    SetStreamBeginning(std::nullopt, head);
    CHECK_FALSE(TakeStreamBeginning(head).has_value());
  }
  SECTION("it has begun") {
    const StreamBeginning beginning{ServiceName("desks"),
                                    SoftwareVersion("v1")};
    SetStreamBeginning(beginning, head);
    CHECK(TakeStreamBeginning(head) == beginning);
  }
  CHECK(head.fields.empty());
}

}  // namespace
}  // namespace carobshift
