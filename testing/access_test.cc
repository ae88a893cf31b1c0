// What an entry does with input that is malformed, too large or not allowed:
// each gets a clear error, and the process goes on serving.

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

#include "testing/caller.h"
#include "testing/cluster.h"
#include "testing/http_client.h"

namespace carobshift {
namespace {

const std::string kCredentials = "Bearer " + std::string(kClubKey);

HttpAnswer PostCompletion(const NetAddress& entry,
                          const std::string& body,
                          const std::string& credentials = kCredentials) {
  return HttpSend(entry, "POST", "/v1/completions",
                  {.body = body, .headers = {{"Authorization", credentials}}});
}

// Sends bytes that are no valid HTTP; returns the first line of the answer, or
// nothing if the connection was closed.
std::string SendRaw(const NetAddress& entry, const std::string& bytes) {
  Poco::Net::StreamSocket socket;
  socket.connect(Poco::Net::SocketAddress(entry.host, entry.port));
  constexpr int kSeconds = 15;
  socket.setReceiveTimeout(Poco::Timespan(kSeconds, 0));
  std::array<char, 256> buffer;
  try {
    for (std::size_t at = 0; at < bytes.size();)
      at += static_cast<std::size_t>(socket.sendBytes(
          bytes.data() + at, static_cast<int>(bytes.size() - at)));
    const int size = socket.receiveBytes(buffer.data(), buffer.size());
    return {buffer.data(), static_cast<std::size_t>(std::max(0, size))};
  } catch (const Poco::TimeoutException&) {
    return "timeout";
  } catch (const Poco::Exception&) {
    return "";
  }
}

void CheckStillServes(Cluster& cluster) {
  const Caller caller(cluster.EntryAddresses(), kClubKey);
  const CompletionOutcome outcome =
      caller.CompleteAt(cluster.entry(0).address(), {.prompt = "still there"});
  INFO(outcome.error.dump());
  CHECK(outcome.whole);
  CHECK(cluster.entry(0).running());
}

}  // namespace

// A caller's library is broken, or someone probes the entry. An answer without
// a code would leave the caller guessing whether its request ran.
TEST_CASE("malformed and oversized requests get typed errors") {
  Cluster cluster({.entries = 1,
                   .engines = 1,
                   .stores = 0,
                   .entry_flags = {"--max_body_bytes=20000"}});
  const NetAddress entry = cluster.entry(0).address();
  const std::string deep(15000, '[');
  const std::array<std::pair<std::string, int>, 9> bodies = {{
      {"", 100},
      {"{", 100},
      {"[]", 100},
      {deep, 100},
      {R"({"model":"assistant"})", 100},
      {R"({"model":"assistant","prompt":""})", 100},
      {R"({"model":"assistant","prompt":"x","max_tokens":-1})", 100},
      {R"({"model":"nobody","prompt":"x"})", 102},
      {R"({"model":"assistant","prompt":")" + std::string(30000, 'x') + "\"}",
       103},
  }};
  for (const auto& [body, code] : bodies) {
    const HttpAnswer answer = PostCompletion(entry, body);
    INFO(body.substr(0, 60) << " -> " << answer.status << " " << answer.body);
    const nlohmann::json error = answer.Json();
    REQUIRE(error.is_object());
    CHECK(error.at("error").at("code") == code);
    CHECK(error.at("error").at("state") == "not_run");
    CHECK(answer.status >= 400);
  }
  CheckStillServes(cluster);
}

