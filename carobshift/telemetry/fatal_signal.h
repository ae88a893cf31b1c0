// Writes a log line with a stack trace when a fatal signal ends the process.
//
//   InstallFatalSignalHandler("front-1");   // once, at the start
//
// Without it, a process that crashes, for example after memory corruption,
// leaves no trace of where it crashed. The line goes to standard output:
//
//   {"event":"fatal_signal","level":"error","process":"front-1","signal":11,
//    "base":"0x5581...","stack":["0x5581...", ...]}
//
// `base` is the load address of the program; `addr2line -e carobshiftd` takes
// an address minus the base. Buffered log lines are lost.
//
// The handler is async-signal-safe: it allocates no memory, takes no lock, and
// drops the line if standard output doesn't accept it immediately. The same
// signal then ends the process, without a core file.

#ifndef CAROBSHIFT_TELEMETRY_FATAL_SIGNAL_H_
#define CAROBSHIFT_TELEMETRY_FATAL_SIGNAL_H_

#include <string_view>

namespace carobshift {

// Installs the handler for SIGSEGV, SIGBUS, SIGILL, SIGFPE and SIGABRT. Up to
// 64 bytes of `process` are written without escaping. Not thread-safe.
void InstallFatalSignalHandler(std::string_view process);

}  // namespace carobshift

#endif  // CAROBSHIFT_TELEMETRY_FATAL_SIGNAL_H_
