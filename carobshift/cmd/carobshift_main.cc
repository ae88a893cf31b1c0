// carobshift: the command line for operators and callers.

#include <iostream>
#include <string>

#include "carobshift/cmd/cli_command.h"
#include "carobshift/cmd/cli_options.h"

namespace carobshift {
namespace {

std::vector<CliCommand> AllCommands() {
  std::vector<CliCommand> all;
  for (const auto* part :
       {&ConfigCommands(), &CallerCommands(), &OperatorCommands()}) {
    all.insert(all.end(), part->begin(), part->end());
  }
  return all;
}

void PrintHelp() {
  std::cout << "usage: carobshift COMMAND [FLAGS]\n\ncommands:\n";
  for (const CliCommand& command : AllCommands()) {
    std::cout << "  " << command.name << ' ' << command.operands << "\n      "
              << command.summary << "\n      example: " << command.example
              << '\n';
  }
  std::cout << CliFlagsHelp()
            << "\nexit codes: 0 ok, 1 failed, 2 usage, 3 invalid "
               "configuration, 4 lost race,\n  5 not in force in time, 6 not "
               "run, 7 outcome unknown, 8 unreachable\n";
}

// Prints a bash completion script for the commands and flags.
void PrintCompletion() {
  std::cout << "complete -W \"";
  for (const CliCommand& command : AllCommands())
    std::cout << command.name << ' ';
  std::cout << "completion --help --json --entry --log --instance-list "
               "--key-file --secret-file --service --conversation "
               "--idempotency-key --key-created --base --max-tokens --count "
               "--timeout-ms\" "
               "carobshift\n";
}

// Looks up a command by its first two words, then by the first word only.
// Removes the words of the name.
const CliCommand* FindCommand(const std::vector<CliCommand>& commands,
                              std::vector<std::string>& words) {
  for (std::size_t length : {2, 1}) {
    if (words.size() < length)
      continue;
    const std::string name = length == 2 ? words[0] + " " + words[1] : words[0];
    for (const CliCommand& command : commands) {
      if (command.name == name) {
        words.erase(words.begin(),
                    words.begin() + static_cast<std::ptrdiff_t>(length));
        return &command;
      }
    }
  }
  return nullptr;
}

ExitCode Run(int argc, char** argv) {
  auto options = ParseCliOptions(argc, argv);
  if (!options.ok())
    return ReportError(ExitCode::kUsage, options.error().message);
  std::vector<std::string> words = options.value().words;
  if (options.value().help || words.empty()) {
    PrintHelp();
    return options.value().help ? ExitCode::kOk : ExitCode::kUsage;
  }
  if (words[0] == "completion") {
    PrintCompletion();
    return ExitCode::kOk;
  }
  const std::vector<CliCommand> commands = AllCommands();
  const CliCommand* command = FindCommand(commands, words);
  if (command == nullptr)
    return ReportError(ExitCode::kUsage, "unknown command; see --help");
  return command->run(options.value(), words);
}

}  // namespace
}  // namespace carobshift

int main(int argc, char** argv) {
  return static_cast<int>(carobshift::Run(argc, argv));
}
