// Brings one completion to an endpoint and its whole answer back: chooses,
// attempts, resumes after an endpoint's death.
//
//   GenerateDispatcher dispatcher(context);
//   GenerateOutcome outcome = dispatcher.Run(job, writer);
//
// Thread-safe; Run blocks its worker thread until the answer has ended.

#ifndef CAROBSHIFT_SERVER_DISPATCH_GENERATE_DISPATCHER_H_
#define CAROBSHIFT_SERVER_DISPATCH_GENERATE_DISPATCHER_H_

#include <map>
#include <mutex>
#include <optional>
#include <set>

#include "carobshift/platform/engine.h"
#include "carobshift/server/dispatch/generate_job.h"
#include "carobshift/server/entry_context.h"
#include "carobshift/stream/stream_assembler.h"

namespace carobshift {

class GenerateDispatcher {
 public:
  explicit GenerateDispatcher(EntryContext& context) : context_(context) {}

  GenerateOutcome Run(const GenerateJob& job, AnswerWriter& writer);

 private:
  // The least loaded endpoint that runs `version` (any if empty) and wasn't
  // tried before.
  std::optional<EndpointInfo> Choose(const GenerateJob& job,
                                     const WeightVersion& version,
                                     const std::set<EndpointId>& tried);
  GenerateRequest MakeRequest(const GenerateJob& job,
                              const EndpointInfo& endpoint,
                              AttemptNumber attempt,
                              const StreamAssembler& assembler) const;
  void RecordEnd(const GenerateJob& job, const GenerateOutcome& outcome);

  EntryContext& context_;
  std::mutex mutex_;
  std::map<EndpointId, int> in_flight_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_DISPATCH_GENERATE_DISPATCHER_H_
