// One instance of the system as it runs before endpoints: callers' requests,
// address answers, readiness, the view of configuration and endpoints, and its
// part in what all instances do together.
//
//   Gateway gateway(settings, dialects);
//   if (Status status = gateway.Start(); !status.ok()) ...
//   gateway.Run(stop_requested, reload_requested);
//
// Everything runs on the calling thread, on one event loop.

#ifndef CAROBSHIFT_GATEWAY_GATEWAY_H_
#define CAROBSHIFT_GATEWAY_GATEWAY_H_

#include <functional>
#include <memory>

#include "carobshift/base/result.h"
#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/gateway_settings.h"

namespace carobshift {

// Asked by the loop; set by signal handlers.
struct GatewaySignals {
  std::function<bool()> stop_requested;
  // True once for each request to read the settings again.
  std::function<bool()> take_reload;
  // The settings as they are now.
  std::function<Result<GatewaySettings>()> read_settings;
};

class Gateway {
 public:
  Gateway(const GatewaySettings& settings, const Dialects& dialects);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  [[nodiscard]] Status Start();
  // Until a planned stop has ended.
  void Run(const GatewaySignals& signals);

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_GATEWAY_H_
