// For tests: replies of all framings, and a server that ends its connection
// within one.
//
//   CutReplyServer server;
//   for (const ReplyForm& form : ReplyForms()) {
//     server.Script({.cut = form.bytes.substr(0, 20)});
//     // ... call server.address(): the reply breaks off after 20 bytes ...
//   }

#ifndef CAROBSHIFT_NET_CUT_REPLIES_H_
#define CAROBSHIFT_NET_CUT_REPLIES_H_

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "carobshift/base/net_address.h"

namespace carobshift {

// A reply with status 200.
struct ReplyForm {
  std::string name;
  std::string bytes;
  std::string body;
  // Size of the head, with interim replies before it.
  std::size_t head_size = 0;
  // The body has neither a length nor chunks. Its end can't be told from a
  // connection that is closed within it.
  bool ends_with_connection = false;

  // Whether a reader can take the first `size` bytes for a complete reply if
  // the connection is closed, or reset, behind them.
  [[nodiscard]] bool MayBeComplete(std::size_t size, bool reset) const {
    if (ends_with_connection)
      return !reset && size >= head_size;
    return size == bytes.size();
  }
  // The body that the first `size` bytes contain, for a body up to the end of
  // the connection.
  [[nodiscard]] std::string BodyWithin(std::size_t size) const {
    return ends_with_connection ? bytes.substr(head_size, size - head_size)
                                : body;
  }
};

[[nodiscard]] inline std::vector<ReplyForm> ReplyForms() {
  const std::string interim =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
      "a\r\n\r\n";
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
  const std::string length = head + "Content-Length: 12\r\n\r\n";
  const std::string chunked =
      head + "Transfer-Encoding: chunked\r\nX-Note: a, b\r\n\r\n";
  const std::string close = head + "Connection: close\r\n\r\n";
  const std::string body = "{\"a\": [1,2]}";
  const std::string chunks = "5;x=y\r\n{\"a\":\r\n7\r\n [1,2]}\r\n0\r\n";
  return {
      {"length", length + body, body, length.size()},
      {"length, after interim replies", interim + length + body, body,
       interim.size() + length.size()},
      {"chunks", chunked + chunks + "\r\n", body, chunked.size()},
      {"chunks with trailers",
       chunked + chunks + "X-Sum: 1\r\nX-Other: 2\r\n\r\n", body,
       chunked.size()},
      {"chunks, after interim replies", interim + chunked + chunks + "\r\n",
       body, interim.size() + chunked.size()},
      {"until the close", close + body, body, close.size(), true},
      {"until the close, after interim replies", interim + close + body, body,
       interim.size() + close.size(), true},
  };
}

// A server on loopback that answers requests without a body. It serves one
// connection at a time.
class CutReplyServer {
 public:
  // What the next connection gets.
  struct Connection {
    // The answer to the first request, if the cut reply is to come on a kept
    // connection.
    std::string first{};
    // The answer to the last request, after which the connection ends.
    std::string cut;
    bool reset = false;
  };
  static constexpr std::string_view kFirstReply =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  CutReplyServer()
      : listener_(Poco::Net::SocketAddress("127.0.0.1", 0)),
        thread_([this](const std::stop_token& stop) { Serve(stop); }) {}

  [[nodiscard]] NetAddress address() const {
    return {"127.0.0.1", listener_.address().port()};
  }
  void Script(Connection connection) {
    const std::lock_guard lock(mutex_);
    script_ = std::move(connection);
  }

 private:
  static constexpr Poco::Timespan::TimeDiff kPollMicros = 20'000;

  void Serve(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      if (!listener_.poll(Poco::Timespan(kPollMicros),
                          Poco::Net::Socket::SELECT_READ))
        continue;
      Poco::Net::StreamSocket socket = listener_.acceptConnection();
      try {
        Answer(socket, stop);
      } catch (const Poco::Exception&) {
        // The client has reset the connection.
      }
    }
  }

  void Answer(Poco::Net::StreamSocket& socket, const std::stop_token& stop) {
    const Connection script = [this] {
      const std::lock_guard lock(mutex_);
      return script_;
    }();
    if (!script.first.empty() && !AnswerOne(socket, script.first, stop))
      return;
    if (!AnswerOne(socket, script.cut, stop))
      return;
    if (script.reset)
      socket.setLinger(true, 0);
    socket.close();
  }

  // Returns false if no request came.
  static bool AnswerOne(Poco::Net::StreamSocket& socket,
                        const std::string& reply,
                        const std::stop_token& stop) {
    if (!ReadRequest(socket, stop))
      return false;
    if (!reply.empty())
      socket.sendBytes(reply.data(), static_cast<int>(reply.size()));
    return true;
  }

  static bool ReadRequest(Poco::Net::StreamSocket& socket,
                          const std::stop_token& stop) {
    std::string request;
    std::array<char, 4096> buffer;
    while (!request.ends_with("\r\n\r\n")) {
      if (!socket.poll(Poco::Timespan(kPollMicros),
                       Poco::Net::Socket::SELECT_READ)) {
        if (stop.stop_requested())
          return false;
        continue;
      }
      const int size = socket.receiveBytes(buffer.data(), buffer.size());
      if (size <= 0)
        return false;
      request.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return true;
  }

  Poco::Net::ServerSocket listener_;
  std::mutex mutex_;
  Connection script_;
  std::jthread thread_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_NET_CUT_REPLIES_H_
