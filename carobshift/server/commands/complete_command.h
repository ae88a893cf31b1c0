// Handles POST /v1/completions and /v1/chat/completions. Answers with JSON or
// with an event stream, as the caller asks.
//
//   CompleteCommand chat(context, dispatcher, keyed, CallRoute::kChat,
//                        ChatFormat());
//   routes.Add("POST", "/v1/chat/completions", chat);

#ifndef CAROBSHIFT_SERVER_COMMANDS_COMPLETE_COMMAND_H_
#define CAROBSHIFT_SERVER_COMMANDS_COMPLETE_COMMAND_H_

#include <string>

#include "carobshift/server/commands/caller_identity.h"
#include "carobshift/server/commands/completion_format.h"
#include "carobshift/server/commands/completion_job.h"
#include "carobshift/server/dispatch/generate_dispatcher.h"
#include "carobshift/server/entry_context.h"
#include "carobshift/server/http/route_handler.h"
#include "carobshift/server/once/keyed_calls.h"

namespace carobshift {

class CompleteCommand : public RouteHandler {
 public:
  // `route` identifies this route in requests that are forwarded to other
  // entries.
  CompleteCommand(EntryContext& context,
                  GenerateDispatcher& dispatcher,
                  KeyedCalls& keyed,
                  CallRoute route,
                  const CompletionFormat& format)
      : context_(context),
        dispatcher_(dispatcher),
        keyed_(keyed),
        route_(route),
        format_(format) {}

  void Handle(RequestExchange& exchange) override;

 private:
  // The parts of a request with an idempotency key that are forwarded to the
  // entry that runs it.
  struct ForwardedParts {
    CallerHeaders headers;
    std::string text;
  };
  // Returns the validated task, ready to dispatch, and fills `keyed`.
  Result<CompletionTask> MakeTask(RequestExchange& exchange,
                                  ForwardedParts* keyed);
  void AnswerKeyed(RequestExchange& exchange,
                   const CompletionTask& task,
                   const ForwardedParts& keyed);
  void AnswerWhole(RequestExchange& exchange, const GenerateJob& job);
  void AnswerStream(RequestExchange& exchange, const GenerateJob& job);

  EntryContext& context_;
  GenerateDispatcher& dispatcher_;
  KeyedCalls& keyed_;
  const CallRoute route_;
  const CompletionFormat& format_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_COMMANDS_COMPLETE_COMMAND_H_
