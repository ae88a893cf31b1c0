// The records of the log stream "config", and their form as JSON.
//
//   Result<std::string> payload = EncodeConfigRecord(EditRecord{...});
//   Result<ConfigRecord> record = DecodeConfigRecord(payload.value());
//
// Pure and thread-safe.

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

// The log stream that holds them.
inline constexpr char kConfigStream[] = "config";

// An operator's edit.
struct EditRecord {
  EditId edit;
  // The version it was made from; none for a blind write or the first edit.
  std::optional<ConfigVersion> base;
  std::string text;
  friend bool operator==(const EditRecord&, const EditRecord&) = default;
};

// What the acceptance rule makes of all records below `next`.
struct ConfigState {
  struct Accepted {
    // Stays the offset of the edit, however often the text is carried forward.
    ConfigVersion version;
    EditId edit;
    std::string text;
    friend bool operator==(const Accepted&, const Accepted&) = default;
  };
  std::optional<Accepted> accepted;
  LogOffset next;
  // The highest `next` of a checkpoint below `next`; a log that is kept from
  // its start counts as a checkpoint at 0.
  LogOffset checkpoint;
  // The last accepted edits, newest last, kMaxRecentEdits at most.
  std::vector<EditId> recent;
  friend bool operator==(const ConfigState&, const ConfigState&) = default;
};

inline constexpr std::size_t kMaxRecentEdits = 64;

// The state, written to the log by an entry before retention drops the
// accepted edit's own record.
struct CheckpointRecord {
  ConfigState state;
  friend bool operator==(const CheckpointRecord&,
                         const CheckpointRecord&) = default;
};

// Written when retention has dropped records that no entry could read: it
// makes `state` the accepted one, if there is no checkpoint at or above
// `first_retained`.
struct ResetRecord {
  ConfigState state;
  LogOffset first_retained;
  friend bool operator==(const ResetRecord&, const ResetRecord&) = default;
};

using ConfigRecord = std::variant<EditRecord, CheckpointRecord, ResetRecord>;

// kInvalidConfig if a text is not valid UTF-8, which JSON can't hold.
[[nodiscard]] Result<std::string> EncodeConfigRecord(
    const ConfigRecord& record);

// kInvalidConfig, with the reason, for anything that EncodeConfigRecord would
// not have written.
[[nodiscard]] Result<ConfigRecord> DecodeConfigRecord(std::string_view payload);

}  // namespace carobshift

#endif  // CAROBSHIFT_CONFIG_CONFIG_RECORD_H_
