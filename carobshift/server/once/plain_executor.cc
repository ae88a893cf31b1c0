#include "carobshift/server/once/plain_executor.h"

#include <utility>

namespace carobshift {

FinalAnswer PlainExecutor::Execute(const ForwardCall& call,
                                   MonotonicTime deadline,
                                   const DispatchGate& gate,
                                   const LiveEvents&) {
  PlainJob job;
  job.id = call.request;
  job.account = call.account;
  job.config = context_.config.current();
  // The entry that received the request may have another configuration.
  const bool known =
      job.config && job.config->declaration.FindAccount(call.account);
  if (known)
    job.service = job.config->declaration.FindService(call.service);
  if (job.service == nullptr || job.service->kind != ServiceKind::kPlain)
    return ErrorAnswer(call.request,
                       NotRun(ResultCode::kUnknownService,
                              "the service is not known at the key's entry"));
  job.body = call.body;
  job.content_type = call.content_type;
  job.repeatable = job.service->idempotent && !call.not_repeatable;
  job.deadline = deadline;
  job.gate = gate;
  context_.journal.Begin(job.id, job.account, job.service->name,
                         MonotonicNow());
  PlainOutcome outcome = dispatcher_.Run(job);
  if (outcome.error)
    return ErrorAnswer(call.request, *outcome.error);
  FinalAnswer answer;
  answer.state = RunState::kRan;
  answer.http_status = outcome.answer.status;
  answer.content_type = std::move(outcome.answer.content_type);
  answer.body = std::move(outcome.answer.body);
  return answer;
}

}  // namespace carobshift
