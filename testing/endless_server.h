// Faulty endpoints: listeners on loopback that answer every request with bytes
// that are no answer, in a thread of the test.
//
//   EndlessServer server(EndlessForm::kBody, 40);
//   for (const NetAddress& address : server.addresses()) ...
//   server.questions();

#ifndef TESTING_ENDLESS_SERVER_H_
#define TESTING_ENDLESS_SERVER_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "carobshift/base/net_address.h"

namespace carobshift {

enum class EndlessForm {
  // A body that ends when its reader closes the connection.
  kBody,
  // A head that ends when its reader closes the connection.
  kHead,
  // A complete JSON list of many small lists, just under 8 MiB.
  kList,
  // A complete and correct answer with cache events, just under 8 MiB.
  kEvents,
  // A complete and correct answer with cache events, just under 2 MiB.
  kLongEvents,
  // A body without end, one byte at a time.
  kSlowBody,
  // A head without end, one byte at a time.
  kSlowHead,
  // A complete short answer, followed by bytes without end.
  kUnsolicited,
  // No answer: requests are not read.
  kUnread,
};

// The accessors are thread-safe.
class EndlessServer {
 public:
  // Throws std::runtime_error if a listener can't be made.
  EndlessServer(EndlessForm form, int listeners);
  ~EndlessServer();
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  [[nodiscard]] const std::vector<NetAddress>& addresses() const {
    return addresses_;
  }
  // Requests received.
  [[nodiscard]] std::uint64_t questions() const { return questions_; }
  // Bytes that the kernel has taken for the askers.
  [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }

 private:
  struct Connection {
    int socket = -1;
    std::size_t sent = 0;
    bool answering = false;
    bool closed = false;
  };

  void Listen();
  void Run();
  void Accept(int listener);
  void Receive(Connection& connection);
  void Send(Connection& connection);

  EndlessForm form_;
  // What is sent first, and what is sent again and again after it.
  std::string reply_;
  std::string rest_;
  std::size_t piece_;
  std::vector<int> listeners_;
  std::vector<NetAddress> addresses_;
  std::vector<Connection> connections_;
  std::atomic<std::uint64_t> questions_ = 0;
  std::atomic<std::uint64_t> bytes_sent_ = 0;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

}  // namespace carobshift

#endif  // TESTING_ENDLESS_SERVER_H_
