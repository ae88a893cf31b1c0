#include "carobshift/cmd/cli_command.h"

#include <iostream>

namespace carobshift {

ExitCode ReportError(ExitCode code, std::string_view message) {
  std::cerr << "carobshift: " << message << std::endl;
  return code;
}

}  // namespace carobshift
