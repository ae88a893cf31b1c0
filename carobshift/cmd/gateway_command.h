// `carobshiftd gateway`: runs one gateway on the users' platform.
//
//   carobshiftd gateway [--settings FILE] [--metrics-port N] [--log-level L]

#ifndef CAROBSHIFT_CMD_GATEWAY_COMMAND_H_
#define CAROBSHIFT_CMD_GATEWAY_COMMAND_H_

namespace carobshift {

// Returns the exit code of the process. `argv[0]` must be "gateway".
int RunGatewayCommand(int argc, char** argv);

}  // namespace carobshift

#endif  // CAROBSHIFT_CMD_GATEWAY_COMMAND_H_
