#include "carobshift/server/commands/completion_executor.h"

#include <string>
#include <utility>

namespace carobshift {
namespace {

// Collects the text of an answer. Ignores a disconnected caller: the run
// continues, because the answer is stored for a repeated request.
class TextWriter : public AnswerWriter {
 public:
  bool WriteToken(std::string_view text) override {
    text_ += text;
    return true;
  }
  bool CallerDisconnected() override { return false; }
  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  std::string text_;
};

// Collects the events of an answer and forwards each as it is produced.
class EventWriter : public AnswerWriter {
 public:
  EventWriter(const CompletionFormat& format,
              AnswerMeta meta,
              const LiveEvents& live)
      : format_(format), meta_(std::move(meta)), live_(live) {}

  bool WriteToken(std::string_view text) override {
    Add(EventText(format_.chunk(meta_, text)));
    return true;
  }
  bool CallerDisconnected() override { return false; }
  void Add(const std::string& event) {
    events_ += event;
    if (live_)
      live_(event);
  }
  [[nodiscard]] const std::string& events() const { return events_; }

 private:
  const CompletionFormat& format_;
  AnswerMeta meta_;
  const LiveEvents& live_;
  std::string events_;
};

FinalAnswer CompletedAnswer(std::string content_type, std::string body) {
  FinalAnswer answer;
  answer.state = RunState::kRan;
  answer.content_type = std::move(content_type);
  answer.body = std::move(body);
  return answer;
}

}  // namespace

FinalAnswer CompletionExecutor::Execute(const ForwardCall& call,
                                        MonotonicTime deadline,
                                        const DispatchGate& gate,
                                        const LiveEvents& live) {
  auto task = MakeTask(call);
  if (!task.ok())
    return ErrorAnswer(call.request,
                       NotRun(task.error().code, task.error().message));
  GenerateJob& job = task.value().job;
  job.id = call.request;
  job.received = MonotonicNow();
  job.deadline = deadline;
  job.gate = gate;
  context_.journal.Begin(job.id, job.account, job.service->name, job.received);
  return task.value().stream ? RunStream(job, live) : RunWhole(job);
}

Result<CompletionTask> CompletionExecutor::MakeTask(
    const ForwardCall& call) const {
  CallerIdentity caller;
  caller.config = context_.config.current();
  // The entry that received the request may have another configuration.
  if (caller.config)
    caller.account = caller.config->declaration.FindAccount(call.account);
  if (caller.account == nullptr)
    return Error{ResultCode::kUnauthenticated,
                 "the client account is not known at the key's entry"};
  if (!call.conversation.value().empty())
    caller.headers.conversation = call.conversation;
  if (call.priority <= static_cast<std::uint8_t>(PriorityClass::kLow))
    caller.headers.priority = static_cast<PriorityClass>(call.priority);
  caller.headers.not_repeatable = call.not_repeatable;
  return MakeCompletionTask(caller, format_, call.body);
}

FinalAnswer CompletionExecutor::RunWhole(const GenerateJob& job) {
  TextWriter writer;
  const GenerateOutcome outcome = dispatcher_.Run(job, writer);
  if (outcome.error)
    return ErrorAnswer(job.id, *outcome.error);
  return CompletedAnswer(
      "application/json",
      DumpJson(format_.whole(MetaOf(job), writer.text(), outcome.usage)));
}

FinalAnswer CompletionExecutor::RunStream(const GenerateJob& job,
                                          const LiveEvents& live) {
  const AnswerMeta meta = MetaOf(job);
  EventWriter writer(format_, meta, live);
  const GenerateOutcome outcome = dispatcher_.Run(job, writer);
  if (outcome.error && writer.events().empty())
    return ErrorAnswer(job.id, *outcome.error);
  if (outcome.error)
    writer.Add("event: error\n" + EventText(ErrorBody(job.id, *outcome.error)));
  else
    writer.Add(FinalEvents(format_, meta, outcome.usage));
  return CompletedAnswer("text/event-stream", writer.events());
}

}  // namespace carobshift
