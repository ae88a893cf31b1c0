// A caller that sends one request after the other over a connection that it
// keeps until the other side closes it, and records how each of them ended.
//
//   KeptCaller caller({.gateways = {cluster.FrontAddress(0)},
//                      .name = "caller1", .seed = 1});
//   caller.Run(stop);  // until `stop` is true
//   for (const KeptCallerRequest& request : caller.requests()) ...
//
// Requests go to the routes of GatewayCluster, streams and plain ones. Without
// a connection the caller opens one to one of `gateways` at random.
//
// Thread-compatible.

#ifndef TESTING_KEPT_CALLER_H_
#define TESTING_KEPT_CALLER_H_

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/base/net_address.h"
#include "carobshift/base/units.h"
#include "fuzz/simulation.h"

namespace carobshift {

struct KeptCallerOptions {
  std::vector<NetAddress> gateways;
  // First part of the request ids.
  std::string name;
  std::uint64_t seed = 0;
  // Longest pauses before a request, and between its head and its body.
  Milliseconds max_pause{50};
  Milliseconds max_body_pause{0};
  // Number of events in a complete stream.
  int events = 5;
};

struct KeptCallerRequest {
  std::string id;
  std::string path;
  // 0 if there was no response, or not the whole head of one.
  int status = 0;
  // The response is complete by its framing.
  bool whole = false;
  // Whether the body is the endpoint's whole one. Set for status 200.
  bool expected_body = false;
  // Why the response isn't whole.
  std::string failure{};
  MonotonicTime sent{};
};

class KeptCaller {
 public:
  explicit KeptCaller(KeptCallerOptions options);

  // Sends requests until `stop`.
  void Run(const std::atomic<bool>& stop);
  [[nodiscard]] const std::vector<KeptCallerRequest>& requests() const {
    return requests_;
  }
  // Returns the number of requests that an endpoint answered whole.
  [[nodiscard]] int served() const;
  // Returns how often no connection could be opened.
  [[nodiscard]] int failed_connects() const { return failed_connects_; }

 private:
  // Returns whether there is a connection.
  [[nodiscard]] bool Connect();
  void Ask();
  void Exchange(const std::string& body, KeptCallerRequest& request);
  void Pause(Milliseconds longest);
  [[nodiscard]] std::string ExpectedBody(const std::string& path,
                                         const std::string& body) const;

  const KeptCallerOptions options_;
  SeededRandom random_;
  std::optional<Poco::Net::StreamSocket> socket_;
  std::vector<KeptCallerRequest> requests_;
  int failed_connects_ = 0;
};

}  // namespace carobshift

#endif  // TESTING_KEPT_CALLER_H_
