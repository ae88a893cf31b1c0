// Turns the server-sent events of one engine run into calls of a TokenSink.
//
//   EngineStream stream(sink);
//   http.Stream(call, [&](std::string_view line) { return stream.OnLine(line);
//   }); if (!stream.ended()) ...

#ifndef CAROBSHIFT_EXTERNAL_INTERNAL_ENGINE_STREAM_H_
#define CAROBSHIFT_EXTERNAL_INTERNAL_ENGINE_STREAM_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "carobshift/base/result.h"
#include "carobshift/external/engine.h"

namespace carobshift {

// Not thread-safe; lives as long as one run.
class EngineStream {
 public:
  explicit EngineStream(TokenSink& sink) : sink_(sink) {}

  // Takes one line; false stops the stream, because the sink wants no more or
  // because the line is malformed (then `error()` is set).
  [[nodiscard]] bool OnLine(std::string_view line);

  // The final event has arrived and was taken.
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
