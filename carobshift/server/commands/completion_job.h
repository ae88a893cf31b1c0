// Converts a caller's request body to a validated completion task, and a
// completion's answer to response text. Used by the caller-facing routes and by
// requests with an idempotency key, which may arrive from another entry.
//
//   Result<CompletionTask> task = MakeCompletionTask(caller, format, text);

#ifndef CAROBSHIFT_SERVER_COMMANDS_COMPLETION_JOB_H_
#define CAROBSHIFT_SERVER_COMMANDS_COMPLETION_JOB_H_

#include <string>

#include "carobshift/server/commands/caller_identity.h"
#include "carobshift/server/commands/completion_format.h"
#include "carobshift/server/dispatch/generate_job.h"

namespace carobshift {

struct CompletionTask {
  // Without id, times and gate; the caller of MakeCompletionTask sets them.
  GenerateJob job;
  // True if the caller asked for an event stream.
  bool stream = false;
};

[[nodiscard]] Result<CompletionTask> MakeCompletionTask(
    const CallerIdentity& caller,
    const CompletionFormat& format,
    const std::string& text);

[[nodiscard]] AnswerMeta MetaOf(const GenerateJob& job);

// Serializes to JSON text. Invalid UTF-8 is replaced.
[[nodiscard]] std::string DumpJson(const nlohmann::json& value);

// Formats one server-sent event.
[[nodiscard]] std::string EventText(const nlohmann::json& value);
// Formats the final frame with the token counts and the end marker. A stream
// without them is incomplete.
[[nodiscard]] std::string FinalEvents(const CompletionFormat& format,
                                      const AnswerMeta& meta,
                                      const GenerateUsage& usage);

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_COMMANDS_COMPLETION_JOB_H_
