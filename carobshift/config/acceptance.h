// Decides which edit of the declaration is in force, from the log alone.
// Each entry folds the stream in offset order with this one rule, so all come
// to the same answer without talking to each other:
//
//   - An edit is accepted if its base is the version accepted so far and its
//     text is valid. Its offset becomes the version. Of two edits with the
//     same base the first on the log wins; the other is recorded as lost, with
//     the winner's edit id.
//   - An edit without a base is accepted while nothing is, or if the accepted
//     declaration allows blind writes; else it is refused.
//   - A checkpoint changes nothing for whoever has read all before it. Whoever
//     has not takes its state and reads on from where the state was taken.
//   - A reset makes its state accepted under its own offset, if the log holds
//     no checkpoint that reaches the part which is still readable.
//
//   ConfigFold fold(options);
//   for (const EditDecision& decision : fold.OnBatch(batch)) ...
//   Read(fold.next());
//   Use(fold.in_force());
//
// Retention may drop records between two reads. Deciding on without them would
// let an edit win here that lost elsewhere; one would notice two entries that
// run different declarations for good. So a fold with a gap decides nothing
// and keeps what it has in force until a checkpoint, a peer's state or a reset
// closes the gap.
//
// Thread-compatible. Holds one text, kMaxRecentEdits ids and one parsed
// declaration, whatever the length of the log.

#ifndef CAROBSHIFT_CONFIG_ACCEPTANCE_H_
#define CAROBSHIFT_CONFIG_ACCEPTANCE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/config/config_record.h"
#include "carobshift/config/declaration.h"
#include "carobshift/config/declaration_parser.h"
#include "carobshift/external/log_service.h"

namespace carobshift {

enum class EditOutcome {
  kAccepted,
  // A further copy of an edit that was accepted before; harmless.
  kDuplicate,
  // The base is not the accepted version.
  kLostRace,
  // No base, and the accepted declaration doesn't allow that.
  kBaseMissing,
  kInvalid,
  // The record can't be read.
  kMalformed,
  // Records before this one are gone, so nobody here can tell.
  kUndecided,
};

[[nodiscard]] std::string_view EditOutcomeName(EditOutcome outcome);

struct EditDecision {
  LogOffset offset;
  // Empty for a malformed record.
  EditId edit;
  EditOutcome outcome = EditOutcome::kMalformed;
  // The edit that is accepted after this decision, if any.
  std::optional<EditId> winner;
  // For a person; empty if accepted.
  std::string reason;
};

struct AcceptedConfig {
  ConfigVersion version;
  EditId edit;
  std::string text;
  Declaration declaration;
};

// Takes one mechanism out, to show that the fuzz tests notice. For tests only.
enum class AcceptanceMutation {
  kNone,
  kIgnoreBase,
  kAllowBlindWrites,
  kDecideAcrossGap,
  kTakeAnyState,
  kTakeAnyReset,
  kCheckpointRaisesVersion,
};

class ConfigFold {
 public:
  explicit ConfigFold(AcceptanceMutation mutation = AcceptanceMutation::kNone);

  // The offset to read next.
  [[nodiscard]] LogOffset next() const { return read_next_; }

  // Takes in what a read from `next()` returned; gives a decision for each
  // edit and malformed record in it. A checkpoint may move `next()` back; the
  // rest of the batch is then ignored and read again.
  std::vector<EditDecision> OnBatch(const LogBatch& batch);

  // Takes a peer's state if it has read further than this fold; returns
  // whether it did. A peer that lags changes nothing.
  bool OnPeerState(const ConfigState& state);

  // The declaration to run by, or null before the first. Its version is never
  // lowered.
  [[nodiscard]] std::shared_ptr<const AcceptedConfig> in_force() const {
    return in_force_;
  }
  // What the rule makes of the records below `state().next`.
  [[nodiscard]] const ConfigState& state() const { return state_; }
  // True while dropped records keep this fold from deciding.
  [[nodiscard]] bool has_gap() const { return gap_.has_value(); }
  // While there is a gap: the last reset that can't be judged without the
  // missing records. A further reset holds only once retention has dropped it.
  [[nodiscard]] std::optional<LogOffset> doubtful_reset() const {
    return gap_ ? gap_->doubtful_reset : std::nullopt;
  }

 private:
  // What is known while records are missing.
  struct Gap {
    // The first offset after the missing records.
    LogOffset end;
    // The highest reset that can't be judged without them.
    std::optional<LogOffset> doubtful_reset;
  };

  void OnFirstRetained(LogOffset first_retained);
  std::optional<EditDecision> OnRecord(const LogRecord& record);
  EditDecision OnEdit(LogOffset offset, const EditRecord& edit);
  EditDecision Judge(LogOffset offset, const EditRecord& edit) const;
  void OnCheckpoint(LogOffset offset, const CheckpointRecord& record);
  void OnReset(LogOffset offset, const ResetRecord& record);
  [[nodiscard]] bool ResetHolds(LogOffset offset, const ResetRecord& record);
  bool Adopt(const ConfigState& state);
  void Accept(LogOffset offset, const EditId& edit, const std::string& text);
  void PutInForce();

  AcceptanceMutation mutation_;
  ConfigState state_;
  LogOffset read_next_;
  std::optional<Gap> gap_;
  std::shared_ptr<const AcceptedConfig> in_force_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CONFIG_ACCEPTANCE_H_
