// Handles POST /v1/services/{name}/call: sends one call to a plain service and
// returns its answer. The request body is passed on unchanged.
//
//   CallCommand call(context, dispatcher, keyed);
//   routes.Add("POST", "/v1/services/{name}/call", call);

#ifndef CAROBSHIFT_SERVER_COMMANDS_CALL_COMMAND_H_
#define CAROBSHIFT_SERVER_COMMANDS_CALL_COMMAND_H_

#include "carobshift/server/commands/caller_identity.h"
#include "carobshift/server/dispatch/plain_dispatcher.h"
#include "carobshift/server/entry_context.h"
#include "carobshift/server/http/route_handler.h"
#include "carobshift/server/once/keyed_calls.h"

namespace carobshift {

class CallCommand : public RouteHandler {
 public:
  CallCommand(EntryContext& context,
              PlainDispatcher& dispatcher,
              KeyedCalls& keyed)
      : context_(context), dispatcher_(dispatcher), keyed_(keyed) {}

  void Handle(RequestExchange& exchange) override;

 private:
  Result<PlainJob> MakeJob(RequestExchange& exchange, CallerHeaders* headers);

  EntryContext& context_;
  PlainDispatcher& dispatcher_;
  KeyedCalls& keyed_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_COMMANDS_CALL_COMMAND_H_
