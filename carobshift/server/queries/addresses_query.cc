#include "carobshift/server/queries/addresses_query.h"

#include <Poco/URI.h>

#include <algorithm>

#include "carobshift/membership/entry_ranking.h"
#include "carobshift/server/commands/caller_identity.h"
#include "carobshift/server/http/caller_error.h"

namespace carobshift {
namespace {

// More addresses would not help: if the first few are dead, the caller asks
// again.
constexpr std::size_t kMaxAddresses = 4;

RankingKey KeyOf(const AccountId& account, const RequestExchange& exchange) {
  RankingKey key{.account = account};
  for (const auto& [name, value] :
       Poco::URI(exchange.request.getURI()).getQueryParameters()) {
    if (name == "conversation" && value.size() <= kMaxCallerIdBytes)
      key.conversation = ConversationId(value);
    if (name == "zone" && value.size() <= kMaxCallerIdBytes)
      key.zone = ZoneName(value);
  }
  return key;
}

// Prefetches the conversation's stored blocks, since its next request is
// expected soon.
void PrefetchConversation(EntryContext& context,
                          const AccountId& account,
                          const RequestExchange& exchange) {
  for (const auto& [name, value] :
       Poco::URI(exchange.request.getURI()).getQueryParameters()) {
    if (name == "conversation" && value.size() <= kMaxCallerIdBytes) {
      context.cache.OnAddressLookup({account, ConversationId(value)},
                                    MonotonicNow());
    }
  }
}

}  // namespace

void AddressesQuery::Handle(RequestExchange& exchange) {
  const auto caller = IdentifyCaller(context_, exchange);
  if (!caller.ok()) {
    SendError(exchange.response, exchange.id,
              NotRun(caller.error().code, caller.error().message));
    return;
  }
  PrefetchConversation(context_, caller.value().account->id, exchange);
  nlohmann::json addresses = nlohmann::json::array();
  const RankingKey key = KeyOf(caller.value().account->id, exchange);
  for (const MemberInfo& entry :
       RankEntries(key, context_.membership.Live(), kMaxAddresses)) {
    addresses.push_back({{"entry", entry.id.value()},
                         {"address", entry.http_address().ToString()},
                         {"zone", entry.zone.value()}});
  }
  const IssuedPrefix issued =
      issuer_.Issue(caller.value().account->id, MonotonicNow());
  // The prefix is valid for longer, but its entry may leave once this answer
  // has expired. A caller that still uses it would then get outcome_unknown.
  const Milliseconds key_ttl =
      std::min(issued.time_to_live, context_.settings.address_ttl);
  SendJson(exchange.response, 200,
           {{"addresses", std::move(addresses)},
            {"key_prefix", issued.prefix},
            {"key_ttl_ms", key_ttl.count()},
            {"ttl_ms", context_.settings.address_ttl.count()}});
}

}  // namespace carobshift
