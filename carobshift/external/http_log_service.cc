#include "carobshift/external/http_log_service.h"

#include <Poco/Base64Decoder.h>
#include <Poco/URI.h>

#include <iterator>
#include <sstream>
#include <string>
#include <utility>

#include "carobshift/external/internal/http_exchange.h"
#include "carobshift/external/internal/http_json.h"

namespace carobshift {
namespace {

constexpr FailureCodes kAppendFailures = {
    .not_sent = ResultCode::kLogUnavailable,
    .timed_out = ResultCode::kLogOutcomeUnknown,
    .broken = ResultCode::kLogOutcomeUnknown,
    .refused = ResultCode::kLogUnavailable,
};
constexpr FailureCodes kReadFailures = {
    .not_sent = ResultCode::kLogUnavailable,
    .timed_out = ResultCode::kLogUnavailable,
    .broken = ResultCode::kLogUnavailable,
    .refused = ResultCode::kLogUnavailable,
};

std::string RecordsPath(const LogStream& stream) {
  std::string name;
  Poco::URI::encode(stream.value(), "/?&=#", name);
  return "/streams/" + name + "/records";
}

std::string FromBase64(const std::string& text) {
  std::istringstream in(text);
  Poco::Base64Decoder decoder(in);
  return {std::istreambuf_iterator<char>(decoder), {}};
}

LogBatch BatchFromJson(const nlohmann::json& json) {
  LogBatch batch;
  batch.first_retained =
      LogOffset(json.at("first_retained").get<std::uint64_t>());
  batch.next = LogOffset(json.at("next").get<std::uint64_t>());
  for (const nlohmann::json& record : json.at("records")) {
    batch.records.push_back(
        {LogOffset(record.at("offset").get<std::uint64_t>()),
         FromBase64(record.at("payload").get<std::string>())});
  }
  return batch;
}

}  // namespace

HttpLogService::HttpLogService(NetAddress address, const HttpOptions& options)
    : address_(std::move(address)),
      http_(std::make_unique<HttpExchange>(options)) {}
HttpLogService::~HttpLogService() = default;

Result<LogOffset> HttpLogService::Append(const LogStream& stream,
                                         std::string_view payload) {
  HttpCall call;
  call.peer = address_;
  call.method = "POST";
  call.path = RecordsPath(stream);
  call.body = payload;
  call.content_type = "application/octet-stream";
  call.progress_timeout = http_->options().request_timeout;
  call.total_timeout = http_->options().request_timeout;
  // A record must not be appended twice, and an unknown outcome has to be
  // resolved by reading the log. A new connection makes unknown outcomes rarer.
  call.new_connection = true;
  const Result<nlohmann::json> answer =
      JsonAnswer(http_->Run(call), kAppendFailures);
  if (!answer.ok())
    return answer.error();
  try {
    return LogOffset(answer.value().at("offset").get<std::uint64_t>());
  } catch (const nlohmann::json::exception& error) {
    return Error{ResultCode::kLogOutcomeUnknown, error.what()};
  }
}

Result<LogBatch> HttpLogService::Read(const LogStream& stream,
                                      LogOffset from,
                                      std::size_t max_records,
                                      Milliseconds wait) {
  HttpCall call;
  call.peer = address_;
  call.path = RecordsPath(stream) + "?from=" + std::to_string(from.value()) +
              "&max=" + std::to_string(max_records) +
              "&wait_ms=" + std::to_string(wait.count());
  call.progress_timeout = http_->options().request_timeout + wait;
  call.total_timeout = call.progress_timeout;
  const Result<nlohmann::json> answer =
      JsonAnswer(http_->Run(call), kReadFailures);
  if (!answer.ok())
    return answer.error();
  try {
    return BatchFromJson(answer.value());
  } catch (const std::exception& error) {
    return Error{ResultCode::kLogUnavailable, error.what()};
  }
}

}  // namespace carobshift
