#include "carobshift/config/acceptance.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace carobshift {
namespace {

// Limits the reason shown to operators; the parser's list of problems can be
// longer.
constexpr std::size_t kMaxReasonBytes = 2000;

std::string Shorten(std::string text) {
  if (text.size() > kMaxReasonBytes)
    text = text.substr(0, kMaxReasonBytes) + " ...";
  return text;
}

std::string VersionText(const std::optional<ConfigVersion>& version) {
  return version ? "version " + std::to_string(version->value()) : "none";
}

LogOffset After(LogOffset offset) {
  return LogOffset(offset.value() + 1);
}

}  // namespace

std::string_view EditOutcomeName(EditOutcome outcome) {
  switch (outcome) {
    case EditOutcome::kAccepted:
      return "accepted";
    case EditOutcome::kDuplicate:
      return "duplicate";
    case EditOutcome::kLostRace:
      return "lost_race";
    case EditOutcome::kBaseMissing:
      return "base_missing";
    case EditOutcome::kInvalid:
      return "invalid";
    case EditOutcome::kMalformed:
      return "malformed";
    case EditOutcome::kUndecided:
      return "undecided";
  }
  return "malformed";
}

ConfigStateMachine::ConfigStateMachine(AcceptanceMutation mutation)
    : mutation_(mutation) {}

std::vector<EditDecision> ConfigStateMachine::OnBatch(const LogBatch& batch) {
  std::vector<EditDecision> decisions;
  OnFirstRetained(batch.first_retained);
  for (const LogRecord& record : batch.records) {
    // A late or repeated reply may contain records that were already applied.
    if (record.offset < read_next_)
      continue;
    // A peer's state may have moved the position back while this batch was in
    // transit. Skipping records that were not applied would let an edit win
    // here that lost on other entries.
    if (record.offset > read_next_)
      break;
    const LogOffset expected = After(record.offset);
    read_next_ = expected;
    std::optional<EditDecision> decision = OnRecord(record);
    if (decision)
      decisions.push_back(std::move(*decision));
    if (read_next_ != expected)
      return decisions;
  }
  return decisions;
}

void ConfigStateMachine::OnFirstRetained(LogOffset first_retained) {
  if (first_retained <= read_next_)
    return;
  read_next_ = first_retained;
  if (mutation_ == AcceptanceMutation::kDecideAcrossGap)
    state_.next = first_retained;
  else
    gap_ = Gap{.end = first_retained, .undecidable_reset = {}};
}

std::optional<EditDecision> ConfigStateMachine::OnRecord(
    const LogRecord& record) {
  Result<ConfigRecord> decoded = DecodeConfigRecord(record.payload);
  std::optional<EditDecision> decision;
  if (!decoded.ok()) {
    decision = EditDecision{.offset = record.offset,
                            .edit = EditId(),
                            .outcome = EditOutcome::kMalformed,
                            .winner = {},
                            .reason = decoded.error().message};
  } else if (const auto* edit = std::get_if<EditRecord>(&decoded.value())) {
    decision = OnEdit(record.offset, *edit);
  } else if (const auto* checkpoint =
                 std::get_if<CheckpointRecord>(&decoded.value())) {
    OnCheckpoint(record.offset, *checkpoint);
  } else {
    OnReset(record.offset, std::get<ResetRecord>(decoded.value()));
  }
  if (!gap_)
    state_.next = read_next_;
  return decision;
}

EditDecision ConfigStateMachine::OnEdit(LogOffset offset,
                                        const EditRecord& edit) {
  EditDecision decision = DecideEdit(offset, edit);
  if (decision.outcome == EditOutcome::kAccepted)
    Accept(offset, edit.edit, edit.text);
  if (state_.accepted && !gap_)
    decision.winner = state_.accepted->edit;
  return decision;
}

EditDecision ConfigStateMachine::DecideEdit(LogOffset offset,
                                            const EditRecord& edit) const {
  const auto make_decision = [&](EditOutcome outcome, std::string reason) {
    return EditDecision{.offset = offset,
                        .edit = edit.edit,
                        .outcome = outcome,
                        .winner = {},
                        .reason = std::move(reason)};
  };
  if (gap_)
    return make_decision(EditOutcome::kUndecided,
                         "records before offset " +
                             std::to_string(gap_->end.value()) + " are gone");
  // A publisher that lost the reply to its append may have appended the edit
  // twice. Without this check the copy of a blind write would restore its text
  // over a later edit.
  if (std::ranges::find(state_.recent_edits, edit.edit) !=
      state_.recent_edits.end())
    return make_decision(EditOutcome::kDuplicate,
                         "the edit was accepted before");
  const bool blind_write_allowed =
      !state_.accepted || mutation_ == AcceptanceMutation::kAllowBlindWrites ||
      in_force_->declaration.allow_blind_writes;
  if (!edit.base && !blind_write_allowed)
    return make_decision(EditOutcome::kBaseMissing,
                         "the edit names no base version; accepted is " +
                             VersionText(state_.accepted->version));
  std::optional<ConfigVersion> accepted;
  if (state_.accepted)
    accepted = state_.accepted->version;
  if (edit.base && edit.base != accepted &&
      mutation_ != AcceptanceMutation::kIgnoreBase)
    return make_decision(EditOutcome::kLostRace,
                         "the edit builds on " + VersionText(edit.base) +
                             "; accepted is " + VersionText(accepted));
  const DeclarationResult parsed = ParseDeclaration(edit.text);
  if (!parsed.declaration)
    return make_decision(EditOutcome::kInvalid, Shorten(parsed.ProblemText()));
  return make_decision(EditOutcome::kAccepted, "");
}

