// Records of the log stream "config" and their JSON encoding.
//
//   Result<std::string> payload = EncodeConfigRecord(EditRecord{...});
//   Result<ConfigRecord> record = DecodeConfigRecord(payload.value());
//
// Pure functions; thread-safe.

#ifndef CAROBSHIFT_CONFIG_CONFIG_RECORD_H_
#define CAROBSHIFT_CONFIG_CONFIG_RECORD_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/result.h"

namespace carobshift {

// Name of the log stream.
inline constexpr char kConfigStream[] = "config";

// An operator's edit.
struct EditRecord {
  EditId edit;
  // The version that was edited; nullopt for a blind write or the first edit.
  std::optional<ConfigVersion> base;
  std::string text;
  friend bool operator==(const EditRecord&, const EditRecord&) = default;
};

// The state after all records below `next`, see acceptance.h.
struct ConfigState {
  struct Accepted {
    // The offset of the edit; checkpoints that carry the text forward keep it.
    ConfigVersion version;
    EditId edit;
    std::string text;
    friend bool operator==(const Accepted&, const Accepted&) = default;
  };
  std::optional<Accepted> accepted;
  LogOffset next;
  // The highest `next` of any checkpoint below this state's `next`. A log that
  // is retained from its start counts as having a checkpoint at 0.
  LogOffset checkpoint;
  // The most recently accepted edits, newest last, at most kMaxRecentEdits.
  std::vector<EditId> recent_edits;
  friend bool operator==(const ConfigState&, const ConfigState&) = default;
};

inline constexpr std::size_t kMaxRecentEdits = 64;

// Written by an entry before retention drops the record of the accepted edit.
struct CheckpointRecord {
  ConfigState state;
  friend bool operator==(const CheckpointRecord&,
                         const CheckpointRecord&) = default;
};

// Written when retention has dropped records that no entry had read. Makes
// `state` the accepted one if no checkpoint is at or above `first_retained`.
struct ResetRecord {
  ConfigState state;
  LogOffset first_retained;
  friend bool operator==(const ResetRecord&, const ResetRecord&) = default;
};

using ConfigRecord = std::variant<EditRecord, CheckpointRecord, ResetRecord>;

// Returns kInvalidConfig if a text is not valid UTF-8, which JSON can't
// represent.
[[nodiscard]] Result<std::string> EncodeConfigRecord(
    const ConfigRecord& record);

// Returns kInvalidConfig with the reason for any payload that
// EncodeConfigRecord doesn't produce.
[[nodiscard]] Result<ConfigRecord> DecodeConfigRecord(std::string_view payload);

}  // namespace carobshift

#endif  // CAROBSHIFT_CONFIG_CONFIG_RECORD_H_
