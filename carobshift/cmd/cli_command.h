// Table of the subcommands of `carobshift`.
//
//   const CliCommand* command = FindCommand(commands, words);
//   ExitCode code = command->run(options, words);

#ifndef CAROBSHIFT_CMD_CLI_COMMAND_H_
#define CAROBSHIFT_CMD_CLI_COMMAND_H_

#include <string>
#include <string_view>
#include <vector>

#include "carobshift/cmd/cli_options.h"
#include "carobshift/cmd/exit_codes.h"

namespace carobshift {

struct CliCommand {
  // One or two words, such as "config publish".
  std::string_view name;
  std::string_view operands;
  std::string_view summary;
  std::string_view example;
  ExitCode (*run)(const CliOptions& options,
                  const std::vector<std::string>& operands);
};

// The subcommands of each source file.
[[nodiscard]] const std::vector<CliCommand>& ConfigCommands();
[[nodiscard]] const std::vector<CliCommand>& CallerCommands();
[[nodiscard]] const std::vector<CliCommand>& OperatorCommands();

// Prints "carobshift: MESSAGE" on standard error and returns `code`.
ExitCode ReportError(ExitCode code, std::string_view message);

}  // namespace carobshift

#endif  // CAROBSHIFT_CMD_CLI_COMMAND_H_
