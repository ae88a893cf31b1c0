// EngineStream converts the server-sent events of one engine run into calls of
// a TokenSink.
//
//   EngineStream stream(sink);
//   http.Stream(call, [&](std::string_view line) {
//     return stream.OnLine(line);
//   });
//   if (!stream.ended()) ...

#ifndef CAROBSHIFT_EXTERNAL_INTERNAL_ENGINE_STREAM_H_
#define CAROBSHIFT_EXTERNAL_INTERNAL_ENGINE_STREAM_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "carobshift/base/result.h"
#include "carobshift/external/engine.h"

namespace carobshift {

// Not thread-safe. Use one object for each run.
class EngineStream {
 public:
  explicit EngineStream(TokenSink& sink) : sink_(sink) {}

  // Handles one line. Returns false to stop the stream, because the sink
  // returned false or because the line is malformed (`error()` is then set).
  [[nodiscard]] bool OnLine(std::string_view line);

  // Whether the final event has been passed to the sink.
  [[nodiscard]] bool ended() const { return ended_; }
  [[nodiscard]] const std::optional<Error>& error() const { return error_; }

 private:
  // Throws nlohmann::json::exception for a missing field.
  bool OnEvent(const nlohmann::json& event);
  bool OnStart(const nlohmann::json& start);
  bool OnChoice(const nlohmann::json& event);
  bool Fail(ResultCode code, std::string message);

  TokenSink& sink_;
  bool ended_ = false;
  std::optional<Error> error_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_EXTERNAL_INTERNAL_ENGINE_STREAM_H_
