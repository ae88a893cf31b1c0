#include "testing/endless_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string_view>

namespace carobshift {
namespace {

constexpr std::size_t kListBytes = (std::size_t{8} << 20) - 256;
constexpr std::size_t kEventBytes = (std::size_t{2} << 20) - 256;
constexpr std::size_t kPieceBytes = std::size_t{64} << 10;
constexpr std::string_view kOk =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";

bool IsSlow(EndlessForm form) {
  return form == EndlessForm::kSlowBody || form == EndlessForm::kSlowHead;
}

// Returns a reply whose body is `row` over and over between `begin` and `end`.
std::string ReplyOfRows(std::size_t size,
                        std::string_view begin,
                        std::string_view row,
                        std::string_view end) {
  std::string body(begin);
  body.reserve(size);
  while (body.size() + row.size() + end.size() + 1 < size) {
    body += row;
    body += ',';
  }
  body.back() = ' ';
  body += end;
  std::string reply(kOk);
  reply += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return reply + body;
}

std::string ReplyOf(EndlessForm form) {
  switch (form) {
    case EndlessForm::kBody:
    case EndlessForm::kSlowBody:
      return std::string(kOk) + "\r\n[";
    case EndlessForm::kHead:
    case EndlessForm::kSlowHead:
      return std::string(kOk) + "X-Fill: ";
    case EndlessForm::kList:
      return ReplyOfRows(kListBytes, "[", "[0]", "]");
    case EndlessForm::kEvents:
    case EndlessForm::kLongEvents:
      // Each row is as long as those of an endpoint in order.
      return ReplyOfRows(
          form == EndlessForm::kEvents ? kListBytes : kEventBytes,
          R"({"epoch":1,"next_page_token":9,"lost":false,"events":[)",
          R"([119,"+","s1","5c1e07a2",800,"daka510000"])", "]}");
    case EndlessForm::kUnread:
      break;
    case EndlessForm::kUnsolicited:
      return std::string(kOk) + "Content-Length: 2\r\n\r\n{}";
  }
  return {};
}

// Returns what makes a connection due to be read.
short ReadEvents(EndlessForm form) {
  return form == EndlessForm::kUnread ? 0 : POLLIN;
}

bool IsComplete(EndlessForm form) {
  return form == EndlessForm::kList || form == EndlessForm::kEvents ||
         form == EndlessForm::kLongEvents;
}

}  // namespace

EndlessServer::EndlessServer(EndlessForm form, int listeners)
    : form_(form),
      reply_(ReplyOf(form)),
      rest_(kPieceBytes, '0'),
      piece_(IsSlow(form) ? 1 : kPieceBytes) {
  for (int i = 0; i < listeners; ++i)
    Listen();
  thread_ = std::thread([this] { Run(); });
}

EndlessServer::~EndlessServer() {
  stopped_ = true;
  thread_.join();
  for (const int listener : listeners_)
    close(listener);
  for (const Connection& connection : connections_)
    close(connection.socket);
}

void EndlessServer::Listen() {
  const int listener =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* const any = reinterpret_cast<sockaddr*>(&address);
  constexpr int kBacklog = 64;
  if (listener < 0 || bind(listener, any, size) != 0 ||
      listen(listener, kBacklog) != 0 || getsockname(listener, any, &size) != 0)
    throw std::runtime_error("can't listen on loopback");
  listeners_.push_back(listener);
  addresses_.push_back({"127.0.0.1", ntohs(address.sin_port)});
}

void EndlessServer::Run() {
  constexpr int kMaxWaitMs = 20;
  // A second is the time in which callers of other parties give up silence.
  constexpr int kSlowWaitMs = 1000;
  int waited_ms = 0;
  while (!stopped_) {
    std::vector<pollfd> polled;
    for (const int listener : listeners_)
      polled.push_back({listener, POLLIN, 0});
    for (const Connection& connection : connections_) {
      const bool writes = connection.answering && !IsSlow(form_);
      polled.push_back(
          {connection.socket,
           static_cast<short>(ReadEvents(form_) | (writes ? POLLOUT : 0)), 0});
    }
    (void)poll(polled.data(), polled.size(), kMaxWaitMs);
    const std::size_t known = connections_.size();
    for (std::size_t i = 0; i < listeners_.size(); ++i) {
      if (polled[i].revents != 0)
        Accept(listeners_[i]);
    }
    waited_ms += kMaxWaitMs;
    const bool slow_turn = IsSlow(form_) && waited_ms >= kSlowWaitMs;
    if (slow_turn)
      waited_ms = 0;
    for (std::size_t i = 0; i < known; ++i) {
      Connection& connection = connections_[i];
      const short events = polled[listeners_.size() + i].revents;
      if ((events & (POLLIN | POLLERR | POLLHUP)) != 0)
        Receive(connection);
      const bool due = (events & POLLOUT) != 0 || slow_turn;
      if (due && connection.answering && !connection.closed)
        Send(connection);
    }
    std::erase_if(connections_, [](const Connection& connection) {
      if (connection.closed)
        close(connection.socket);
      return connection.closed;
    });
  }
}

void EndlessServer::Accept(int listener) {
  for (;;) {
    const int socket =
        accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0)
      return;
    connections_.push_back({.socket = socket});
  }
}

void EndlessServer::Receive(Connection& connection) {
  std::array<char, 4096> buffer{};
  const ssize_t size = recv(connection.socket, buffer.data(), buffer.size(), 0);
  if (size <= 0) {
    connection.closed = size == 0 || errno != EAGAIN;
    return;
  }
  if (connection.answering)
    return;
  ++questions_;
  connection.answering = true;
  connection.sent = 0;
}

void EndlessServer::Send(Connection& connection) {
  std::string_view bytes = std::string_view(rest_).substr(0, piece_);
  if (connection.sent < reply_.size())
    bytes = std::string_view(reply_).substr(connection.sent);
  const ssize_t size = send(connection.socket, bytes.data(),
                            std::min(bytes.size(), kPieceBytes), MSG_NOSIGNAL);
  if (size <= 0) {
    connection.closed = errno != EAGAIN;
    return;
  }
  bytes_sent_ += static_cast<std::uint64_t>(size);
  connection.sent += static_cast<std::size_t>(size);
  if (IsComplete(form_) && connection.sent >= reply_.size())
    connection.answering = false;
}

}  // namespace carobshift
