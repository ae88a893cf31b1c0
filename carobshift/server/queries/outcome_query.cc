#include "carobshift/server/queries/outcome_query.h"

#include "carobshift/server/commands/caller_identity.h"
#include "carobshift/server/http/caller_error.h"
#include "carobshift/server/once/send_reply.h"

namespace carobshift {

void OutcomeQuery::Handle(RequestExchange& exchange) {
  const auto caller = IdentifyCaller(context_, exchange);
  if (!caller.ok()) {
    SendError(exchange.response, exchange.id,
              NotRun(caller.error().code, caller.error().message));
    return;
  }
  SendReply(exchange.response,
            keyed_.QueryOutcome(exchange.id, caller.value().account->id,
                                IdempotencyKey(exchange.path_arguments.at(0))));
}

}  // namespace carobshift