void ConfigStateMachine::Accept(LogOffset offset,
                                const EditId& edit,
                                const std::string& text) {
  state_.accepted = ConfigState::Accepted{
      .version = ConfigVersion(offset.value()), .edit = edit, .text = text};
  state_.recent_edits.push_back(edit);
  if (state_.recent_edits.size() > kMaxRecentEdits)
    state_.recent_edits.erase(state_.recent_edits.begin());
  ActivateAccepted();
}

void ConfigStateMachine::OnCheckpoint(LogOffset offset,
                                      const CheckpointRecord& record) {
  // A valid checkpoint covers only records before itself.
  if (record.state.next > offset)
    return;
  if (mutation_ == AcceptanceMutation::kCheckpointRaisesVersion &&
      record.state.accepted && !gap_) {
    Accept(offset, record.state.accepted->edit, record.state.accepted->text);
    return;
  }
  if (gap_)
    Adopt(record.state);
  if (!gap_ && record.state.next > state_.checkpoint && read_next_ > offset)
    state_.checkpoint = record.state.next;
}

// Adopts a state computed by the same rules elsewhere, if it covers more
// records than the present state.
bool ConfigStateMachine::Adopt(const ConfigState& state) {
  if (state.next <= state_.next &&
      mutation_ != AcceptanceMutation::kTakeAnyState)
    return false;
  if (state.accepted && !ParseDeclaration(state.accepted->text).declaration)
    return false;
  state_ = state;
  ActivateAccepted();
  // If the state ends before the end of the gap, records after it are still
  // missing.
  if (!gap_ || state.next >= gap_->end) {
    gap_.reset();
    read_next_ = state.next;
  }
  return true;
}

bool ConfigStateMachine::OnPeerState(const ConfigState& state) {
  return Adopt(state);
}

// A reset is valid if no checkpoint reaches its `first_retained`. Every reader
// evaluates this from the records before the reset and so reaches the same
// result: two entries may write resets at the same time, and the second one
// then sees the first.
bool ConfigStateMachine::IsResetValid(LogOffset offset,
                                      const ResetRecord& record) {
  if (mutation_ == AcceptanceMutation::kTakeAnyReset)
    return true;
  if (!gap_)
    return state_.checkpoint < record.first_retained;
  // A checkpoint that reaches the end of the gap would have closed it. An
  // earlier reset that can't be evaluated may have been valid, which would make
  // this one invalid.
  const bool is_valid = record.first_retained >= gap_->end &&
                        (!gap_->undecidable_reset ||
                         *gap_->undecidable_reset < record.first_retained);
  if (!is_valid)
    gap_->undecidable_reset = offset;
  return is_valid;
}

void ConfigStateMachine::OnReset(LogOffset offset, const ResetRecord& record) {
  const std::optional<ConfigState::Accepted>& accepted = record.state.accepted;
  if (record.first_retained > offset ||
      (accepted && !ParseDeclaration(accepted->text).declaration))
    return;
  if (!IsResetValid(offset, record))
    return;
  gap_.reset();
  state_.accepted.reset();
  state_.recent_edits = record.state.recent_edits;
  state_.checkpoint = offset;
  if (accepted)
    Accept(offset, accepted->edit, accepted->text);
}

void ConfigStateMachine::ActivateAccepted() {
  if (!state_.accepted)
    return;
  // The acceptance rules already make versions increase. This check also holds
  // for a forged or damaged state that passed them.
  const bool version_regresses =
      in_force_ && state_.accepted->version <= in_force_->version;
  if (version_regresses && mutation_ != AcceptanceMutation::kTakeAnyState)
    return;
  DeclarationResult parsed = ParseDeclaration(state_.accepted->text);
  in_force_ = std::make_shared<AcceptedConfig>(
      AcceptedConfig{.version = state_.accepted->version,
                     .edit = state_.accepted->edit,
                     .text = state_.accepted->text,
                     .declaration = std::move(*parsed.declaration)});
}

}  // namespace carobshift
