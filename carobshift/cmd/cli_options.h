// The flags that the subcommands of `carobshift` share.
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
  // Words that are no flags: the subcommand and its operands.
  std::vector<std::string> words;
  bool help = false;
  bool json = false;

  std::optional<NetAddress> entry;
  std::optional<NetAddress> log;
  std::optional<NetAddress> instance_list;
  // Contents, not paths.
  std::string key;
  std::string secret;

  std::string service;
  std::string conversation;
  std::string idempotency_key;
  // When a free idempotency key was made, in milliseconds since 1970.
  std::string key_created;
  std::optional<ConfigVersion> base;
  Tokens max_tokens = 64;
  int count = 0;
  Milliseconds timeout{10000};
};

// kMalformedRequest tells what is wrong with the command line.
[[nodiscard]] Result<CliOptions> ParseCliOptions(int argc, char** argv);

// The flags with their meaning, for --help.
[[nodiscard]] std::string CliFlagsHelp();

}  // namespace carobshift

#endif  // CAROBSHIFT_CMD_CLI_OPTIONS_H_
