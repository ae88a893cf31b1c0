#include "testing/standin_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/Timespan.h>
#include <Poco/URI.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace carobshift {
namespace {

using nlohmann::json;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int kMaxConnections = 3000;
constexpr int kStackBytes = 256 * 1024;
constexpr Milliseconds kFaultPollInterval{20};

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> parts;
  Poco::URI(path).getPathSegments(parts);
  return parts;
}

Poco::Net::StreamSocket& SocketOf(HTTPServerRequest& request) {
  return static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
}

class Handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit Handler(StandinServer& server) : server_(server) {}
  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    StandinExchange exchange(request, response);
    server_.Serve(exchange);
  }

 private:
  StandinServer& server_;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit HandlerFactory(StandinServer& server) : server_(server) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const HTTPServerRequest&) override {
    return new Handler(server_);
  }

 private:
  StandinServer& server_;
};

}  // namespace

void Faults::Merge(const json& changes) {
  const std::lock_guard lock(mutex_);
  values_.merge_patch(changes);
}

json Faults::All() const {
  const std::lock_guard lock(mutex_);
  return values_;
}

std::int64_t Faults::Number(const std::string& name,
                            std::int64_t fallback) const {
  const std::lock_guard lock(mutex_);
  return values_.value(name, fallback);
}

std::string Faults::Text(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  return values_.value(name, "");
}

bool Faults::Flag(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  return values_.value(name, false);
}

bool Faults::ConsumeOne(const std::string& name) {
  const std::lock_guard lock(mutex_);
  const std::int64_t left = values_.value(name, std::int64_t{0});
  if (left <= 0)
    return false;
  values_[name] = left - 1;
  return true;
}

json Faults::Take(const std::string& name) {
  const std::lock_guard lock(mutex_);
  json value = values_.value(name, json());
  values_.erase(name);
  return value;
}

StandinExchange::StandinExchange(HTTPServerRequest& request,
                                 HTTPServerResponse& response)
    : request_(request),
      response_(response),
      method_(request.getMethod()),
      path_(SplitPath(request.getURI())) {
  for (auto& [name, value] : Poco::URI(request.getURI()).getQueryParameters())
    query_[name] = value;
  Poco::StreamCopier::copyToString(request.stream(), body_);
}

std::string StandinExchange::Query(const std::string& name) const {
  const auto found = query_.find(name);
  return found == query_.end() ? "" : found->second;
}

std::uint64_t StandinExchange::QueryNumber(const std::string& name) const {
  return std::strtoull(Query(name).c_str(), nullptr, 10);
}

std::string StandinExchange::Header(const std::string& name) const {
  return request_.get(name, "");
}

json StandinExchange::Json() const {
  return json::parse(body_);
}

void StandinExchange::Reply(const json& body) {
  ReplyRaw(HTTPServerResponse::HTTP_OK, "application/json", body.dump());
}

void StandinExchange::ReplyRaw(int status,
                               std::string_view type,
                               std::string_view body) {
  if (drop_reply_)
    return CloseConnection();
  response_.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(status));
  response_.setContentType(std::string(type));
  if (ends_with_connection_)
    response_.send().write(body.data(),
                           static_cast<std::streamsize>(body.size()));
  else
    response_.sendBuffer(body.data(), body.size());
}

void StandinExchange::ReplyError(ResultCode code, std::string_view message) {
  const json body = {
      {"error", {{"type", ResultCodeName(code)}, {"message", message}}}};
  ReplyRaw(HttpStatusOf(code), "application/json", body.dump());
}

void StandinExchange::SetHeader(const std::string& name,
                                const std::string& value) {
  response_.set(name, value);
}

void StandinExchange::SendRaw(std::string_view bytes) {
  SocketOf(request_).sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

std::string StandinExchange::PeerAddress() const {
  return request_.clientAddress().toString();
}

void StandinExchange::EndWithConnection() {
  ends_with_connection_ = true;
  response_.setKeepAlive(false);
}

void StandinExchange::BeginStream(std::string_view type) {
  response_.setContentType(std::string(type));
  response_.setChunkedTransferEncoding(!ends_with_connection_);
  stream_ = &response_.send();
}

bool StandinExchange::SendChunk(std::string_view chunk) {
  stream_->write(chunk.data(), static_cast<std::streamsize>(chunk.size()));
  stream_->flush();
  return stream_->good();
}

bool StandinExchange::SendEvent(const json& event) {
  return SendChunk("data: " + event.dump() + "\n\n");
}

bool StandinExchange::PeerClosed() const {
  Poco::Net::StreamSocket& socket = SocketOf(request_);
  return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) &&
         socket.available() == 0;
}

void StandinExchange::CloseConnection() {
  SocketOf(request_).shutdown();
  response_.setKeepAlive(false);
}

void StandinExchange::ResetConnection() {
  SocketOf(request_).setLinger(true, 0);
  SocketOf(request_).close();
  response_.setKeepAlive(false);
}

