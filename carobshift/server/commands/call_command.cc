#include "carobshift/server/commands/call_command.h"

#include <utility>

#include "carobshift/server/http/caller_error.h"
#include "carobshift/server/once/send_reply.h"

namespace carobshift {
namespace {

ForwardCall ToForwardCall(const PlainJob& job, const CallerHeaders& headers) {
  ForwardCall call;
  call.request = job.id;
  call.route = CallRoute::kPlain;
  call.service = job.service->name;
  call.account = job.account;
  call.key = *headers.idempotency_key;
  call.key_created = headers.key_created;
  call.body = job.body;
  call.content_type = job.content_type;
  call.not_repeatable = headers.not_repeatable;
  return call;
}

}  // namespace

void CallCommand::Handle(RequestExchange& exchange) {
  CallerHeaders headers;
  auto job = MakeJob(exchange, &headers);
  if (!job.ok()) {
    SendError(exchange.response, exchange.id,
              NotRun(job.error().code, job.error().message));
    return;
  }
  if (headers.idempotency_key) {
    SendReply(exchange.response, keyed_.Run(ToForwardCall(job.value(), headers),
                                            job.value().deadline, {}));
    return;
  }
  context_.journal.Begin(exchange.id, job.value().account,
                         job.value().service->name, exchange.received);
  const PlainOutcome outcome = dispatcher_.Run(job.value());
  if (outcome.error) {
    SendError(exchange.response, exchange.id, *outcome.error);
    return;
  }
  SendText(exchange.response, outcome.answer.status,
           outcome.answer.content_type, outcome.answer.body);
}

Result<PlainJob> CallCommand::MakeJob(RequestExchange& exchange,
                                      CallerHeaders* headers) {
  auto caller = IdentifyCaller(context_, exchange);
  if (!caller.ok())
    return caller.error();
  *headers = caller.value().headers;
  const auto service =
      AllowedService(caller.value(), ServiceName(exchange.path_arguments.at(0)),
                     ServiceKind::kPlain);
  if (!service.ok())
    return service.error();
  auto body = ReadBody(exchange, context_.settings.max_body_bytes);
  if (!body.ok())
    return body.error();
  PlainJob job;
  job.id = exchange.id;
  job.account = caller.value().account->id;
  job.config = caller.value().config;
  job.service = service.value();
  job.body = std::move(body).value();
  job.content_type = exchange.request.getContentType();
  job.repeatable =
      service.value()->idempotent && !caller.value().headers.not_repeatable;
  job.deadline = caller.value().headers.deadline;
  return job;
}

}  // namespace carobshift
