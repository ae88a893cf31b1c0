#include "carobshift/server/queries/addresses_query.h"

#include "carobshift/server/commands/caller_identity.h"
#include "carobshift/server/http/caller_error.h"

namespace carobshift {

void AddressesQuery::Handle(RequestExchange& exchange) {
  const auto caller = IdentifyCaller(context_, exchange);
  if (!caller.ok()) {
    SendError(exchange.response, exchange.id,
              NotRun(caller.error().code, caller.error().message));
    return;
  }
  nlohmann::json addresses = nlohmann::json::array();
  for (const EndpointInfo& entry :
       context_.endpoints.All(InstanceKind::kEntry)) {
    if (entry.leaving)
      continue;
    addresses.push_back({{"entry", entry.id.value()},
                         {"address", entry.address.ToString()},
                         {"zone", entry.zone.value()}});
  }
  SendJson(exchange.response, 200,
           {{"addresses", std::move(addresses)},
            {"ttl_ms", context_.settings.address_ttl.count()}});
}

}  // namespace carobshift
