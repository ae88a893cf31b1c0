#include "testing/caller.h"

#include <algorithm>

#include "testing/answer_function.h"
#include "testing/cluster.h"

namespace carobshift {
namespace {

using nlohmann::json;

// Parses the events of one completion stream into an outcome.
class StreamReader {
 public:
  StreamReader(const CompletionCall& call, CompletionOutcome& outcome)
      : call_(call), outcome_(outcome), begin_(MonotonicNow()) {}

  bool OnLine(std::string_view line) {
    constexpr std::string_view kData = "data: ";
    if (!line.starts_with(kData))
      return true;
    const json event = json::parse(line.substr(kData.size()), nullptr, false);
    return !event.is_object() || OnEvent(event);
  }

 private:
  bool OnEvent(const json& event) {
    if (event.contains("error")) {
      outcome_.error = event["error"];
      return true;
    }
    const json& choice = event.at("choices").at(0);
    if (!choice.at("finish_reason").is_null()) {
      outcome_.usage = event.at("usage");
      outcome_.version = event.at("weight_version").get<std::string>();
      return true;
    }
    outcome_.request_id = event.value("id", "");
    if (outcome_.tokens == 0)
      outcome_.first_token = MonotonicNow() - begin_;
    ++outcome_.tokens;
    outcome_.text += choice.at("text").get<std::string>();
    return !call_.on_token || call_.on_token(outcome_.tokens);
  }

  const CompletionCall& call_;
  CompletionOutcome& outcome_;
  const MonotonicTime begin_;
};

void CheckText(const CompletionCall& call,
               const std::vector<std::string>& versions,
               CompletionOutcome& outcome) {
  const auto matches = [&](const std::string& version) {
    const AnswerFunction answer(call.prompt, kModel, version, "");
    return answer.Text(call.max_tokens).starts_with(outcome.text);
  };
  outcome.wrong = std::none_of(versions.begin(), versions.end(), matches);
  if (outcome.version.empty())
    return;
  const AnswerFunction answer(call.prompt, kModel, outcome.version, "");
  outcome.complete = outcome.text == answer.Text(call.max_tokens) &&
                     outcome.usage.at("completion_tokens") == outcome.tokens;
  outcome.wrong = outcome.wrong || !outcome.complete;
}

}  // namespace

Caller::Caller(std::vector<NetAddress> entries,
               std::string key,
               std::vector<std::string> versions)
    : entries_(std::move(entries)),
      key_(std::move(key)),
      versions_(std::move(versions)) {}

std::vector<std::pair<std::string, std::string>> Caller::Headers() const {
  return {{"Authorization", "Bearer " + key_}};
}

std::vector<NetAddress> Caller::FetchAddresses(
    const std::string& conversation) {
  for (const NetAddress& entry : entries_) {
    const json body =
        HttpSend(entry, "GET",
                 "/v1/addresses?service=" + std::string(kModelService) +
                     "&conversation=" + conversation,
                 {.headers = Headers(), .timeout = Milliseconds(1000)})
            .Json();
    if (!body.is_object() || !body.contains("addresses"))
      continue;
    std::vector<NetAddress> addresses;
    for (const json& row : body["addresses"]) {
      const auto address =
          ParseNetAddress(row.at("address").get<std::string>());
      if (address)
        addresses.push_back(*address);
    }
    key_prefix_ = body.value("key_prefix", "");
    return addresses;
  }
  return {};
}

CompletionOutcome Caller::Complete(const CompletionCall& call) {
  const std::vector<NetAddress> addresses = FetchAddresses(call.conversation);
  return addresses.empty() ? CompletionOutcome{}
                           : CompleteAt(addresses.front(), call);
}

CompletionOutcome Caller::CompleteAt(const NetAddress& entry,
                                     const CompletionCall& call) const {
  CompletionOutcome outcome;
  StreamReader reader(call, outcome);
  HttpSendOptions options;
  options.body = json{
      {"model", kModelService},
      {"prompt", call.prompt},
      {"max_tokens", call.max_tokens},
      {"stream",
       true}}.dump();
  options.headers = Headers();
  if (!call.conversation.empty())
    options.headers.emplace_back("Carobshift-Conversation", call.conversation);
  options.headers.insert(options.headers.end(), call.headers.begin(),
                         call.headers.end());
  options.timeout = call.timeout;
  options.on_line = [&](std::string_view line) { return reader.OnLine(line); };
  const HttpAnswer answer = HttpSend(entry, "POST", "/v1/completions", options);
  outcome.status = answer.status;
  outcome.connection_failed = !answer.failure.empty();
  const json body = answer.Json();
  if (body.is_object() && body.contains("error"))
    outcome.error = body["error"];
  CheckText(call, versions_, outcome);
  return outcome;
}

BookingOutcome Caller::BookAt(const NetAddress& entry,
                              const std::string& body,
                              const std::string& idempotency_key,
                              Milliseconds timeout) const {
  HttpSendOptions options;
  options.body = body;
  options.headers = Headers();
  if (!idempotency_key.empty())
    options.headers.emplace_back("Idempotency-Key", idempotency_key);
  options.timeout = timeout;
  const HttpAnswer answer =
      HttpSend(entry, "POST",
               "/v1/services/" + std::string(kPlainService) + "/call", options);
  BookingOutcome outcome;
  outcome.status = answer.status;
  outcome.body = answer.body;
  const json parsed = answer.Json();
  if (parsed.is_object() && parsed.contains("error")) {
    outcome.error = parsed["error"];
    outcome.run_state = outcome.error.value("state", "");
  }
  return outcome;
}

}  // namespace carobshift
