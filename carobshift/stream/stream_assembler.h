// Puts the frames of several attempts at one request together into one whole
// answer for its caller.
//
//   StreamAssembler assembler(wanted_version);
//   FrameVerdict verdict = assembler.OnToken(attempt, index, text);
//   if (verdict == FrameVerdict::kDeliver) writer.Write(text);
//
// After an endpoint dies mid-answer, another attempt goes on where the caller
// stands, while frames of the first may still arrive late or twice. Without
// the checks here a caller would see tokens doubled, missing or of another
// weight version. The answer counts as whole only when an end frame's count
// equals the tokens delivered.
//
// Thread-compatible: one request's owner uses it.

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
  // The next token: pass it on to the caller.
  kDeliver,
  // A duplicate, or a frame of an attempt that was given up: ignore it.
  kDrop,
  // The attempt can't go on: a token is missing, the version is not the one
  // the answer was begun with, or the count at the end is wrong.
  kAbandonAttempt,
  // The answer is whole.
  kComplete,
};

// Each value removes one check; tests use it to show that they would notice.
enum class StreamMutation {
  kNone,
  kAcceptForeignAttempt,
  kAcceptGap,
  kAcceptDuplicate,
  kAcceptVersionChange,
  kAcceptShortEnd,
};

class StreamAssembler {
 public:
  explicit StreamAssembler(WeightVersion wanted,
                           StreamMutation mutation = StreamMutation::kNone);

  // Frames of earlier attempts are dropped from here on.
  void BeginAttempt(AttemptNumber attempt);

  // kDeliver stands for "go on" here.
  [[nodiscard]] FrameVerdict OnStart(AttemptNumber attempt,
                                     const WeightVersion& version);
  [[nodiscard]] FrameVerdict OnToken(AttemptNumber attempt,
                                     Tokens index,
                                     std::string_view text);
  [[nodiscard]] FrameVerdict OnEnd(AttemptNumber attempt, Tokens total);

  // What the caller has got so far; a later attempt resumes after it.
  [[nodiscard]] const std::vector<std::string>& delivered() const {
    return delivered_;
  }
  // The version an attempt must run. Fixed once a token was delivered.
  [[nodiscard]] const WeightVersion& version() const { return version_; }
  // Changes the version for attempts to come. False, without effect, once a
  // token was delivered: one answer is never of two versions.
  [[nodiscard]] bool ChangeVersion(WeightVersion version);
  [[nodiscard]] bool complete() const { return complete_; }

 private:
  [[nodiscard]] bool IsForeign(AttemptNumber attempt) const;

  WeightVersion version_;
  StreamMutation mutation_;
  AttemptNumber current_{0};
  bool started_ = false;
  bool complete_ = false;
  std::vector<std::string> delivered_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_STREAM_STREAM_ASSEMBLER_H_
