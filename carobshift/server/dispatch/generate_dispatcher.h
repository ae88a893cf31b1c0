// Runs one completion: waits for admission, chooses an endpoint, makes attempts
// and resumes the answer on another endpoint after a failure.
//
//   GenerateDispatcher dispatcher(context);
//   GenerateOutcome outcome = dispatcher.Run(job, writer);
//
// Thread-safe. Run blocks its worker thread until the answer has ended.

#ifndef CAROBSHIFT_SERVER_DISPATCH_GENERATE_DISPATCHER_H_
#define CAROBSHIFT_SERVER_DISPATCH_GENERATE_DISPATCHER_H_

#include "carobshift/external/engine.h"
#include "carobshift/server/dispatch/attempt_control.h"
#include "carobshift/server/dispatch/generate_job.h"
#include "carobshift/server/entry_context.h"

namespace carobshift {

class GenerateDispatcher {
 public:
  explicit GenerateDispatcher(EntryContext& context)
      : context_(context), control_(context) {}

  GenerateOutcome Run(const GenerateJob& job, AnswerWriter& writer);

 private:
  // The attempts of one request.
  class Attempts;

  // The error if the request is refused as a crash suspect.
  [[nodiscard]] std::optional<CallerError> RefuseSuspect(
      const GenerateJob& job,
      ContentFingerprint fingerprint) const;
  void RecordEnd(const GenerateJob& job, const GenerateOutcome& outcome);

  EntryContext& context_;
  AttemptControl control_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_DISPATCH_GENERATE_DISPATCHER_H_
