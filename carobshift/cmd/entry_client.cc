#include "carobshift/cmd/entry_client.h"

#include <Poco/Exception.h>

#include <utility>

#include "carobshift/cmd/cli_command.h"
#include "carobshift/net/blocking_http_call.h"

namespace carobshift {
namespace {

constexpr std::size_t kMaxReplyBytes = std::size_t{256} << 20;

}  // namespace

EntryClient::EntryClient(NetAddress address,
                         std::string bearer_key,
                         Milliseconds timeout)
    : address_(std::move(address)),
      bearer_key_(std::move(bearer_key)),
      timeout_(timeout) {}

EntryReply EntryClient::Get(const std::string& path) {
  return Send("GET", path, "", {});
}

EntryReply EntryClient::Post(
    const std::string& path,
    const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& headers) {
  return Send("POST", path, body, headers);
}

Result<nlohmann::json> EntryClient::FetchJson(const std::string& path) {
  const EntryReply reply = Get(path);
  if (reply.status == 0) {
    return Error{ResultCode::kPeerUnreachable,
                 "no answer from " + address_.ToString()};
  }
  auto parsed = nlohmann::json::parse(reply.body, nullptr, false);
  if (reply.status != 200 || parsed.is_discarded()) {
    return Error{ResultCode::kPeerRejected, address_.ToString() + " answered " +
                                                std::to_string(reply.status) +
                                                ": " + reply.body};
  }
  return parsed;
}

EntryReply EntryClient::Send(
    const std::string& method,
    const std::string& path,
    const std::string& body,
    const std::vector<std::pair<std::string, std::string>>& headers) {
  HttpHead request;
  request.method = method;
  request.target = path;
  request.Set("Authorization", "Bearer " + bearer_key_);
  for (const auto& [name, value] : headers)
    request.Set(name, value);
  request.Set("Content-Type", "application/json");
  try {
    BlockingHttpReply reply = FetchBlocking(address_, std::move(request), body,
                                            timeout_, kMaxReplyBytes);
    return {reply.head.status, std::move(reply.body)};
  } catch (const Poco::Exception&) {
    return {};
  }
}

ExitCode ReportErrorReply(const EntryReply& reply) {
  if (reply.status == 0)
    return ReportError(ExitCode::kUnreachable, "no whole answer");
  const auto body = nlohmann::json::parse(reply.body, nullptr, false);
  if (body.is_discarded() || !body.contains("error"))
    return ReportError(ExitCode::kFailed, reply.body);
  const nlohmann::json& error = body["error"];
  const std::string state = error.value("state", "outcome_unknown");
  std::string message = std::to_string(error.value("code", 0)) + " " +
                        error.value("name", "") + " (" + state +
                        "): " + error.value("message", "");
  if (error.contains("retry_after_ms")) {
    message += "; come back in " +
               std::to_string(error.value("retry_after_ms", 0)) + " ms";
  }
  return ReportError(
      state == "not_run" ? ExitCode::kNotRun : ExitCode::kOutcomeUnknown,
      message);
}

}  // namespace carobshift
