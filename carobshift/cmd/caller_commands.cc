// Subcommands that send requests as a caller: addresses, complete, call,
// outcome.

#include <Poco/URI.h>

#include <iostream>

#include "carobshift/cmd/cli_command.h"
#include "carobshift/cmd/entry_client.h"

namespace carobshift {
namespace {

using Headers = std::vector<std::pair<std::string, std::string>>;

std::string UrlEncoded(const std::string& text) {
  std::string out;
  Poco::URI::encode(text, "&=+?#/", out);
  return out;
}

// Returns nullopt and prints an error if a required flag is missing.
std::optional<EntryClient> OpenEntry(const CliOptions& options) {
  if (!options.entry || options.key.empty()) {
    ReportError(ExitCode::kUsage, "--entry and --key-file are needed");
    return std::nullopt;
  }
  return EntryClient(*options.entry, options.key, options.timeout);
}

Headers HeadersOf(const CliOptions& options) {
  Headers headers;
  if (!options.conversation.empty())
    headers.emplace_back("Carobshift-Conversation", options.conversation);
  if (!options.idempotency_key.empty())
    headers.emplace_back("Idempotency-Key", options.idempotency_key);
  if (!options.key_created.empty())
    headers.emplace_back("Carobshift-Key-Created", options.key_created);
  return headers;
}

ExitCode PrintReply(const EntryReply& reply) {
  if (reply.status != 200)
    return ReportErrorReply(reply);
  std::cout << reply.body << std::endl;
  return ExitCode::kOk;
}

ExitCode Addresses(const CliOptions& options, const std::vector<std::string>&) {
  auto client = OpenEntry(options);
  if (!client)
    return ExitCode::kUsage;
  return PrintReply(
      client->Get("/v1/addresses?service=" + UrlEncoded(options.service) +
                  "&conversation=" + UrlEncoded(options.conversation)));
}

ExitCode Complete(const CliOptions& options,
                  const std::vector<std::string>& operands) {
  auto client = OpenEntry(options);
  if (!client)
    return ExitCode::kUsage;
  if (operands.size() != 1 || options.service.empty())
    return ReportError(ExitCode::kUsage, "expected --service and one PROMPT");
  const nlohmann::json body = {{"model", options.service},
                               {"prompt", operands[0]},
                               {"max_tokens", options.max_tokens}};
  const EntryReply reply =
      client->Post("/v1/completions", body.dump(), HeadersOf(options));
  if (reply.status != 200 || options.json)
    return PrintReply(reply);
  const auto answer = nlohmann::json::parse(reply.body, nullptr, false);
  if (answer.is_discarded())
    return ReportError(ExitCode::kFailed, "the answer is no JSON");
  std::cout << answer["choices"][0].value("text", "") << std::endl;
  return ExitCode::kOk;
}

ExitCode Call(const CliOptions& options,
              const std::vector<std::string>& operands) {
  auto client = OpenEntry(options);
  if (!client)
    return ExitCode::kUsage;
  if (operands.size() != 1 || options.service.empty())
    return ReportError(ExitCode::kUsage, "expected --service and one BODY");
  return PrintReply(
      client->Post("/v1/services/" + UrlEncoded(options.service) + "/call",
                   operands[0], HeadersOf(options)));
}

ExitCode Outcome(const CliOptions& options,
                 const std::vector<std::string>& operands) {
  auto client = OpenEntry(options);
  if (!client)
    return ExitCode::kUsage;
  if (operands.size() != 1)
    return ReportError(ExitCode::kUsage, "expected one KEY");
  return PrintReply(client->Get("/v1/outcomes/" + UrlEncoded(operands[0])));
}

}  // namespace

const std::vector<CliCommand>& CallerCommands() {
  static const std::vector<CliCommand> kCommands = {
      {"addresses", "", "ask which entries to use",
       "carobshift addresses --entry 10.0.0.1:8080 --key-file key", Addresses},
      {"complete", "PROMPT", "send a completion",
       "carobshift complete --service assistant \"Which tee is free?\"",
       Complete},
      {"call", "BODY", "call a plain service",
       "carobshift call --service tee-desk --idempotency-key \"$PREFIX-1\" "
       "'{\"slot\":\"9:40\"}'",
       Call},
      {"outcome", "KEY", "ask what became of a request with a key",
       "carobshift outcome \"$PREFIX-1\"", Outcome}};
  return kCommands;
}

}  // namespace carobshift