TEST_CASE("bytes that are no HTTP don't harm the entry") {
  Cluster cluster({.entries = 1,
                   .engines = 1,
                   .stores = 0,
                   .entry_flags = {"--read_timeout_ms=500"}});
  const NetAddress entry = cluster.entry(0).address();
  const std::string many_fields = [] {
    std::string text = "GET /healthz HTTP/1.1\r\n";
    for (int i = 0; i < 500; ++i)
      text += "X-" + std::to_string(i) + ": y\r\n";
    return text + "\r\n";
  }();
  const std::string post = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" +
                           ("Authorization: " + kCredentials) + "\r\n";
  const std::array<std::string, 6> inputs = {
      std::string("\0\1\2\3\r\n\r\n", 8),
      "GET " + std::string(100000, 'a') + " HTTP/1.1\r\n\r\n",
      many_fields,
      "GET /healthz HTTP/1.1\r\nX: " + std::string(200000, 'b') + "\r\n\r\n",
      post + "Content-Length: -5\r\n\r\n{}",
      // The stated length never comes: the read timeout ends it.
      post + "Content-Length: 500\r\n\r\n{",
  };
  for (const std::string& input : inputs) {
    const std::string answer = SendRaw(entry, input);
    INFO(input.substr(0, 60) << " -> " << answer);
    CHECK(answer != "timeout");
    CHECK(answer.find(" 200 ") == std::string::npos);
  }
  CheckStillServes(cluster);
}

// Someone without a key, with another deployment's key, or with a caller's key
// on an operators' route.
TEST_CASE("wrong and missing keys are refused") {
  Cluster cluster({.entries = 1, .engines = 1, .stores = 0});
  const NetAddress entry = cluster.entry(0).address();
  const std::string body = R"({"model":"assistant","prompt":"x"})";
  for (const std::string& credentials :
       {std::string(), std::string("Bearer "), std::string("Bearer wrong"),
        std::string("Basic ") + kClubKey}) {
    const HttpAnswer answer = PostCompletion(entry, body, credentials);
    CHECK(answer.status == 401);
    CHECK(answer.Json().at("error").at("code") == 101);
  }
  const HttpAnswer state =
      HttpSend(entry, "GET", "/debug/state",
               {.headers = {{"Authorization", kCredentials}}});
  CHECK(state.status == 403);
  CHECK(HttpSend(entry, "GET", "/nowhere").status == 404);
  CheckStillServes(cluster);
}

// Two clubs send the same prompt, even under the same conversation id. If the
// second got the first one's blocks, its first token would tell it that the
// other had asked the same.
TEST_CASE("equal prompts of two client accounts share no cache") {
  Cluster cluster({.entries = 1, .engines = 1, .stores = 1});
  const NetAddress entry = cluster.entry(0).address();
  std::string prompt;
  constexpr std::size_t kPromptBytes = 4000;
  while (prompt.size() < kPromptBytes)
    prompt += "the same words of both clubs; ";
  const CompletionCall call{.prompt = prompt, .conversation = "shared"};
  const auto cached = [&](const char* key) {
    const CompletionOutcome outcome =
        Caller({entry}, key).CompleteAt(entry, call);
    INFO(outcome.error.dump());
    REQUIRE(outcome.whole);
    return outcome.usage.at("prompt_tokens_details")
        .at("cached_tokens")
        .get<Tokens>();
  };
  CHECK(cached(kClubKey) == 0);
  CHECK(cached(kOtherClubKey) == 0);
  CHECK(cached(kClubKey) > 0);
}

// Prompts and keys are secrets of the client accounts; a log line or a dump
// that holds one reaches people who may not read it.
TEST_CASE("no prompt text or key in logs and dumps") {
  Cluster cluster({.entries = 1,
                   .engines = 1,
                   .stores = 0,
                   .entry_flags = {"--log_level=debug"}});
  const std::string marker = "xylophone-secret-prompt";
  const Caller caller(cluster.EntryAddresses(), kClubKey);
  CHECK(
      caller.CompleteAt(cluster.entry(0).address(), {.prompt = marker}).whole);
  const std::string output =
      cluster.entry(0).Output() + cluster.State(0).dump();
  CHECK(output.find(marker) == std::string::npos);
  CHECK(output.find(kClubKey) == std::string::npos);
}

}  // namespace carobshift
