// Runs a completion with an idempotency key through the generate dispatcher and
// returns the whole answer, which is stored for repeated requests.
//
//   CompletionExecutor chat(context, dispatcher, ChatFormat());
//   keyed.SetExecutor(CallRoute::kChat, chat);

#ifndef CAROBSHIFT_SERVER_COMMANDS_COMPLETION_EXECUTOR_H_
#define CAROBSHIFT_SERVER_COMMANDS_COMPLETION_EXECUTOR_H_

#include "carobshift/server/commands/completion_job.h"
#include "carobshift/server/dispatch/generate_dispatcher.h"
#include "carobshift/server/entry_context.h"
#include "carobshift/server/once/keyed_calls.h"

namespace carobshift {

// Thread-safe.
class CompletionExecutor : public KeyedExecutor {
 public:
  CompletionExecutor(EntryContext& context,
                     GenerateDispatcher& dispatcher,
                     const CompletionFormat& format)
      : context_(context), dispatcher_(dispatcher), format_(format) {}

  FinalAnswer Execute(const ForwardCall& call,
                      MonotonicTime deadline,
                      const DispatchGate& gate,
                      const LiveEvents& live) override;

 private:
  [[nodiscard]] Result<CompletionTask> MakeTask(const ForwardCall& call) const;
  [[nodiscard]] FinalAnswer RunWhole(const GenerateJob& job);
  [[nodiscard]] FinalAnswer RunStream(const GenerateJob& job,
                                      const LiveEvents& live);

  EntryContext& context_;
  GenerateDispatcher& dispatcher_;
  const CompletionFormat& format_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_COMMANDS_COMPLETION_EXECUTOR_H_
