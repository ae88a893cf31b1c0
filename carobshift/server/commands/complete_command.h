// POST /v1/completions and /v1/chat/completions, as JSON or as an event
// stream.
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
  // `route` is how other entries name this route.
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
  // What a request under an idempotency key is sent on with.
  struct KeyedText {
    CallerHeaders headers;
    std::string text;
  };
  // Everything checked, ready to dispatch.
  Result<CompletionTask> MakeTask(RequestExchange& exchange, KeyedText* keyed);
  void AnswerKeyed(RequestExchange& exchange,
                   const CompletionTask& task,
                   const KeyedText& keyed);
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
