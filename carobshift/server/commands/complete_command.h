// POST /v1/completions and /v1/chat/completions, as JSON or as an event
// stream.
//
//   CompleteCommand chat(context, dispatcher, ChatFormat());
//   routes.Add("POST", "/v1/chat/completions", chat);

#ifndef CAROBSHIFT_SERVER_COMMANDS_COMPLETE_COMMAND_H_
#define CAROBSHIFT_SERVER_COMMANDS_COMPLETE_COMMAND_H_

#include "carobshift/server/commands/caller_identity.h"
#include "carobshift/server/commands/completion_format.h"
#include "carobshift/server/dispatch/generate_dispatcher.h"
#include "carobshift/server/entry_context.h"
#include "carobshift/server/http/route_handler.h"

namespace carobshift {

class CompleteCommand : public RouteHandler {
 public:
  CompleteCommand(EntryContext& context,
                  GenerateDispatcher& dispatcher,
                  const CompletionFormat& format)
      : context_(context), dispatcher_(dispatcher), format_(format) {}

  void Handle(RequestExchange& exchange) override;

 private:
  // Everything checked, ready to dispatch.
  Result<GenerateJob> MakeJob(RequestExchange& exchange, bool& stream);
  void AnswerWhole(RequestExchange& exchange, const GenerateJob& job);
  void AnswerStream(RequestExchange& exchange, const GenerateJob& job);

  EntryContext& context_;
  GenerateDispatcher& dispatcher_;
  const CompletionFormat& format_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_COMMANDS_COMPLETE_COMMAND_H_
