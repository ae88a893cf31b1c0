// Exit codes of the `carobshift` command line; docs/OPERATIONS.md documents
// them. Numbers are never reused.

#ifndef CAROBSHIFT_CMD_EXIT_CODES_H_
#define CAROBSHIFT_CMD_EXIT_CODES_H_

namespace carobshift {

enum class ExitCode {
  kOk = 0,
  kFailed = 1,
  kUsage = 2,
  kInvalidConfig = 3,
  // Another edit with the same base was accepted first.
  kLostRace = 4,
  // Accepted, but not in force at every live entry within the timeout.
  kNotInForce = 5,
  // A request was rejected or failed, and provably did not run.
  kNotRun = 6,
  // The outcome of a request is unknown.
  kOutcomeUnknown = 7,
  // An entry or a service of the platform did not reply.
  kUnreachable = 8,
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CMD_EXIT_CODES_H_
