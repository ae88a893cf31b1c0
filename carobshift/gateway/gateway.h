// One instance of the serving system, which runs in front of the endpoints. It
// serves callers' requests, address queries and readiness checks, follows the
// configuration and the endpoint records, and takes part in the coordination
// between instances (membership, lease, load reports).
//
//   Gateway gateway(settings, dialects);
//   if (Status status = gateway.Start(); !status.ok()) ...
//   gateway.Run(signals);
//
// All work runs on the calling thread, on one event loop.

#ifndef CAROBSHIFT_GATEWAY_GATEWAY_H_
#define CAROBSHIFT_GATEWAY_GATEWAY_H_

#include <functional>
#include <memory>

#include "carobshift/base/result.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/dialect.h"
#include "carobshift/gateway/gateway_settings.h"

namespace carobshift {

// Polled by the event loop; set by signal handlers.
struct GatewaySignals {
  // No stop had been requested then. The grace period counts from there if the
  // first look finds a request.
  MonotonicTime handled_since;
  // Stays true once it has been.
  std::function<bool()> stop_requested;
  // Returns true once for each request to reload the settings.
  std::function<bool()> take_reload;
  // Reads the current settings.
  std::function<Result<GatewaySettings>()> read_settings;
};

class Gateway {
 public:
  Gateway(const GatewaySettings& settings, const Dialects& dialects);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  [[nodiscard]] Status Start();
  // Runs until a planned stop has completed.
  void Run(const GatewaySignals& signals);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_GATEWAY_H_
