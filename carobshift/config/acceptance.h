// ConfigStateMachine decides which edit of the declaration is in force, from
// the log alone. It is a replicated state machine: each entry applies the
// records of the stream in offset order with the same rules, so that all
// entries reach the same result without exchanging messages:
//
// - An edit is accepted if its base is the last accepted version and its text
//   is valid. Its offset becomes the version. Of two edits with the same base
//   the first one on the log wins; the other one loses the race, and its
//   decision names the winner's edit id.
// - An edit without a base is accepted if no edit has been accepted yet, or if
//   the accepted declaration allows blind writes; it is rejected otherwise.
// - A checkpoint has no effect on a reader that has read all records before it.
//   A reader that lacks some of them adopts the checkpoint's state and
//   continues at the offset at which that state was taken.
// - A reset makes its state the accepted one, with the reset's own offset as
//   the version, if no checkpoint on the log reaches the records still
//   retained.
//
//   ConfigStateMachine fold(options);
//   for (const EditDecision& decision : fold.OnBatch(batch)) ...
//   Read(fold.next());
//   Use(fold.in_force());
//
// Retention may drop records between two reads. If a reader decided without
// them, an edit could win here that lost on other entries, and the entries
// would run different declarations permanently. A ConfigStateMachine that
// misses records therefore decides nothing and keeps the declaration in force
// until a checkpoint, a peer's state or a reset closes the gap.
//
// Thread-compatible. Memory is bounded regardless of the length of the log: one
// text, kMaxRecentEdits edit ids and one parsed declaration.

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
  // A repeated copy of an edit that was accepted before; has no effect.
  kDuplicate,
  // The base differs from the accepted version.
  kLostRace,
  // The edit has no base, and the accepted declaration forbids blind writes.
  kBaseMissing,
  kInvalid,
  // The record can't be decoded.
  kMalformed,
  // Records before this one were dropped unread, so the edit can't be decided
  // here.
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
  // Reason for operators; empty if accepted.
  std::string reason;
};

struct AcceptedConfig {
  ConfigVersion version;
  EditId edit;
  std::string text;
  Declaration declaration;
};

// Disables one mechanism, to show that the fuzz tests detect its absence. For
// tests only.
enum class AcceptanceMutation {
  kNone,
  kIgnoreBase,
  kAllowBlindWrites,
  kDecideAcrossGap,
  kTakeAnyState,
  kTakeAnyReset,
  kCheckpointRaisesVersion,
};

class ConfigStateMachine {
 public:
  explicit ConfigStateMachine(
      AcceptanceMutation mutation = AcceptanceMutation::kNone);

  // The offset to read next.
  [[nodiscard]] LogOffset next() const { return read_next_; }

  // Applies the records that a read from `next()` returned, and returns a
  // decision for each edit and each malformed record. A checkpoint may move
  // `next()` back; the rest of the batch is then ignored, and the caller reads
  // it again.
  std::vector<EditDecision> OnBatch(const LogBatch& batch);

  // Adopts a peer's state if the peer has read further than this object, and
  // returns whether it did. The state of a peer that lags behind is ignored.
  bool OnPeerState(const ConfigState& state);

  // The declaration in force, or null before the first accepted edit. Its
  // version never decreases.
  [[nodiscard]] std::shared_ptr<const AcceptedConfig> in_force() const {
    return in_force_;
  }
  // The state after all records below `state().next`.
  [[nodiscard]] const ConfigState& state() const { return state_; }
  // True while missing records prevent decisions.
  [[nodiscard]] bool has_gap() const { return gap_.has_value(); }
  // During a gap: the last reset whose validity depends on the missing records.
  // A further reset takes effect only after retention has dropped that one.
  [[nodiscard]] std::optional<LogOffset> undecidable_reset() const {
    return gap_ ? gap_->undecidable_reset : std::nullopt;
  }

 private:
  // State during a gap in the records read.
  struct Gap {
    // The first offset after the missing records.
    LogOffset end;
    // The last reset whose validity depends on the missing records.
    std::optional<LogOffset> undecidable_reset;
  };

  void OnFirstRetained(LogOffset first_retained);
  std::optional<EditDecision> OnRecord(const LogRecord& record);
  EditDecision OnEdit(LogOffset offset, const EditRecord& edit);
  EditDecision DecideEdit(LogOffset offset, const EditRecord& edit) const;
  void OnCheckpoint(LogOffset offset, const CheckpointRecord& record);
  void OnReset(LogOffset offset, const ResetRecord& record);
  [[nodiscard]] bool IsResetValid(LogOffset offset, const ResetRecord& record);
  bool Adopt(const ConfigState& state);
  void Accept(LogOffset offset, const EditId& edit, const std::string& text);
  void ActivateAccepted();

  AcceptanceMutation mutation_;
  ConfigState state_;
  LogOffset read_next_;
  std::optional<Gap> gap_;
  std::shared_ptr<const AcceptedConfig> in_force_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CONFIG_ACCEPTANCE_H_
