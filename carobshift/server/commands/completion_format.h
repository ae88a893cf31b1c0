// The two request and answer formats of completions, plain text and chat, with
// the field names of the OpenAI interface.
//
//   const CompletionFormat& format = ChatFormat();
//   Result<CompletionBody> body = ParseCompletionBody(format, text);
//   out << format.chunk(meta, token);

#ifndef CAROBSHIFT_SERVER_COMMANDS_COMPLETION_FORMAT_H_
#define CAROBSHIFT_SERVER_COMMANDS_COMPLETION_FORMAT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "carobshift/base/ids.h"
#include "carobshift/base/result.h"
#include "carobshift/server/dispatch/generate_job.h"

namespace carobshift {

struct CompletionBody {
  ServiceName service;
  AdapterName adapter;
  std::string prompt;
  Tokens max_tokens = 256;
  bool stream = false;
};

// Fields that every object of one answer repeats.
struct AnswerMeta {
  RequestId id;
  ServiceName service;
  std::int64_t created_seconds = 0;
};

// One format, as a table of functions.
struct CompletionFormat {
  // Extracts the prompt from the parsed body.
  Result<std::string> (*prompt)(const nlohmann::json& body);
  // Builds the object for one streamed token.
  nlohmann::json (*chunk)(const AnswerMeta& meta, std::string_view text);
  // Builds the last streamed object, with the token counts.
  nlohmann::json (*final_chunk)(const AnswerMeta& meta,
                                const GenerateUsage& usage);
  // Builds the object for an answer that is not streamed.
  nlohmann::json (*whole)(const AnswerMeta& meta,
                          const std::string& text,
                          const GenerateUsage& usage);
};

[[nodiscard]] const CompletionFormat& TextFormat();
[[nodiscard]] const CompletionFormat& ChatFormat();

// Parses a request body. The "model" field names the service, optionally
// followed by a colon and an adapter. The message of kMalformedRequest names
// the field and the expected value, or the line and column if the text is not
// valid JSON.
[[nodiscard]] Result<CompletionBody> ParseCompletionBody(
    const CompletionFormat& format,
    const std::string& text);

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_COMMANDS_COMPLETION_FORMAT_H_
