#include "testing/http_client.h"

#include <Poco/Exception.h>
#include <Poco/String.h>

#include <utility>

#include "carobshift/net/blocking_http_call.h"
#include "carobshift/net/http_message.h"
#include "carobshift/net/line_splitter.h"

namespace carobshift {
namespace {

std::string SerializeCall(const NetAddress& address,
                          const std::string& method,
                          const std::string& path,
                          const HttpSendOptions& options) {
  HttpHead head;
  head.method = method;
  head.target = path;
  head.Set("Host", address.ToString());
  head.Set("Connection", "Close");
  if (method != "GET" || !options.body.empty()) {
    head.Set("Content-Length", std::to_string(options.body.size()));
    head.Set("Content-Type", options.content_type);
  }
  for (const auto& [name, value] : options.headers)
    head.Set(name, value);
  return SerializeRequestHead(head) + options.body;
}

void ReadLines(BlockingHttpCall& call,
               const std::function<bool(std::string_view)>& on_line) {
  LineSplitter lines(on_line);
  std::string piece;
  while (call.ReadBody(piece)) {
    if (lines.Feed(std::exchange(piece, {})) != LineSplitter::State::kOpen)
      return;
  }
  lines.FeedEnd();
}

void Exchange(BlockingHttpCall& call,
              const HttpSendOptions& options,
              HttpAnswer& answer) {
  const HttpHead& head = call.ReadHead();
  answer.status = head.status;
  for (const HttpField& field : head.fields)
    answer.headers.emplace_back(field.name, field.value);
  const bool is_stream =
      answer.Header("Content-Type").starts_with("text/event-stream");
  if (options.on_line && is_stream) {
    ReadLines(call, options.on_line);
    return;
  }
  while (call.ReadBody(answer.body)) {
  }
}

}  // namespace

std::string HttpAnswer::Header(std::string_view name) const {
  for (const auto& [known, value] : headers) {
    if (Poco::icompare(known, std::string(name)) == 0)
      return value;
  }
  return "";
}

nlohmann::json HttpAnswer::Json() const {
  return nlohmann::json::parse(body, nullptr, false);
}

HttpAnswer HttpSend(const NetAddress& address,
                    const std::string& method,
                    const std::string& path,
                    const HttpSendOptions& options) {
  HttpAnswer answer;
  try {
    Poco::Net::StreamSocket socket =
        ConnectBlocking(address, options.timeout, options.timeout);
    BlockingHttpCall call(socket, method == "HEAD"
                                      ? BlockingHttpCall::Method::kHead
                                      : BlockingHttpCall::Method::kOther);
    call.Send(SerializeCall(address, method, path, options));
    Exchange(call, options, answer);
  } catch (const Poco::Exception& error) {
    answer.failure = error.displayText();
  }
  return answer;
}

}  // namespace carobshift
