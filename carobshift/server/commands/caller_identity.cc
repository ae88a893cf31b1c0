#include "carobshift/server/commands/caller_identity.h"

#include <algorithm>
#include <utility>

#include "carobshift/base/digest.h"
#include "carobshift/base/operator_key.h"

namespace carobshift {
namespace {

bool MayCall(const AccountSpec& account, const ServiceName& service) {
  return account.services.empty() ||
         std::ranges::find(account.services, service) != account.services.end();
}

}  // namespace

Result<CallerIdentity> IdentifyCaller(const EntryContext& context,
                                      const RequestExchange& exchange) {
  auto headers = ParseCallerHeaders(
      exchange.request, context.settings.default_deadline, exchange.received);
  if (!headers.ok())
    return headers.error();
  CallerIdentity caller;
  caller.headers = std::move(headers).value();
  caller.config = context.config.current();
  if (!caller.config) {
    return Error{ResultCode::kNoConfig,
                 "no configuration is in force at this entry yet"};
  }
  caller.account = caller.config->Authenticate(caller.headers.bearer_key);
  if (caller.account == nullptr) {
    return Error{ResultCode::kUnauthenticated,
                 "no client account has this key"};
  }
  return caller;
}

Result<const ServiceSpec*> AllowedService(const CallerIdentity& caller,
                                          const ServiceName& name,
                                          ServiceKind kind) {
  const ServiceSpec* service = caller.config->declaration.FindService(name);
  if (service == nullptr || service->kind != kind ||
      !MayCall(*caller.account, name)) {
    return Error{ResultCode::kUnknownService,
                 "no such service of this kind: " + name.value()};
  }
  return service;
}

bool IsOperator(const EntryContext& context, const RequestExchange& exchange) {
  const std::string authorization = exchange.request.get("Authorization", "");
  return ConstantTimeEqual(authorization,
                           "Bearer " + OperatorKey(context.secret));
}

}  // namespace carobshift
