// One entry process, put together: tables, tasks, commands, queries, front.
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

  // Starts tasks and front; returns the address that it listens on.
  Result<NetAddress> Start();

  // The planned stop. Leaves the address answers, serves until every answer
  // it gave has expired and every request has ended, then stops.
  void DrainAndStop();

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_ENTRY_H_
