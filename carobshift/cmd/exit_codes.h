// Exit codes of the `carobshift` command line, as documented in
// docs/OPERATIONS.md. Numbers are never reused.

#ifndef CAROBSHIFT_CMD_EXIT_CODES_H_
#define CAROBSHIFT_CMD_EXIT_CODES_H_

namespace carobshift {

enum class ExitCode {
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  kInvalidConfig = 3,
  // Another edit with the same base was first.
  kLostRace = 4,
  // Accepted, but not every live entry had it in force in time.
  kNotInForce = 5,
  // A request was refused or failed and provably did not run.
  kNotRun = 6,
  // A request's outcome is open.
  kOutcomeUnknown = 7,
  // Neither entry nor platform answered.
  kUnreachable = 8,
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CMD_EXIT_CODES_H_
