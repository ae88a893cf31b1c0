// A last line of a process that a fatal signal ends, with its stack.
//
//   InstallFatalSignalLine("front-1");   // once, at the start
//
// What goes wrong without it: memory is corrupted, the process is gone, and
// nothing tells where. The line goes to standard output:
//
//   {"event":"fatal_signal","level":"error","process":"front-1","signal":11,
//    "base":"0x5581...","stack":["0x5581...", ...]}
//
// `base` is where the program is loaded; `addr2line -e carobshiftd` takes an
// address less the base. Lines that the log had buffered are lost.
//
// The handler is async-signal-safe: it allocates nothing, takes no lock, and
// drops the line if standard output doesn't take it at once. The process then
// ends by the same signal, without a core file.

#ifndef CAROBSHIFT_TELEMETRY_FATAL_SIGNAL_H_
#define CAROBSHIFT_TELEMETRY_FATAL_SIGNAL_H_

#include <string_view>

namespace carobshift {

// For SIGSEGV, SIGBUS, SIGILL, SIGFPE and SIGABRT. `process` is written as it
// is, up to 64 bytes of it. Not thread-safe.
void InstallFatalSignalLine(std::string_view process);

}  // namespace carobshift

#endif  // CAROBSHIFT_TELEMETRY_FATAL_SIGNAL_H_
