#include "carobshift/stream/stream_assembler.h"

#include <utility>

namespace carobshift {

StreamAssembler::StreamAssembler(WeightVersion wanted, StreamMutation mutation)
    : version_(std::move(wanted)), mutation_(mutation) {}

void StreamAssembler::BeginAttempt(AttemptNumber attempt) {
  current_ = attempt;
  started_ = false;
}

bool StreamAssembler::IsStaleAttempt(AttemptNumber attempt) const {
  if (complete_)
    return true;
  if (mutation_ == StreamMutation::kAcceptStaleAttempt)
    return false;
  return attempt != current_;
}

FrameVerdict StreamAssembler::OnStart(AttemptNumber attempt,
                                      const WeightVersion& version) {
  if (IsStaleAttempt(attempt))
    return FrameVerdict::kDrop;
  if (version != version_ &&
      mutation_ != StreamMutation::kAcceptVersionChange) {
    return FrameVerdict::kAbandonAttempt;
  }
  started_ = true;
  return FrameVerdict::kDeliver;
}

FrameVerdict StreamAssembler::OnToken(AttemptNumber attempt,
                                      Tokens index,
                                      std::string_view text) {
  if (IsStaleAttempt(attempt))
    return FrameVerdict::kDrop;
  // Without a start frame the weight version of the token is unknown.
  if (!started_ && mutation_ != StreamMutation::kAcceptStaleAttempt)
    return FrameVerdict::kAbandonAttempt;
  const auto next = static_cast<Tokens>(delivered_.size());
  if (index < next && mutation_ != StreamMutation::kAcceptDuplicate)
    return FrameVerdict::kDrop;
  if (index > next && mutation_ != StreamMutation::kAcceptGap)
    return FrameVerdict::kAbandonAttempt;
  delivered_.emplace_back(text);
  return FrameVerdict::kDeliver;
}

FrameVerdict StreamAssembler::OnEnd(AttemptNumber attempt, Tokens total) {
  if (IsStaleAttempt(attempt))
    return FrameVerdict::kDrop;
  const bool whole =
      started_ && total == static_cast<Tokens>(delivered_.size());
  if (!whole && mutation_ != StreamMutation::kAcceptShortEnd)
    return FrameVerdict::kAbandonAttempt;
  complete_ = true;
  return FrameVerdict::kComplete;
}

bool StreamAssembler::ChangeVersion(WeightVersion version) {
  if (!delivered_.empty())
    return version == version_;
  version_ = std::move(version);
  return true;
}

}  // namespace carobshift
