#include "carobshift/server/commands/completion_job.h"

#include <algorithm>
#include <utility>

namespace carobshift {

Result<CompletionTask> MakeCompletionTask(const CallerIdentity& caller,
                                          const CompletionFormat& format,
                                          const std::string& text) {
  auto body = ParseCompletionBody(format, text);
  if (!body.ok())
    return body.error();
  const auto service =
      AllowedService(caller, body.value().service, ServiceKind::kModel);
  if (!service.ok())
    return service.error();
  const ServiceSpec& spec = *service.value();
  const AdapterName& adapter = body.value().adapter;
  const bool adapter_declared =
      adapter.value().empty() ||
      std::ranges::find(spec.adapters, adapter) != spec.adapters.end();
  if (!adapter_declared) {
    return Error{
        ResultCode::kUnknownService,
        "service " + spec.name.value() + " has no adapter " + adapter.value()};
  }
  CompletionTask task;
  task.stream = body.value().stream;
  GenerateJob& job = task.job;
  job.account = caller.account->id;
  job.conversation = caller.headers.conversation;
  job.config = caller.config;
  job.service = &spec;
  job.adapter = adapter;
  job.prompt = std::move(body.value().prompt);
  job.max_tokens = std::min(body.value().max_tokens, spec.max_output_tokens);
  job.priority = caller.headers.priority;
  job.repeatable = !caller.headers.not_repeatable;
  return task;
}

AnswerMeta MetaOf(const GenerateJob& job) {
  return {job.id, job.service->name,
          std::chrono::floor<Seconds>(WallNow()).time_since_epoch().count()};
}

std::string DumpJson(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string EventText(const nlohmann::json& value) {
  return "data: " + DumpJson(value) + "\n\n";
}

std::string FinalEvents(const CompletionFormat& format,
                        const AnswerMeta& meta,
                        const GenerateUsage& usage) {
  return EventText(format.final_chunk(meta, usage)) + "data: [DONE]\n\n";
}

}  // namespace carobshift
