#include "carobshift/server/commands/completion_format.h"

namespace carobshift {
namespace {

using nlohmann::json;

Error BadField(const std::string& field, const std::string& expected) {
  return {ResultCode::kMalformedRequest,
          "field " + field + ": expected " + expected};
}

Result<std::string> TextPrompt(const json& body) {
  const auto it = body.find("prompt");
  if (it == body.end() || !it->is_string() ||
      it->get_ref<const std::string&>().empty()) {
    return BadField("prompt", "text, not empty");
  }
  return it->get<std::string>();
}

// The prompt includes the roles, so a conversation that grows by messages keeps
// its earlier text as a prefix and can reuse its cached blocks.
Result<std::string> ChatPrompt(const json& body) {
  const auto it = body.find("messages");
  if (it == body.end() || !it->is_array() || it->empty())
    return BadField("messages", "a list of messages, not empty");
  std::string prompt;
  for (std::size_t i = 0; i < it->size(); ++i) {
    const json& message = (*it)[i];
    const std::string at = "messages[" + std::to_string(i) + "]";
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string()) {
      return BadField(at + ".role", "text");
    }
    if (!message.contains("content") || !message["content"].is_string())
      return BadField(at + ".content", "text");
    prompt += message["role"].get<std::string>() + ": " +
              message["content"].get<std::string>() + "\n";
  }
  return prompt + "assistant: ";
}

json Envelope(const AnswerMeta& meta, const char* object, json choice) {
  return {{"id", meta.id.value()},
          {"object", object},
          {"created", meta.created_seconds},
          {"model", meta.service.value()},
          {"choices", json::array({std::move(choice)})}};
}

json Usage(const GenerateUsage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.completion_tokens},
          {"total_tokens", usage.prompt_tokens + usage.completion_tokens},
          {"prompt_tokens_details",
           {{"cached_tokens", usage.cached_tokens},
            {"imported_tokens", usage.imported_tokens}}}};
}

json WithUsage(json answer, const GenerateUsage& usage) {
  answer["usage"] = Usage(usage);
  answer["weight_version"] = usage.version.value();
  return answer;
}

json TextChunk(const AnswerMeta& meta, std::string_view text) {
  return Envelope(meta, "text_completion",
                  {{"index", 0}, {"text", text}, {"finish_reason", nullptr}});
}

json TextFinal(const AnswerMeta& meta, const GenerateUsage& usage) {
  json choice = {
      {"index", 0}, {"text", ""}, {"finish_reason", usage.finish_reason}};
  return WithUsage(Envelope(meta, "text_completion", std::move(choice)), usage);
}

json TextWhole(const AnswerMeta& meta,
               const std::string& text,
               const GenerateUsage& usage) {
  json choice = {
      {"index", 0}, {"text", text}, {"finish_reason", usage.finish_reason}};
  return WithUsage(Envelope(meta, "text_completion", std::move(choice)), usage);
}

json ChatChunk(const AnswerMeta& meta, std::string_view text) {
  json choice = {
      {"index", 0}, {"delta", {{"content", text}}}, {"finish_reason", nullptr}};
  return Envelope(meta, "chat.completion.chunk", std::move(choice));
}

json ChatFinal(const AnswerMeta& meta, const GenerateUsage& usage) {
  json choice = {{"index", 0},
                 {"delta", json::object()},
                 {"finish_reason", usage.finish_reason}};
  return WithUsage(Envelope(meta, "chat.completion.chunk", std::move(choice)),
                   usage);
}

json ChatWhole(const AnswerMeta& meta,
               const std::string& text,
               const GenerateUsage& usage) {
  json choice = {{"index", 0},
                 {"message", {{"role", "assistant"}, {"content", text}}},
                 {"finish_reason", usage.finish_reason}};
  return WithUsage(Envelope(meta, "chat.completion", std::move(choice)), usage);
}

Status ReadModel(const json& body, CompletionBody& out) {
  const auto it = body.find("model");
  if (it == body.end() || !it->is_string())
    return BadField("model", "the name of a service");
  const auto name = it->get<std::string>();
  const std::size_t colon = name.find(':');
  out.service = ServiceName(name.substr(0, colon));
  if (colon != std::string::npos)
    out.adapter = AdapterName(name.substr(colon + 1));
  return {};
}

Status ReadOptions(const json& body, CompletionBody& out) {
  if (const auto it = body.find("max_tokens"); it != body.end()) {
    if (!it->is_number_integer() || it->get<std::int64_t>() < 1)
      return BadField("max_tokens", "a whole number from 1 on");
    out.max_tokens = it->get<std::int64_t>();
  }
  if (const auto it = body.find("stream"); it != body.end()) {
    if (!it->is_boolean())
      return BadField("stream", "true or false");
    out.stream = it->get<bool>();
  }
  return {};
}

}  // namespace

const CompletionFormat& TextFormat() {
  static constexpr CompletionFormat kFormat = {TextPrompt, TextChunk, TextFinal,
                                               TextWhole};
  return kFormat;
}

const CompletionFormat& ChatFormat() {
  static constexpr CompletionFormat kFormat = {ChatPrompt, ChatChunk, ChatFinal,
                                               ChatWhole};
  return kFormat;
}

Result<CompletionBody> ParseCompletionBody(const CompletionFormat& format,
                                           const std::string& text) {
  json body;
  try {
    body = json::parse(text);
  } catch (const json::parse_error& e) {
    return Error{ResultCode::kMalformedRequest,
                 std::string("the body is no JSON: ") + e.what()};
  }
  if (!body.is_object())
    return Error{ResultCode::kMalformedRequest, "the body is no JSON object"};
  CompletionBody out;
  Status status = ReadModel(body, out);
  if (status.ok())
    status = ReadOptions(body, out);
  if (!status.ok())
    return status.error();
  auto prompt = format.prompt(body);
  if (!prompt.ok())
    return prompt.error();
  out.prompt = std::move(prompt).value();
  return out;
}

}  // namespace carobshift
