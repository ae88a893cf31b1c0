#include "carobshift/server/commands/complete_command.h"

#include <algorithm>
#include <ostream>
#include <utility>

#include "carobshift/server/http/caller_error.h"

namespace carobshift {
namespace {

AnswerMeta MetaOf(const GenerateJob& job) {
  return {job.id, job.service->name,
          std::chrono::floor<Seconds>(WallNow()).time_since_epoch().count()};
}

std::string Dump(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Collects a whole answer.
class WholeWriter : public AnswerWriter {
 public:
  explicit WholeWriter(RequestExchange& exchange) : exchange_(exchange) {}

  bool WriteToken(std::string_view text) override {
    text_ += text;
    return !CallerIsGone();
  }
  bool CallerIsGone() override {
    return carobshift::CallerIsGone(exchange_.request);
  }
  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  RequestExchange& exchange_;
  std::string text_;
};

// Writes server-sent events. The response begins with the first token, so a
// request that fails before it still gets a proper HTTP status.
class StreamWriter : public AnswerWriter {
 public:
  StreamWriter(RequestExchange& exchange,
               const CompletionFormat& format,
               AnswerMeta meta)
      : exchange_(exchange), format_(format), meta_(std::move(meta)) {}

  bool WriteToken(std::string_view text) override {
    return WriteEvent("data: " + Dump(format_.chunk(meta_, text)) + "\n\n");
  }
  bool CallerIsGone() override {
    return carobshift::CallerIsGone(exchange_.request);
  }
  // The final frame with the token count, then the end mark. A stream without
  // them is not whole.
  void WriteFinal(const GenerateUsage& usage) {
    WriteEvent("data: " + Dump(format_.final_chunk(meta_, usage)) +
               "\n\ndata: [DONE]\n\n");
  }
  void WriteError(const CallerError& error) {
    WriteEvent("event: error\ndata: " + Dump(ErrorBody(meta_.id, error)) +
               "\n\n");
  }
  [[nodiscard]] bool begun() const { return out_ != nullptr; }

 private:
  bool WriteEvent(const std::string& event) {
    if (out_ == nullptr)
      Begin();
    out_->write(event.data(), static_cast<std::streamsize>(event.size()));
    out_->flush();
    return out_->good();
  }
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
  bool stream = false;
  auto job = MakeJob(exchange, stream);
  if (!job.ok()) {
    SendError(exchange.response, exchange.id,
              NotRun(job.error().code, job.error().message));
    return;
  }
  context_.journal.Begin(exchange.id, job.value().account,
                         job.value().service->name, exchange.received);
  if (stream) {
    AnswerStream(exchange, job.value());
  } else {
    AnswerWhole(exchange, job.value());
  }
}

Result<GenerateJob> CompleteCommand::MakeJob(RequestExchange& exchange,
                                             bool& stream) {
  auto caller = IdentifyCaller(context_, exchange);
  if (!caller.ok())
    return caller.error();
  auto text = ReadBody(exchange.request, context_.settings.max_body_bytes);
  if (!text.ok())
    return text.error();
  auto body = ParseCompletionBody(format_, text.value());
  if (!body.ok())
    return body.error();
  const auto service =
      AllowedService(caller.value(), body.value().service, ServiceKind::kModel);
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
  stream = body.value().stream;
  GenerateJob job;
  job.id = exchange.id;
  job.account = caller.value().account->id;
  job.conversation = caller.value().headers.conversation;
  job.config = caller.value().config;
  job.service = &spec;
  job.adapter = adapter;
  job.prompt = std::move(body.value().prompt);
  job.max_tokens = std::min(body.value().max_tokens, spec.max_output_tokens);
  job.priority = caller.value().headers.priority;
  job.repeatable = !caller.value().headers.not_repeatable;
  job.received = exchange.received;
  job.deadline = caller.value().headers.deadline;
  return job;
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
