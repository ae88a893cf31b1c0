// Guards against an entry that crashes, hangs or stays unclear when a request
// is malformed, too large or unauthorized: each gets a typed error, and the
// process keeps serving.

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

const std::string kCredentials = "Bearer " + std::string(kAccountKey);

HttpAnswer PostCompletion(const NetAddress& entry,
                          const std::string& body,
                          const std::string& credentials = kCredentials) {
  return HttpSend(entry, "POST", "/v1/completions",
                  {.body = body, .headers = {{"Authorization", credentials}}});
}

// Sends bytes that are not valid HTTP. Returns the first part of the response,
// an empty string if the connection was closed, or "timeout" after 15 s without
// a response.
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
  const Caller caller(cluster.EntryAddresses(), kAccountKey);
  const CompletionOutcome outcome =
      caller.CompleteAt(cluster.entry(0).address(), {.prompt = "still there"});
  INFO(outcome.error.dump());
  CHECK(outcome.complete);
  CHECK(cluster.entry(0).running());
}

}  // namespace

// Guards against a response without a result code to a request from a broken or
// hostile client: the caller could not tell whether its request ran.
TEST_CASE("malformed and oversized requests get typed errors") {
  Cluster cluster({.entries = 1,
                   .engines = 1,
                   .stores = 0,
                   .entry_flags = {"--max_body_bytes=20000"}});
  const NetAddress entry = cluster.entry(0).address();
  const std::string deeply_nested(15000, '[');
  const std::array<std::pair<std::string, int>, 9> bodies = {{
      {"", 100},
      {"{", 100},
      {"[]", 100},
      {deeply_nested, 100},
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
      // The body is shorter than the Content-Length; the read timeout ends the
      // request.
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

// Guards against access without a key, with an invalid key, or with a client
// account key on an operator route.
TEST_CASE("wrong and missing keys are refused") {
  Cluster cluster({.entries = 1, .engines = 1, .stores = 0});
  const NetAddress entry = cluster.entry(0).address();
  const std::string body = R"({"model":"assistant","prompt":"x"})";
  for (const std::string& credentials :
       {std::string(), std::string("Bearer "), std::string("Bearer wrong"),
        std::string("Basic ") + kAccountKey}) {
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

// Guards against a cache side channel: two client accounts send the same prompt
// under the same conversation id. If they shared blocks, a short time to first
// token would reveal to one account that the other sent the same prompt.
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
    REQUIRE(outcome.complete);
    return outcome.usage.at("prompt_tokens_details")
        .at("cached_tokens")
        .get<Tokens>();
  };
  CHECK(cached(kAccountKey) == 0);
  CHECK(cached(kOtherAccountKey) == 0);
  CHECK(cached(kAccountKey) > 0);
}

// Prompts and keys are secrets of the client accounts. Guards against a log
// line or a state dump that exposes one to people who may not read it.
TEST_CASE("no prompt text or key in logs and dumps") {
  Cluster cluster({.entries = 1,
                   .engines = 1,
                   .stores = 0,
                   .entry_flags = {"--log_level=debug"}});
  const std::string marker = "xylophone-secret-prompt";
  const Caller caller(cluster.EntryAddresses(), kAccountKey);
  CHECK(caller.CompleteAt(cluster.entry(0).address(), {.prompt = marker})
            .complete);
  const std::string output =
      cluster.entry(0).Output() + cluster.State(0).dump();
  CHECK(output.find(marker) == std::string::npos);
  CHECK(output.find(kAccountKey) == std::string::npos);
}

}  // namespace carobshift
