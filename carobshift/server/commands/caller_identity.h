// Authenticates a caller and checks which services it may call. Every command
// runs these checks first.
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
  // Points into `config`.
  const AccountSpec* account = nullptr;
};

// Errors: kNoConfig before a configuration is in force, kUnauthenticated for a
// key that no client account has, kMalformedRequest for an invalid header.
[[nodiscard]] Result<CallerIdentity> IdentifyCaller(
    const EntryContext& context,
    const RequestExchange& exchange);

// Returns kUnknownService for an undeclared service, and also for one that the
// client account may not call, so that its name is not disclosed.
[[nodiscard]] Result<const ServiceSpec*> AllowedService(
    const CallerIdentity& caller,
    const ServiceName& name,
    ServiceKind kind);

// True if the request carries the operators' key, which is derived from the
// deployment's shared secret.
[[nodiscard]] bool IsOperator(const EntryContext& context,
                              const RequestExchange& exchange);

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_COMMANDS_CALLER_IDENTITY_H_
