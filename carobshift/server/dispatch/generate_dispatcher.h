// Brings one completion to an endpoint and its whole answer back: waits for
// admission, chooses, attempts, resumes after an endpoint's death.
//
//   GenerateDispatcher dispatcher(context);
//   GenerateOutcome outcome = dispatcher.Run(job, writer);
//
// Thread-safe; Run blocks its worker thread until the answer has ended.

#ifndef CAROBSHIFT_SERVER_DISPATCH_GENERATE_DISPATCHER_H_
#define CAROBSHIFT_SERVER_DISPATCH_GENERATE_DISPATCHER_H_

#include "carobshift/external/engine.h"
#include "carobshift/server/dispatch/generate_job.h"
#include "carobshift/server/dispatch/load_control.h"
#include "carobshift/server/entry_context.h"

namespace carobshift {

class GenerateDispatcher {
 public:
  explicit GenerateDispatcher(EntryContext& context)
      : context_(context), control_(context) {}

  GenerateOutcome Run(const GenerateJob& job, AnswerWriter& writer);

 private:
  // One request's attempts.
  class Attempts;

  // Why the request may not be run, or nothing.
  [[nodiscard]] std::optional<CallerError> RefuseSuspect(
      const GenerateJob& job,
      ContentFingerprint fingerprint) const;
  void RecordEnd(const GenerateJob& job, const GenerateOutcome& outcome);

  EntryContext& context_;
  LoadControl control_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_DISPATCH_GENERATE_DISPATCHER_H_
