// Handles GET /v1/addresses?service=&conversation=: returns the entries that a
// caller should use.
//
//   AddressesQuery addresses(context);
//   routes.Add("GET", "/v1/addresses", addresses);

#ifndef CAROBSHIFT_SERVER_QUERIES_ADDRESSES_QUERY_H_
#define CAROBSHIFT_SERVER_QUERIES_ADDRESSES_QUERY_H_

#include "carobshift/once/bound_key.h"
#include "carobshift/server/entry_context.h"
#include "carobshift/server/http/route_handler.h"

namespace carobshift {

class AddressesQuery : public RouteHandler {
 public:
  explicit AddressesQuery(EntryContext& context)
      : context_(context),
        issuer_(context.secret,
                context.settings.entry,
                context.incarnation,
                context.settings.key_lifetime) {}
  void Handle(RequestExchange& exchange) override;

 private:
  EntryContext& context_;
  BoundKeyIssuer issuer_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_QUERIES_ADDRESSES_QUERY_H_
