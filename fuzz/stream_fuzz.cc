// One answer put together out of several attempts at engines that die, resume,
// repeat, lose and delay frames, and run different weight versions. The oracle
// knows the one right answer of each version.

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

std::string TrueToken(const WeightVersion& version, Tokens index) {
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

  // What an engine of some version sends when it resumes where the caller
  // stands; it may die after any frame.
  std::vector<Frame> FramesOf(AttemptNumber attempt) {
    const WeightVersion version = Version(random_.Below(2));
    std::vector<Frame> frames = {
        {Frame::Kind::kStart, attempt, version, 0, ""}};
    const auto from = static_cast<Tokens>(assembler_.delivered().size());
    for (Tokens i = from; i < length_; ++i) {
      frames.push_back(
          {Frame::Kind::kToken, attempt, version, i, TrueToken(version, i)});
    }
    frames.push_back({Frame::Kind::kEnd, attempt, version, length_, ""});
    frames.resize(1 + random_.Below(frames.size()));
    return frames;
  }

  // Late frames of earlier attempts come in between; frames get lost and
  // doubled on the way.
  void RunAttempt(AttemptNumber attempt) {
    (void)assembler_.ChangeVersion(Version(random_.Below(2)));
    assembler_.BeginAttempt(attempt);
    for (const Frame& frame : FramesOf(attempt)) {
      if (!late_.empty() && random_.Chance(0.3)) {
        Deliver(late_[random_.Below(late_.size())]);
      }
      late_.push_back(frame);
      if (random_.Chance(0.15))
        continue;
      const int copies = random_.Chance(0.15) ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        if (!Deliver(frame))
          return;
      }
    }
  }

  // False once the attempt is given up or the answer is whole.
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

  // The caller has a prefix of one version's answer, and the whole of it if
  // it was told so.
  void CheckAnswer() {
    const bool fits_one = FitsVersion(Version(0)) || FitsVersion(Version(1));
    if (!fits_one)
      violations_.push_back("the caller's tokens are no version's answer");
    if (assembler_.complete() &&
        received_.size() != static_cast<std::size_t>(length_)) {
      violations_.push_back("a short answer was called whole");
    }
  }

  bool FitsVersion(const WeightVersion& version) const {
    for (std::size_t i = 0; i < received_.size(); ++i) {
      if (received_[i] != TrueToken(version, static_cast<Tokens>(i)))
        return false;
    }
    return true;
  }

  SeededRandom random_;
  const Tokens length_;
  StreamAssembler assembler_;
  std::vector<Frame> late_;
  std::vector<std::string> received_;
  std::vector<std::string> violations_;
};

}  // namespace

// Endpoints die in the middle of answers while frames are lost, doubled and
// late, and a weight swap is under way. The caller must get each token of one
// version once and in order, and a cut-off answer must never look whole.
TEST_CASE("a caller gets a whole answer of one version or knows it has not") {
  rc::prop("no answer is wrong", [](std::uint64_t seed) {
    const auto violations = World(seed, StreamMutation::kNone).Run();
    for (const std::string& violation : violations)
      UNSCOPED_INFO(violation);
    RC_ASSERT(violations.empty());
  });
}

// The same faults with one check taken out each. The test above would be
// worth nothing if it passed these.
TEST_CASE("each check of the assembler is needed") {
  const StreamMutation mutation = GENERATE(
      StreamMutation::kAcceptForeignAttempt, StreamMutation::kAcceptGap,
      StreamMutation::kAcceptDuplicate, StreamMutation::kAcceptVersionChange,
      StreamMutation::kAcceptShortEnd);
  std::uint64_t caught = 0;
  for (std::uint64_t seed = 0; seed < kMutationSeeds; ++seed)
    caught += World(seed, mutation).Run().empty() ? 0 : 1;
  INFO("mutation " << static_cast<int>(mutation));
  CHECK(caught > 0);
}

}  // namespace carobshift
