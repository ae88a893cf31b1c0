// Passes the token stream of one attempt through the stream assembler to the
// caller.
//
//   AttemptSink sink(attempt, assembler, writer, usage, on_first_token);
//   Status status = engines.Generate(address, request, sink);

#ifndef CAROBSHIFT_SERVER_DISPATCH_ATTEMPT_SINK_H_
#define CAROBSHIFT_SERVER_DISPATCH_ATTEMPT_SINK_H_

#include <functional>
#include <optional>
#include <string_view>

#include "carobshift/external/engine.h"
#include "carobshift/server/dispatch/generate_job.h"
#include "carobshift/stream/stream_assembler.h"

namespace carobshift {

class AttemptSink : public TokenSink {
 public:
  // All references must outlive the sink; `on_first_token` is called before
  // the answer's first token is written.
  AttemptSink(AttemptNumber attempt,
              StreamAssembler& assembler,
              AnswerWriter& writer,
              GenerateUsage& usage,
              std::function<void()> on_first_token);

  bool OnStart(const GenerateStart& start) override;
  bool OnToken(Tokens index, std::string_view text) override;
  bool OnEnd(const GenerateEnd& end) override;

  [[nodiscard]] bool caller_disconnected() const {
    return caller_disconnected_;
  }
  // True if the assembler abandoned the attempt because its frames did not
  // continue the answer; see StreamAssembler.
  [[nodiscard]] bool abandoned() const { return abandoned_; }
  // True once the engine has begun to answer.
  [[nodiscard]] bool started() const { return start_.has_value(); }
  // The engine's start frame; empty until it arrives.
  [[nodiscard]] const std::optional<GenerateStart>& start() const {
    return start_;
  }

 private:
  bool ShouldContinue(FrameVerdict verdict);

  const AttemptNumber attempt_;
  StreamAssembler& assembler_;
  AnswerWriter& writer_;
  GenerateUsage& usage_;
  std::function<void()> on_first_token_;
  bool caller_disconnected_ = false;
  bool abandoned_ = false;
  std::optional<GenerateStart> start_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_DISPATCH_ATTEMPT_SINK_H_
