#include "testing/http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>
#include <Poco/Timespan.h>

#include <istream>
#include <iterator>

namespace carobshift {
namespace {

void ReadLines(std::istream& in,
               const std::function<bool(std::string_view)>& on_line) {
  std::string line;
  while (std::getline(in, line)) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    if (!on_line(line))
      return;
  }
}

bool ClosedByPeer(Poco::Net::HTTPClientSession& session) {
  Poco::Net::StreamSocket socket = session.socket();
  return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) &&
         socket.available() == 0;
}

void Exchange(Poco::Net::HTTPClientSession& session,
              const std::string& method,
              const std::string& path,
              const HttpSendOptions& options,
              HttpAnswer& answer) {
  Poco::Net::HTTPRequest request(method, path,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  if (method != "GET" || !options.body.empty()) {
    request.setContentLength64(static_cast<Poco::Int64>(options.body.size()));
    request.setContentType(options.content_type);
  }
  for (const auto& [name, value] : options.headers)
    request.set(name, value);
  session.sendRequest(request) << options.body << std::flush;
  Poco::Net::HTTPResponse response;
  std::istream& in = session.receiveResponse(response);
  answer.status = response.getStatus();
  for (const auto& [name, value] : response)
    answer.headers.emplace_back(name, value);
  const bool is_stream =
      response.getContentType().starts_with("text/event-stream");
  if (options.on_line && is_stream)
    ReadLines(in, options.on_line);
  else
    answer.body.assign(std::istreambuf_iterator<char>(in), {});
  if (session.networkException() != nullptr)
    answer.failure = session.networkException()->displayText();
  answer.closed_by_peer = ClosedByPeer(session);
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
    Poco::Net::HTTPClientSession session(address.host, address.port);
    const Poco::Timespan timeout(Microseconds(options.timeout).count());
    session.setTimeout(timeout, timeout, timeout);
    Exchange(session, method, path, options, answer);
  } catch (const Poco::Exception& error) {
    answer.failure = error.displayText();
  }
  return answer;
}

}  // namespace carobshift
