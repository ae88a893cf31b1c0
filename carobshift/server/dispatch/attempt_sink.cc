#include "carobshift/server/dispatch/attempt_sink.h"

#include <utility>

namespace carobshift {

AttemptSink::AttemptSink(AttemptNumber attempt,
                         StreamAssembler& assembler,
                         AnswerWriter& writer,
                         GenerateUsage& usage,
                         std::function<void()> on_first_token)
    : attempt_(attempt),
      assembler_(assembler),
      writer_(writer),
      usage_(usage),
      on_first_token_(std::move(on_first_token)) {}

bool AttemptSink::ShouldContinue(FrameVerdict verdict) {
  abandoned_ = abandoned_ || verdict == FrameVerdict::kAbandonAttempt;
  return !abandoned_;
}

bool AttemptSink::OnStart(const GenerateStart& start) {
  start_ = start;
  const bool first_start = assembler_.delivered().empty();
  if (!ShouldContinue(assembler_.OnStart(attempt_, start.version)))
    return false;
  // A resumed attempt prefills the delivered tokens again; the usage reported
  // to the caller counts the prompt once.
  if (first_start) {
    usage_.version = start.version;
    usage_.prompt_tokens = start.prompt_tokens;
    usage_.cached_tokens = start.cached_tokens;
    usage_.imported_tokens = start.imported_tokens;
  }
  caller_disconnected_ = writer_.CallerDisconnected();
  return !caller_disconnected_;
}

bool AttemptSink::OnToken(Tokens index, std::string_view text) {
  const bool first_token = assembler_.delivered().empty();
  const FrameVerdict verdict = assembler_.OnToken(attempt_, index, text);
  if (verdict != FrameVerdict::kDeliver)
    return ShouldContinue(verdict);
  if (first_token)
    on_first_token_();
  caller_disconnected_ = !writer_.WriteToken(text);
  return !caller_disconnected_;
}

bool AttemptSink::OnEnd(const GenerateEnd& end) {
  const FrameVerdict verdict = assembler_.OnEnd(attempt_, end.total_tokens);
  if (verdict == FrameVerdict::kComplete) {
    usage_.completion_tokens = end.total_tokens;
    usage_.finish_reason = end.finish_reason;
  }
  return ShouldContinue(verdict);
}

}  // namespace carobshift
