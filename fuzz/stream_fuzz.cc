// Fuzzes the assembly of one answer from several attempts at engines that
// crash, resume, duplicate, lose and delay frames, and run different weight
// versions. The oracle knows the correct answer of each version.

#include <rapidcheck/catch.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "carobshift/stream/stream_assembler.h"
#include "fuzz/simulation.h"

namespace carobshift {
namespace {

constexpr std::uint64_t kMutationSeeds = 300;
constexpr std::uint32_t kMaxAttempts = 5;

struct Frame {
  enum class Kind { kStart, kToken, kEnd } kind = Kind::kStart;
  AttemptNumber attempt;
  WeightVersion version;
  Tokens index = 0;
  std::string text;
};

std::string CorrectToken(const WeightVersion& version, Tokens index) {
  return version.value() + "/" + std::to_string(index);
}

class World {
 public:
  World(std::uint64_t seed, StreamMutation mutation)
      : random_(seed),
        length_(static_cast<Tokens>(random_.Below(6))),
        assembler_(Version(0), mutation) {}

  std::vector<std::string> Run() {
    for (std::uint32_t n = 1; n <= kMaxAttempts && !assembler_.complete(); ++n)
      RunAttempt(AttemptNumber(n));
    CheckAnswer();
    return violations_;
  }

 private:
  static WeightVersion Version(std::uint64_t n) {
    return WeightVersion(n == 0 ? "old" : "new");
  }

  // The frames of an engine of some version that resumes at the caller's
  // position; it may crash after any frame.
  std::vector<Frame> FramesOf(AttemptNumber attempt) {
    const WeightVersion version = Version(random_.Below(2));
    std::vector<Frame> frames = {
        {Frame::Kind::kStart, attempt, version, 0, ""}};
    const auto from = static_cast<Tokens>(assembler_.delivered().size());
    for (Tokens i = from; i < length_; ++i) {
      frames.push_back(
          {Frame::Kind::kToken, attempt, version, i, CorrectToken(version, i)});
    }
    frames.push_back({Frame::Kind::kEnd, attempt, version, length_, ""});
    frames.resize(1 + random_.Below(frames.size()));
    return frames;
  }

  // Late frames of earlier attempts are interleaved; frames are lost and
  // duplicated.
  void RunAttempt(AttemptNumber attempt) {
    (void)assembler_.ChangeVersion(Version(random_.Below(2)));
    assembler_.BeginAttempt(attempt);
    for (const Frame& frame : FramesOf(attempt)) {
      if (!sent_frames_.empty() && random_.Chance(0.3)) {
        Deliver(sent_frames_[random_.Below(sent_frames_.size())]);
      }
      sent_frames_.push_back(frame);
      if (random_.Chance(0.15))
        continue;
      const int copies = random_.Chance(0.15) ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        if (!Deliver(frame))
          return;
      }
    }
  }

  // Returns false once the attempt has failed or the answer is complete.
  bool Deliver(const Frame& frame) {
    FrameVerdict verdict = FrameVerdict::kDrop;
    switch (frame.kind) {
      case Frame::Kind::kStart:
        verdict = assembler_.OnStart(frame.attempt, frame.version);
        break;
      case Frame::Kind::kToken:
        verdict = assembler_.OnToken(frame.attempt, frame.index, frame.text);
        if (verdict == FrameVerdict::kDeliver)
          received_.push_back(frame.text);
        break;
      case Frame::Kind::kEnd:
        verdict = assembler_.OnEnd(frame.attempt, frame.index);
        break;
    }
    return verdict == FrameVerdict::kDeliver || verdict == FrameVerdict::kDrop;
  }

  // Checks that the caller has a prefix of one version's answer, and the
  // complete answer if it was told so.
  void CheckAnswer() {
    const bool matches_one = IsPrefixOf(Version(0)) || IsPrefixOf(Version(1));
    if (!matches_one)
      violations_.push_back("the caller's tokens match no version's answer");
    if (assembler_.complete() &&
        received_.size() != static_cast<std::size_t>(length_)) {
      violations_.push_back("a truncated answer was reported as complete");
    }
  }

  bool IsPrefixOf(const WeightVersion& version) const {
    for (std::size_t i = 0; i < received_.size(); ++i) {
      if (received_[i] != CorrectToken(version, static_cast<Tokens>(i)))
        return false;
    }
    return true;
  }

  SeededRandom random_;
  const Tokens length_;
  StreamAssembler assembler_;
  std::vector<Frame> sent_frames_;
  std::vector<std::string> received_;
  std::vector<std::string> violations_;
};

}  // namespace

// Endpoints crash within answers while frames are lost, duplicated and late and
// a weight swap is in progress. The caller must get each token of one version
// once and in order, and a truncated answer must never look complete.
TEST_CASE(
    "a caller gets a complete answer of one version or learns that it is "
    "incomplete") {
  rc::prop("no answer is wrong", [](std::uint64_t seed) {
    const auto violations = World(seed, StreamMutation::kNone).Run();
    for (const std::string& violation : violations)
      UNSCOPED_INFO(violation);
    RC_ASSERT(violations.empty());
  });
}

// Runs the same faults with one check removed at a time, to show that the test
// above detects each missing check.
TEST_CASE("each check of the assembler is needed") {
  const StreamMutation mutation = GENERATE(
      StreamMutation::kAcceptStaleAttempt, StreamMutation::kAcceptGap,
      StreamMutation::kAcceptDuplicate, StreamMutation::kAcceptVersionChange,
      StreamMutation::kAcceptShortEnd);
  std::uint64_t caught = 0;
  for (std::uint64_t seed = 0; seed < kMutationSeeds; ++seed)
    caught += World(seed, mutation).Run().empty() ? 0 : 1;
  INFO("mutation " << static_cast<int>(mutation));
  CHECK(caught > 0);
}

}  // namespace carobshift
