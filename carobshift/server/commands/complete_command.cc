#include "carobshift/server/commands/complete_command.h"

#include <ostream>
#include <utility>

#include "carobshift/server/http/caller_error.h"
#include "carobshift/server/once/send_reply.h"

namespace carobshift {
namespace {

// Collects a whole answer.
class WholeWriter : public AnswerWriter {
 public:
  explicit WholeWriter(RequestExchange& exchange) : exchange_(exchange) {}

  bool WriteToken(std::string_view text) override {
    text_ += text;
    return !CallerDisconnected();
  }
  bool CallerDisconnected() override {
    return carobshift::CallerDisconnected(exchange_.request);
  }
  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  RequestExchange& exchange_;
  std::string text_;
};

// Writes server-sent events. The response begins with the first token, so a
// request that fails earlier still gets a proper HTTP status.
class StreamWriter : public AnswerWriter {
 public:
  StreamWriter(RequestExchange& exchange,
               const CompletionFormat& format,
               AnswerMeta meta)
      : exchange_(exchange), format_(format), meta_(std::move(meta)) {}

  bool WriteToken(std::string_view text) override {
    return WriteEvent(EventText(format_.chunk(meta_, text)));
  }
  bool CallerDisconnected() override {
    return carobshift::CallerDisconnected(exchange_.request);
  }
  void WriteFinal(const GenerateUsage& usage) {
    WriteEvent(FinalEvents(format_, meta_, usage));
  }
  void WriteError(const CallerError& error) {
    WriteEvent("event: error\n" + EventText(ErrorBody(meta_.id, error)));
  }
  bool WriteEvent(const std::string& event) {
    if (out_ == nullptr)
      Begin();
    out_->write(event.data(), static_cast<std::streamsize>(event.size()));
    out_->flush();
    return out_->good();
  }
  [[nodiscard]] bool begun() const { return out_ != nullptr; }

 private:
  void Begin() {
    exchange_.response.setContentType("text/event-stream");
    exchange_.response.set("Cache-Control", "no-store");
    exchange_.response.setChunkedTransferEncoding(true);
    out_ = &exchange_.response.send();
  }

  RequestExchange& exchange_;
  const CompletionFormat& format_;
  AnswerMeta meta_;
  std::ostream* out_ = nullptr;
};

}  // namespace

void CompleteCommand::Handle(RequestExchange& exchange) {
  ForwardedParts keyed;
  const auto task = MakeTask(exchange, &keyed);
  if (!task.ok()) {
    SendError(exchange.response, exchange.id,
              NotRun(task.error().code, task.error().message));
    return;
  }
  if (keyed.headers.idempotency_key) {
    AnswerKeyed(exchange, task.value(), keyed);
    return;
  }
  const GenerateJob& job = task.value().job;
  context_.journal.Begin(exchange.id, job.account, job.service->name,
                         exchange.received);
  if (task.value().stream) {
    AnswerStream(exchange, job);
  } else {
    AnswerWhole(exchange, job);
  }
}

Result<CompletionTask> CompleteCommand::MakeTask(RequestExchange& exchange,
                                                 ForwardedParts* keyed) {
  auto caller = IdentifyCaller(context_, exchange);
  if (!caller.ok())
    return caller.error();
  auto text = ReadBody(exchange, context_.settings.max_body_bytes);
  if (!text.ok())
    return text.error();
  auto task = MakeCompletionTask(caller.value(), format_, text.value());
  if (!task.ok())
    return task;
  GenerateJob& job = task.value().job;
  job.id = exchange.id;
  job.received = exchange.received;
  job.deadline = caller.value().headers.deadline;
  keyed->headers = std::move(caller.value().headers);
  keyed->text = std::move(text).value();
  return task;
}

// If the request runs at this entry, its events are streamed as they are
// produced. Otherwise the whole answer is sent once it is complete.
void CompleteCommand::AnswerKeyed(RequestExchange& exchange,
                                  const CompletionTask& task,
                                  const ForwardedParts& keyed) {
  ForwardCall call;
  call.request = exchange.id;
  call.route = route_;
  call.account = task.job.account;
  call.key = *keyed.headers.idempotency_key;
  call.key_created = keyed.headers.key_created;
  call.body = keyed.text;
  call.priority = static_cast<std::uint8_t>(task.job.priority);
  call.conversation = task.job.conversation.value_or(ConversationId());
  call.not_repeatable = keyed.headers.not_repeatable;
  StreamWriter writer(exchange, format_, MetaOf(task.job));
  const LiveEvents live = [&writer](const std::string& event) {
    writer.WriteEvent(event);
  };
  const CallReply reply =
      keyed_.Run(call, task.job.deadline, task.stream ? live : LiveEvents());
  if (writer.begun())
    exchange.response.setKeepAlive(false);
  else
    SendReply(exchange.response, reply);
}

void CompleteCommand::AnswerWhole(RequestExchange& exchange,
                                  const GenerateJob& job) {
  WholeWriter writer(exchange);
  const GenerateOutcome outcome = dispatcher_.Run(job, writer);
  if (outcome.error) {
    SendError(exchange.response, exchange.id, *outcome.error);
    return;
  }
  SendJson(exchange.response, 200,
           format_.whole(MetaOf(job), writer.text(), outcome.usage));
}

void CompleteCommand::AnswerStream(RequestExchange& exchange,
                                   const GenerateJob& job) {
  StreamWriter writer(exchange, format_, MetaOf(job));
  const GenerateOutcome outcome = dispatcher_.Run(job, writer);
  if (!outcome.error) {
    writer.WriteFinal(outcome.usage);
  } else if (writer.begun()) {
    writer.WriteError(*outcome.error);
    exchange.response.setKeepAlive(false);
  } else {
    SendError(exchange.response, exchange.id, *outcome.error);
  }
}

}  // namespace carobshift
