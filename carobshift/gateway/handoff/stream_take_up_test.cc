// Callers take streams up again at an instance whose stream directory the test
// sets.

#include "carobshift/gateway/handoff/handoff_fixture.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carobshift {
namespace {

// Knows where one stream began, and records what is published.
class FakeStreamDirectory : public StreamDirectory {
 public:
  void Publish(const StreamRecord& record) override {
    published.push_back(record);
  }
  void Find(StreamKey, const SoleVersionQuestion&, Done done) override {
    ++lookups;
    done({beginning, StreamSource::kPeer, sole_version});
  }
  void FindSoleVersion(const SoleVersionQuestion&, SoleVersionDone) override {}

  std::optional<StreamBeginning> beginning;
  std::optional<SoftwareVersion> sole_version;
  std::vector<StreamRecord> published;
  int lookups = 0;
};

// Guards against a stream that goes on at the only version that this instance
// has heard of, though another instance began it at a new one.
TEST_CASE("a stream's record goes before what the service's versions show") {
  HandoffFixture fixture(
      [](HttpServerConnection& connection, const HttpServerRequest&) {
        connection.BeginStream(ReplyHead(200));
        connection.SendChunk(Events(4, 6));
        connection.EndStream();
      });
  FakeStreamDirectory directory;
  Instance& instance = fixture.peer();
  instance.registry.OnRecordsFollowedSince({});
  instance.requests.SetStreamDirectory(
      &directory, [&fixture] { return fixture.loop.now(); });
  const auto take_up = [&](std::vector<HttpField> fields) {
    fields.push_back({"Last-Event", "3"});
    Caller caller(fixture.loop, instance.address(), "/review/1",
                  Milliseconds(2000), fields);
    RunUntil(fixture.loop, [&caller] { return caller.over; });
    return caller.head.status;
  };
  directory.beginning = {kService, SoftwareVersion("v2")};
  CHECK(take_up({{"Begun-By", "r0"}}) == 503);
  CHECK(fixture.Runs() == 0);
  directory.beginning = {kService, SoftwareVersion("v1")};
  CHECK(take_up({{"Begun-By", "r0"}}) == 200);
  directory.beginning = std::nullopt;
  CHECK(take_up({{"Begun-By", "r0"}}) == 200);
  CHECK(directory.lookups == 3);
  // Without the name of its beginning there is nothing to look up.
  CHECK(take_up({}) == 200);
  CHECK(directory.lookups == 3);
  // The first request of a stream is the one that is recorded.
  CHECK(directory.published.empty());
}

void EndOfStream(HttpServerConnection& connection, const HttpServerRequest&) {
  connection.BeginStream(ReplyHead(200));
  connection.SendChunk(Events(4, 6));
  connection.EndStream();
}

std::unique_ptr<Caller> TakeUp(HandoffFixture& fixture) {
  return std::make_unique<Caller>(
      fixture.loop, fixture.peer().address(), "/review/1", Milliseconds(2000),
      std::vector<HttpField>{{"Last-Event", "3"}, {"Begun-By", "lost"}});
}

// Guards against a stream that goes on at the version of which an instance
// tells whose records are older than those here.
TEST_CASE("what others say of a version doesn't go before the own records") {
  HandoffFixture fixture(EndOfStream);
  FakeStreamDirectory directory;
  directory.sole_version = SoftwareVersion("v1");
  Instance& instance = fixture.peer();
  instance.requests.SetStreamDirectory(
      &directory, [&fixture] { return fixture.loop.now(); });
  int status = 200;
  Milliseconds followed{5000};
  SECTION("which have no other version") {}
  SECTION("which have another one") {
    instance.AddEndpoint("new", {"127.0.0.1", 1}, "v2");
    status = 503;
  }
  SECTION("which leave a gap to those of the others") {
    followed = Milliseconds(1000);
    status = 503;
  }
  instance.registry.OnRecordsFollowedSince(fixture.loop.now() - followed);
  const auto caller = TakeUp(fixture);
  RunUntil(fixture.loop, [&caller] { return caller->over; });
  CHECK(caller->head.status == status);
  CHECK(fixture.Runs() == (status == 200 ? 1 : 0));
}

// Guards against a stream that goes on at the only version here, as this
// instance hasn't read yet of the new one at which another one began it.
TEST_CASE("a lost stream waits for the records of its own time") {
  HandoffFixture fixture(EndOfStream);
  FakeStreamDirectory directory;
  Instance& instance = fixture.peer();
  instance.registry.OnRecordsFollowedSince({});
  MonotonicTime as_of = fixture.loop.now() - Milliseconds(500);
  instance.requests.SetStreamDirectory(&directory, [&as_of] { return as_of; });
  const auto caller = TakeUp(fixture);
  RunUntil(fixture.loop, [&directory] { return directory.lookups == 1; });
  instance.requests.OnTick();
  CHECK_FALSE(caller->over);
  int status = 200;
  SECTION("which have no other version") {}
  SECTION("which have another one") {
    instance.AddEndpoint("new", {"127.0.0.1", 1}, "v2");
    status = 503;
  }
  as_of = fixture.loop.now();
  instance.requests.OnTick();
  RunUntil(fixture.loop, [&caller] { return caller->over; });
  CHECK(caller->head.status == status);
}

std::shared_ptr<const ServingConfigSnapshot> ConfigWithReviewAt(
    const ServiceName& service) {
  ServingConfig config = Config()->config();
  for (Route& route : config.routes) {
    if (route.name == "review")
      route.services = {{service, 1}};
  }
  config.services[service].name = service;
  return std::make_shared<const ServingConfigSnapshot>(std::move(config));
}

// Guards against a stream that goes on at the service to which its route led
// when it was taken up, though the route had moved before: the instance had
// stood still, and read the configuration only while the stream waited.
TEST_CASE("a lost stream that waits doesn't go on where its route led before") {
  HandoffFixture fixture(EndOfStream);
  FakeStreamDirectory directory;
  Instance& instance = fixture.peer();
  instance.registry.OnRecordsFollowedSince({});
  MonotonicTime as_of = fixture.loop.now() - Milliseconds(500);
  instance.requests.SetStreamDirectory(&directory, [&as_of] { return as_of; });
  const auto caller = TakeUp(fixture);
  RunUntil(fixture.loop, [&directory] { return directory.lookups == 1; });
  int status = 200;
  SECTION("the route still leads there") {
    instance.requests.SetConfig(ConfigWithReviewAt(kService));
  }
  SECTION("the route has moved") {
    instance.requests.SetConfig(ConfigWithReviewAt(ServiceName("other")));
    status = 503;
  }
  as_of = fixture.loop.now();
  instance.requests.OnTick();
  RunUntil(fixture.loop, [&caller] { return caller->over; });
  CHECK(caller->head.status == status);
  CHECK(fixture.Runs() == (status == 200 ? 1 : 0));
}

// Guards against a stream that goes on at the service to which its route led
// before, as this instance hasn't read the configuration yet under which
// another one began it.
TEST_CASE("a lost stream waits for the configuration of its own time") {
  HandoffFixture fixture(EndOfStream);
  FakeStreamDirectory directory;
  Instance& instance = fixture.peer();
  instance.registry.OnRecordsFollowedSince({});
  MonotonicTime as_of = fixture.loop.now() - Milliseconds(500);
  instance.requests.SetStreamDirectory(
      &directory, [&fixture] { return fixture.loop.now(); });
  instance.requests.SetConfigAsOf([&as_of] { return as_of; });
  const auto caller = TakeUp(fixture);
  RunUntil(fixture.loop, [&directory] { return directory.lookups == 1; });
  instance.requests.OnTick();
  CHECK_FALSE(caller->over);
  CHECK(instance.requests.awaits_records());
  int status = 200;
  SECTION("which is the one in force") {}
  SECTION("which moves the route") {
    instance.requests.SetConfig(ConfigWithReviewAt(ServiceName("other")));
    status = 503;
  }
  as_of = fixture.loop.now();
  instance.requests.OnTick();
  RunUntil(fixture.loop, [&caller] { return caller->over; });
  CHECK(caller->head.status == status);
  CHECK_FALSE(instance.requests.awaits_records());
}

TEST_CASE("a resumable stream's beginning is recorded with its first event") {
  HandoffFixture fixture(
      [](HttpServerConnection& connection, const HttpServerRequest&) {
        connection.BeginStream(ReplyHead(200));
        connection.SendChunk(Events(1, 6));
        connection.EndStream();
      });
  FakeStreamDirectory directory;
  Instance& instance = fixture.peer();
  instance.requests.SetStreamDirectory(
      &directory, [&fixture] { return fixture.loop.now(); });
  for (const char* target : {"/ask/1", "/review/1"}) {
    Caller caller(fixture.loop, instance.address(), target);
    RunUntil(fixture.loop, [&caller] { return caller.over; });
    CHECK(caller.body == Events(1, 6));
  }
  REQUIRE(directory.published.size() == 1);
  const StreamRecord& record = directory.published.front();
  CHECK(record.key == StreamKeyOf(std::nullopt, RequestId("r1")));
  CHECK(record.beginning == StreamBeginning{kService, SoftwareVersion("v1")});
  // At least as long as the caller may take it up.
  CHECK(record.life >= Milliseconds(3000));
}

}  // namespace
}  // namespace carobshift
