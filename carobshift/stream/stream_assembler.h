// Assembles the frames of several attempts at one request into one complete
// answer for its caller.
//
//   StreamAssembler assembler(wanted_version);
//   FrameVerdict verdict = assembler.OnToken(attempt, index, text);
//   if (verdict == FrameVerdict::kDeliver) writer.Write(text);
//
// After an endpoint dies during an answer, another attempt resumes after the
// last delivered token, while frames of the first may still arrive late or
// twice. Without the checks here a caller would receive duplicate or missing
// tokens, or tokens of another weight version. The answer is complete only when
// the count in an end frame equals the number of tokens delivered.
//
// Thread-compatible: used by the owner of one request.

#ifndef CAROBSHIFT_STREAM_STREAM_ASSEMBLER_H_
#define CAROBSHIFT_STREAM_STREAM_ASSEMBLER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

enum class FrameVerdict {
  // The next token: forward it to the caller.
  kDeliver,
  // A duplicate, or a frame of an earlier attempt: ignore it.
  kDrop,
  // The attempt can't continue: a token is missing, the weight version differs
  // from the one the answer started with, or the count in the end frame is
  // wrong.
  kAbandonAttempt,
  // The answer is complete.
  kComplete,
};

// Each value disables one check; tests use it to show that they detect its
// absence.
enum class StreamMutation {
  kNone,
  kAcceptStaleAttempt,
  kAcceptGap,
  kAcceptDuplicate,
  kAcceptVersionChange,
  kAcceptShortEnd,
};

class StreamAssembler {
 public:
  explicit StreamAssembler(WeightVersion wanted,
                           StreamMutation mutation = StreamMutation::kNone);

  // Starts an attempt. Frames of earlier attempts are dropped from now on.
  void BeginAttempt(AttemptNumber attempt);

  // Returns kDeliver if the attempt may continue.
  [[nodiscard]] FrameVerdict OnStart(AttemptNumber attempt,
                                     const WeightVersion& version);
  [[nodiscard]] FrameVerdict OnToken(AttemptNumber attempt,
                                     Tokens index,
                                     std::string_view text);
  [[nodiscard]] FrameVerdict OnEnd(AttemptNumber attempt, Tokens total);

  // Tokens delivered to the caller so far; a later attempt resumes after them.
  [[nodiscard]] const std::vector<std::string>& delivered() const {
    return delivered_;
  }
  // The weight version that an attempt must run. Fixed after the first
  // delivered token.
  [[nodiscard]] const WeightVersion& version() const { return version_; }
  // Changes the version for later attempts. Returns false without effect after
  // the first delivered token, since one answer must not mix two versions.
  [[nodiscard]] bool ChangeVersion(WeightVersion version);
  [[nodiscard]] bool complete() const { return complete_; }

 private:
  [[nodiscard]] bool IsStaleAttempt(AttemptNumber attempt) const;

  WeightVersion version_;
  StreamMutation mutation_;
  AttemptNumber current_{0};
  bool started_ = false;
  bool complete_ = false;
  std::vector<std::string> delivered_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_STREAM_STREAM_ASSEMBLER_H_
