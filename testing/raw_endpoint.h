// An endpoint that answers each request with given bytes, which need not be a
// valid reply, and then ends the connection.
//
//   RawEndpoint endpoint({.reply = "HTTP/1.1 000 \r\n\r\n"});
//   AddRawEndpoint(cluster, endpoint);
//   endpoint.SetAnswer({.reply = "HTTP/2.0 200 OK\r\n\r\nabc"});

#ifndef TESTING_RAW_ENDPOINT_H_
#define TESTING_RAW_ENDPOINT_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>

#include "carobshift/base/net_address.h"
#include "testing/gateway_cluster.h"

namespace carobshift {

struct RawAnswer {
  std::string reply;
  // Whether the whole request is read before the reply is sent. Otherwise only
  // its head is.
  bool reads_body = true;
  // Whether the connection ends by a reset.
  bool reset = false;
};

// Serves one connection at a time. Thread-safe.
class RawEndpoint {
 public:
  explicit RawEndpoint(RawAnswer answer);
  ~RawEndpoint();
  RawEndpoint(const RawEndpoint&) = delete;
  RawEndpoint& operator=(const RawEndpoint&) = delete;

  void SetAnswer(RawAnswer answer);
  [[nodiscard]] NetAddress address() const;
  [[nodiscard]] int requests() const { return requests_; }

 private:
  void Run();
  void Serve(Poco::Net::StreamSocket& socket);

  mutable std::mutex mutex_;
  RawAnswer answer_;
  Poco::Net::ServerSocket listener_;
  std::atomic<int> requests_ = 0;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

// Writes the record of the endpoint, as one of the service "desks".
void AddRawEndpoint(GatewayCluster& cluster, const RawEndpoint& endpoint);

}  // namespace carobshift

#endif  // TESTING_RAW_ENDPOINT_H_
