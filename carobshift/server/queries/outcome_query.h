// Handles GET /v1/outcomes/{key}: returns the outcome of the request with an
// idempotency key.
//
//   OutcomeQuery outcomes(context, keyed);
//   routes.Add("GET", "/v1/outcomes/{key}", outcomes);

#ifndef CAROBSHIFT_SERVER_QUERIES_OUTCOME_QUERY_H_
#define CAROBSHIFT_SERVER_QUERIES_OUTCOME_QUERY_H_

#include "carobshift/server/entry_context.h"
#include "carobshift/server/http/route_handler.h"
#include "carobshift/server/once/keyed_calls.h"

namespace carobshift {

class OutcomeQuery : public RouteHandler {
 public:
  OutcomeQuery(EntryContext& context, KeyedCalls& keyed)
      : context_(context), keyed_(keyed) {}
  void Handle(RequestExchange& exchange) override;

 private:
  EntryContext& context_;
  KeyedCalls& keyed_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_QUERIES_OUTCOME_QUERY_H_
