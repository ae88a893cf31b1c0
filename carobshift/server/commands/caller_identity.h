// Who calls, and what it may call: the checks that every command begins with.
//
//   Result<CallerIdentity> caller = IdentifyCaller(context, exchange);
//   Result<const ServiceSpec*> service = AllowedService(caller, name, kind);

#ifndef CAROBSHIFT_SERVER_COMMANDS_CALLER_IDENTITY_H_
#define CAROBSHIFT_SERVER_COMMANDS_CALLER_IDENTITY_H_

#include <memory>

#include "carobshift/base/result.h"
#include "carobshift/server/entry_context.h"
#include "carobshift/server/http/caller_request.h"
#include "carobshift/server/http/route_handler.h"

namespace carobshift {

struct CallerIdentity {
  CallerHeaders headers;
  std::shared_ptr<const ActiveConfig> config;
  // Within `config`.
  const AccountSpec* account = nullptr;
};

// kNoConfig before a configuration is in force, kUnauthenticated for a key
// that no client account has, kMalformedRequest for a bad header.
[[nodiscard]] Result<CallerIdentity> IdentifyCaller(
    const EntryContext& context,
    const RequestExchange& exchange);

// kUnknownService, also for a service that the client account may not call:
// its name is nobody else's business.
[[nodiscard]] Result<const ServiceSpec*> AllowedService(
    const CallerIdentity& caller,
    const ServiceName& name,
    ServiceKind kind);

// True if the request carries the operators' key, which is derived from the
// deployment's secret.
[[nodiscard]] bool IsOperator(const EntryContext& context,
                              const RequestExchange& exchange);

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_COMMANDS_CALLER_IDENTITY_H_
