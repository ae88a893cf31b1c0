// Runs sessions against real processes and compares them with the .golden files
// in this directory.

#include <catch2/catch.hpp>
#include <sstream>
#include <string>

#include "golden/session.h"
#include "testing/caller.h"
#include "testing/cluster.h"

namespace carobshift {
namespace {

const std::pair<std::string, std::string> kCredentials = {
    "Authorization", "Bearer " + std::string(kAccountKey)};

ClusterOptions SmallCluster() {
  return {.entries = 1, .engines = 1, .zones = 1};
}

// Replaces an offset by a name. An entry may write a checkpoint between two
// edits, which moves the offsets of later edits between runs.
void ReplaceOffset(Session& session,
                   std::uint64_t offset,
                   const std::string& name) {
  const std::string number = std::to_string(offset);
  session.AddReplacement("\"offset\":" + number + ",",
                         "\"offset\":" + name + ",");
  session.AddReplacement("\"version\":" + number + "}",
                         "\"version\":" + name + "}");
  for (const char* end : {";", "\""})
    session.AddReplacement("version " + number + end, "version " + name + end);
}

}  // namespace

TEST_CASE("session: a completion stream") {
  Cluster cluster(SmallCluster());
  Session session(cluster.entry(0).address());
  const HttpAnswer addresses =
      session.Send("the caller asks which entry to use", "GET",
                   "/v1/addresses?service=assistant&conversation=round-1",
                   {.headers = {kCredentials}});
  session.AddReplacement(addresses.Json().value("key_prefix", ""),
                         "KEY_PREFIX-");
  session.Send(
      "and streams a completion", "POST", "/v1/completions",
      {.body =
           R"({"model":"assistant","prompt":"who pairs","max_tokens":4,"stream":true})",
       .headers = {kCredentials, {"Carobshift-Conversation", "round-1"}}});
  session.Send(
      "a chat, as one JSON answer", "POST", "/v1/chat/completions",
      {.body =
           R"({"model":"assistant","messages":[{"role":"user","content":"hi"}],"max_tokens":3})",
       .headers = {kCredentials}});
  CHECK(session.MatchesFile("completion_stream"));
}

TEST_CASE("session: a prompt that returns") {
  Cluster cluster(SmallCluster());
  Session session(cluster.entry(0).address());
  std::string prompt;
  constexpr std::size_t kPromptBytes = 560;
  while (prompt.size() < kPromptBytes)
    prompt += "pairing notes ";
  const auto ask = [&](const std::string& description) {
    const nlohmann::json body = {
        {"model", "assistant"}, {"prompt", prompt}, {"max_tokens", 3}};
    const HttpAnswer answer = session.Send(
        description, "POST", "/v1/completions",
        {.body = body.dump(),
         .headers = {kCredentials, {"Carobshift-Conversation", "round-2"}}});
    prompt += answer.Json()["choices"][0]["text"].get<std::string>();
    prompt += " And then?";
  };
  ask("the first turn: nothing is cached");
  ask("the second turn finds the first one's two whole blocks");
  CHECK(session.MatchesFile("return"));
}

TEST_CASE("session: refusals") {
  ClusterOptions options = SmallCluster();
  options.engines = 0;
  options.publish = false;
  Cluster cluster(options);
  Session session(cluster.entry(0).address());
  const std::string body = R"({"model":"assistant","prompt":"x"})";
  session.Send("no declaration is in force yet", "POST", "/v1/completions",
               {.body = body, .headers = {kCredentials}});
  cluster.Publish("first", cluster.DeclarationText(kFirstVersion),
                  std::nullopt);
  REQUIRE(WaitUntil([&] {
    return HttpSend(cluster.entry(0).address(), "GET", "/readyz").status == 200;
  }));
  session.Send("without a key", "POST", "/v1/completions", {.body = body});
  session.Send("a service that isn't declared", "POST", "/v1/completions",
               {.body = R"({"model":"nobody","prompt":"x"})",
                .headers = {kCredentials}});
  session.Send("malformed", "POST", "/v1/completions",
               {.body = "{", .headers = {kCredentials}});
  session.Send("a service without a replica", "POST", "/v1/completions",
               {.body = body, .headers = {kCredentials}});
  session.Send("an unknown route", "GET", "/v1/nowhere",
               {.headers = {kCredentials}});
  CHECK(session.MatchesFile("refusals"));
}

// Guards against a second run of a repeated booking: a client resends the
// request under the same idempotency key, gets the response of the first run,
// and the booking runs once.
TEST_CASE("session: a booking with a repeat") {
  Cluster cluster(SmallCluster());
  Session session(cluster.entry(0).address());
  const HttpAnswer addresses = session.Send(
      "the address answer brings a prefix for keys", "GET",
      "/v1/addresses?service=tee-desk", {.headers = {kCredentials}});
  const auto prefix = addresses.Json().at("key_prefix").get<std::string>();
  session.AddReplacement(prefix, "KEY_PREFIX-");
  const std::string booking = R"({"slot":"08:10"})";
  const std::string path = "/v1/services/tee-desk/call";
  const HttpSendOptions call{
      .body = booking,
      .headers = {kCredentials, {"Idempotency-Key", prefix + "0810"}}};
  session.Send("a booking", "POST", path, call);
  session.Send("the same booking again", "POST", path, call);
  HttpSendOptions other = call;
  other.body = R"({"slot":"08:20"})";
  session.Send("another booking under the same key", "POST", path, other);
  session.Send("what became of the key", "GET",
               "/v1/outcomes/" + prefix + "0810", {.headers = {kCredentials}});
  session.Send("a key that was never used", "GET",
               "/v1/outcomes/" + prefix + "unused",
               {.headers = {kCredentials}});
  session.Send("a booking without a key can't be repeated safely", "POST", path,
               {.body = R"({"slot":"08:30"})", .headers = {kCredentials}});
  CHECK(cluster.Runs(booking) == 1);
  CHECK(cluster.Runs(other.body) == 0);
  CHECK(session.MatchesFile("booking"));
}

// Guards against a lost update: two operators edit the same version. Log order
// decides, and the losing operator is told which edit won.
TEST_CASE("session: a race of two edits") {
  Cluster cluster(SmallCluster());
  Session session(cluster.entry(0).address());
  const std::string text = cluster.DeclarationText(kFirstVersion);
  const auto publish = [&](const std::string& edit,
                           std::optional<std::uint64_t> base) {
    const auto offset = cluster.Publish(edit, text + "# " + edit + "\n", base);
    ReplaceOffset(session, offset, "OFFSET_OF_" + edit);
    return offset;
  };
  const std::uint64_t winning_offset = publish("edit-of-asma", 0);
  publish("edit-of-bilal", 0);
  publish("edit-without-base", std::nullopt);
  publish("edit-of-chand", winning_offset);
  REQUIRE(WaitUntil(
      [&] { return cluster.State(0)["config"]["edit"] == "edit-of-chand"; }));
  std::istringstream lines(cluster.entry(0).Output());
  std::string line;
  while (std::getline(lines, line)) {
    if (line.find("\"config_decision\"") != std::string::npos)
      session.RecordLine(line);
  }
  session.RecordLine(cluster.State(0)["config"].dump());
  CHECK(session.MatchesFile("config_race"));
}

}  // namespace carobshift