cxxopts::Options StandinOptions(const std::string& name) {
  cxxopts::Options options(name);
  options.add_options()(
      "listen", "HOST:PORT",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
  return options;
}

void StandinServer::Route(std::string method,
                          std::string pattern,
                          StandinHandler handler) {
  routes_.push_back(
      {std::move(method), SplitPath(pattern), std::move(handler)});
}

int StandinServer::Run(const std::string& listen) {
  sigset_t stop;
  sigemptyset(&stop);
  sigaddset(&stop, SIGTERM);
  sigaddset(&stop, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Poco::ThreadPool threads(2, kMaxConnections, 60, kStackBytes);
  Poco::AutoPtr<Poco::Net::HTTPServerParams> params(
      new Poco::Net::HTTPServerParams);
  params->setMaxThreads(kMaxConnections);
  params->setMaxQueued(kMaxConnections);
  params->setKeepAliveTimeout(Poco::Timespan(30, 0));
  params->setMaxKeepAliveRequests(0);
  Poco::Net::SocketAddress address(listen);
  // Servers of earlier lives may have threads that are about to end.
  std::vector<std::unique_ptr<Poco::Net::HTTPServer>> servers;
  while (true) {
    Poco::Net::ServerSocket socket;
    socket.bind(address, true, false);
    socket.listen(1024);
    servers.push_back(std::make_unique<Poco::Net::HTTPServer>(
        new HandlerFactory(*this), threads, socket, params));
    servers.back()->start();
    if (servers.size() == 1)
      std::cout << "listening " << socket.address().toString() << std::endl;
    address = socket.address();
    if (WaitForStop(stop))
      // Open streams are cut off; a stand-in has no state to save.
      std::_Exit(0);
    socket.close();
    servers.back()->stopAll(/*abortCurrent=*/true);
    std::this_thread::sleep_for(Milliseconds(down_ms_.load()));
    crashed_ = false;
  }
}

bool StandinServer::WaitForStop(const sigset_t& stop) const {
  constexpr timespec kPollInterval{.tv_sec = 0, .tv_nsec = 5'000'000};
  while (!crashed_) {
    if (sigtimedwait(&stop, nullptr, &kPollInterval) > 0)
      return true;
  }
  return false;
}

void StandinServer::Crash(Milliseconds down) {
  down_ms_ = down.count();
  crashed_ = true;
}

void StandinServer::Serve(StandinExchange& exchange) {
  try {
    if (exchange.path() == std::vector<std::string>{"faults"}) {
      if (exchange.method() == "POST")
        faults_.Merge(exchange.Json());
      exchange.Reply(faults_.All());
    } else if (ApplyFaults(exchange)) {
      Dispatch(exchange);
    }
  } catch (const json::exception& error) {
    exchange.ReplyError(ResultCode::kMalformedRequest, error.what());
  } catch (const std::exception& error) {
    std::cerr << "request failed: " << error.what() << std::endl;
  }
}

bool StandinServer::ApplyFaults(StandinExchange& exchange) {
  if (faults_.Flag("silent")) {
    while (faults_.Flag("silent") && !exchange.PeerClosed())
      std::this_thread::sleep_for(kFaultPollInterval);
    exchange.CloseConnection();
    return false;
  }
  std::this_thread::sleep_for(Milliseconds(faults_.Number("delay_ms")));
  if (const auto status = faults_.Number("fail_status"); status != 0) {
    exchange.ReplyRaw(static_cast<int>(status), "text/plain", "fault");
    return false;
  }
  if (exchange.method() != "GET" && faults_.ConsumeOne("lose_replies"))
    exchange.DropReply();
  return true;
}

void StandinServer::Dispatch(StandinExchange& exchange) {
  for (const RouteEntry& route : routes_) {
    if (route.method != exchange.method() ||
        route.pattern.size() != exchange.path().size())
      continue;
    bool match = true;
    for (std::size_t i = 0; i < route.pattern.size(); ++i) {
      match = match && (route.pattern[i] == "*" ||
                        route.pattern[i] == exchange.path()[i]);
    }
    if (match)
      return route.handler(exchange);
  }
  exchange.ReplyRaw(HTTPServerResponse::HTTP_NOT_FOUND, "text/plain",
                    "no such route");
}

bool RateLimiter::Acquire(double units, Milliseconds max_wait) {
  MonotonicTime until;
  {
    const std::lock_guard lock(mutex_);
    if (rate_ <= 0)
      return true;
    const MonotonicTime now = MonotonicNow();
    constexpr double kMicrosecondsPerSecond = 1e6;
    const auto start = std::max(now, next_free_);
    until = start + Microseconds(static_cast<std::int64_t>(
                        units / rate_ * kMicrosecondsPerSecond));
    if (until - now > max_wait)
      return false;
    next_free_ = until;
  }
  std::this_thread::sleep_until(until);
  return true;
}

void RateLimiter::set_rate(double units_per_second) {
  const std::lock_guard lock(mutex_);
  rate_ = units_per_second;
}

}  // namespace carobshift
