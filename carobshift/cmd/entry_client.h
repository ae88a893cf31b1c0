// Talks to one entry, or to another HTTP server, for the command line.
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
  // 0 if there was no whole answer.
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

  // The parsed body of a 200 answer; any other is an error.
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

// Prints a caller's error answer and says what to exit with.
[[nodiscard]] ExitCode ReportErrorReply(const EntryReply& reply);

}  // namespace carobshift

#endif  // CAROBSHIFT_CMD_ENTRY_CLIENT_H_
