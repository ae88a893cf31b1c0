// EntryClient sends HTTP requests to an entry, or another HTTP server, for the
// command line.
//
//   EntryClient client(address, bearer_key, timeout);
//   Result<nlohmann::json> state = client.FetchJson("/debug/state");

#ifndef CAROBSHIFT_CMD_ENTRY_CLIENT_H_
#define CAROBSHIFT_CMD_ENTRY_CLIENT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "carobshift/base/net_address.h"
#include "carobshift/base/result.h"
#include "carobshift/base/units.h"
#include "carobshift/cmd/exit_codes.h"

namespace carobshift {

struct EntryReply {
  // HTTP status; 0 if there was no complete reply.
  int status = 0;
  std::string body;
};

// Not thread-safe.
class EntryClient {
 public:
  EntryClient(NetAddress address, std::string bearer_key, Milliseconds timeout);

  [[nodiscard]] EntryReply Get(const std::string& path);
  [[nodiscard]] EntryReply Post(
      const std::string& path,
      const std::string& body,
      const std::vector<std::pair<std::string, std::string>>& headers);

  // Returns the parsed body of a reply with status 200; any other status is an
  // error.
  [[nodiscard]] Result<nlohmann::json> FetchJson(const std::string& path);

 private:
  EntryReply Send(
      const std::string& method,
      const std::string& path,
      const std::string& body,
      const std::vector<std::pair<std::string, std::string>>& headers);

  NetAddress address_;
  std::string bearer_key_;
  Milliseconds timeout_;
};

// Prints an error reply and returns the exit code for it.
[[nodiscard]] ExitCode ReportErrorReply(const EntryReply& reply);

}  // namespace carobshift

#endif  // CAROBSHIFT_CMD_ENTRY_CLIENT_H_
