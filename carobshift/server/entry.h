// One entry process: owns and connects its tables, background tasks, commands,
// queries, HTTP server and peer server.
//
//   Entry entry(settings, secret, platform);
//   Result<NetAddress> address = entry.Start();
//   ...
//   entry.DrainAndStop();

#ifndef CAROBSHIFT_SERVER_ENTRY_H_
#define CAROBSHIFT_SERVER_ENTRY_H_

#include <memory>
#include <string>

#include "carobshift/base/net_address.h"
#include "carobshift/base/result.h"
#include "carobshift/server/entry_context.h"
#include "carobshift/server/settings.h"

namespace carobshift {

class Entry {
 public:
  Entry(Settings settings, std::string secret, PlatformClients platform);
  ~Entry();

  // Starts the servers and the background tasks. Returns the HTTP address that
  // the entry listens on.
  Result<NetAddress> Start();

  // Stops the entry without interrupting callers. Other entries stop naming
  // this entry in their address answers; it takes requests until the last
  // address answer that named it has expired, ends those that it has taken, and
  // stops. That takes as long as the longest deadline of a request.
  void DrainAndStop();

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_ENTRY_H_
