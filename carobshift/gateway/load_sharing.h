// Sends this instance's load reports to the others and takes theirs.
//
//   LoadSharing sharing(loop, settings, cluster, book);
//   sharing.Start();
//   sharing.OnTick();

#ifndef CAROBSHIFT_GATEWAY_LOAD_SHARING_H_
#define CAROBSHIFT_GATEWAY_LOAD_SHARING_H_

#include <memory>
#include <string>
#include <string_view>

#include "carobshift/base/result.h"
#include "carobshift/gateway/cluster.h"
#include "carobshift/gateway/gateway_settings.h"
#include "carobshift/gateway/load_book.h"
#include "carobshift/net/udp_port.h"

namespace carobshift {

class LoadSharing {
 public:
  LoadSharing(EventLoop& loop,
              const GatewaySettings& settings,
              const Cluster& cluster,
              LoadBook& book);

  [[nodiscard]] Status Start();
  // About every kTick.
  void OnTick();

 private:
  void OnDatagram(std::string_view bytes);

  EventLoop& loop_;
  const Cluster& cluster_;
  LoadBook& book_;
  NetAddress address_;
  std::string secret_;
  std::shared_ptr<UdpPort> port_;
  std::uint64_t sequence_ = 0;
  MonotonicTime next_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_LOAD_SHARING_H_
