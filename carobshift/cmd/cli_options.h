// Flags shared by the subcommands of `carobshift`.
//
//   Result<CliOptions> options = ParseCliOptions(argc, argv);

#ifndef CAROBSHIFT_CMD_CLI_OPTIONS_H_
#define CAROBSHIFT_CMD_CLI_OPTIONS_H_

#include <optional>
#include <string>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/net_address.h"
#include "carobshift/base/result.h"
#include "carobshift/base/units.h"

namespace carobshift {

struct CliOptions {
  // Arguments other than flags: the subcommand and its operands.
  std::vector<std::string> words;
  bool help = false;
  bool json = false;

  std::optional<NetAddress> entry;
  std::optional<NetAddress> log;
  std::optional<NetAddress> instance_list;
  // Contents of the files that the flags name.
  std::string key;
  std::string secret;

  std::string service;
  std::string conversation;
  std::string idempotency_key;
  // Creation time of an idempotency key that isn't bound to an entry, in
  // milliseconds since 1970.
  std::string key_created;
  std::optional<ConfigVersion> base;
  Tokens max_tokens = 64;
  int count = 0;
  Milliseconds timeout{10000};
};

// Parses the command line. Returns kMalformedRequest with the reason on
// failure.
[[nodiscard]] Result<CliOptions> ParseCliOptions(int argc, char** argv);

// Returns the description of the flags for --help.
[[nodiscard]] std::string CliFlagsHelp();

}  // namespace carobshift

#endif  // CAROBSHIFT_CMD_CLI_OPTIONS_H_
