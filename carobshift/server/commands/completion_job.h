// From a caller and a request body to a checked completion, and from its
// answer to the body that goes back. Shared by the caller's own route and by
// requests under an idempotency key, which may come from another entry.
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
  // Without id, times and gate, which the caller of this function knows.
  GenerateJob job;
  // The caller asked for an event stream.
  bool stream = false;
};

[[nodiscard]] Result<CompletionTask> MakeCompletionTask(
    const CallerIdentity& caller,
    const CompletionFormat& format,
    const std::string& text);

[[nodiscard]] AnswerMeta MetaOf(const GenerateJob& job);

// JSON text in which bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string DumpJson(const nlohmann::json& value);

// One event of a stream.
[[nodiscard]] std::string EventText(const nlohmann::json& value);
// The final frame with the token count, then the end mark. A stream without
// them is not whole.
[[nodiscard]] std::string FinalEvents(const CompletionFormat& format,
                                      const AnswerMeta& meta,
                                      const GenerateUsage& usage);

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_COMMANDS_COMPLETION_JOB_H_
