#include "carobshift/external/internal/engine_stream.h"

#include <string>
#include <utility>

namespace carobshift {
namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDone = "[DONE]";

}  // namespace

bool EngineStream::OnLine(std::string_view line) {
  // Blank lines separate events; lines that start with a colon are comments.
  if (!line.starts_with(kDataPrefix))
    return true;
  line.remove_prefix(kDataPrefix.size());
  if (line == kDone)
    return true;
  try {
    return OnEvent(nlohmann::json::parse(line));
  } catch (const nlohmann::json::exception&) {
    return Fail(ResultCode::kEndpointFailed, "malformed event");
  }
}

bool EngineStream::OnEvent(const nlohmann::json& event) {
  if (ended_)
    return Fail(ResultCode::kEndpointFailed, "event after the final one");
  if (const auto start = event.find("start"); start != event.end())
    return OnStart(*start);
  if (event.contains("error"))
    return Fail(ResultCode::kEndpointFailed, "engine broke off the run");
  return OnChoice(event);
}

bool EngineStream::OnStart(const nlohmann::json& start) {
  GenerateStart value;
  value.version = WeightVersion(start.at("version").get<std::string>());
  value.prompt_tokens = start.at("prompt_tokens").get<Tokens>();
  value.cached_tokens = start.at("cached_tokens").get<Tokens>();
  value.imported_tokens = start.at("imported_tokens").get<Tokens>();
  return sink_.OnStart(value);
}

bool EngineStream::OnChoice(const nlohmann::json& event) {
  const nlohmann::json& choice = event.at("choices").at(0);
  const auto reason = choice.find("finish_reason");
  if (reason == choice.end() || reason->is_null()) {
    return sink_.OnToken(event.at("token_index").get<Tokens>(),
                         choice.at("text").get_ref<const std::string&>());
  }
  GenerateEnd end;
  end.total_tokens = event.at("usage").at("completion_tokens").get<Tokens>();
  end.finish_reason = reason->get<std::string>();
  ended_ = true;
  return sink_.OnEnd(end);
}

bool EngineStream::Fail(ResultCode code, std::string message) {
  error_ = Error{code, std::move(message)};
  return false;
}

}  // namespace carobshift
