#include "carobshift/config/config_record.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "carobshift/config/declaration_parser.h"

namespace carobshift {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxIdBytes = 128;
// Control characters take six times their size in JSON.
constexpr std::size_t kMaxPayloadBytes = 7 * kMaxDeclarationBytes;

Error Malformed(std::string message) {
  return {ResultCode::kInvalidConfig, std::move(message)};
}

// Reads the fields of one JSON object and records the first one that is missing
// or invalid.
class ObjectReader {
 public:
  explicit ObjectReader(const Json& object) : object_(object) {}

  std::string Text(const char* key, std::size_t max_bytes) {
    const auto it = object_.find(key);
    if (it == object_.end() || !it->is_string() ||
        it->get_ref<const std::string&>().size() > max_bytes)
      return Fail(key), "";
    return it->get<std::string>();
  }
  std::uint64_t Number(const char* key) {
    const auto it = object_.find(key);
    if (it == object_.end() || !it->is_number_unsigned())
      return Fail(key), 0;
    return it->get<std::uint64_t>();
  }
  // Returns the edit ids in the list at `key`.
  std::vector<EditId> Edits(const char* key) {
    std::vector<EditId> edits;
    const auto it = object_.find(key);
    if (it == object_.end() || !it->is_array() || it->size() > kMaxRecentEdits)
      return Fail(key), edits;
    for (const Json& item : *it) {
      if (item.is_string() &&
          item.get_ref<const std::string&>().size() <= kMaxIdBytes)
        edits.emplace_back(item.get<std::string>());
      else
        Fail(key);
    }
    return edits;
  }
  [[nodiscard]] bool Has(const char* key) const {
    return object_.contains(key) && !object_[key].is_null();
  }
  [[nodiscard]] const std::string& bad_field() const { return bad_field_; }

 private:
  void Fail(const char* key) {
    if (bad_field_.empty())
      bad_field_ = key;
  }

  const Json& object_;
  std::string bad_field_;
};

Json StateJson(const ConfigState& state) {
  Json json = {{"next", state.next.value()},
               {"checkpoint", state.checkpoint.value()},
               {"recent", Json::array()}};
  for (const EditId& edit : state.recent_edits)
    json["recent"].push_back(edit.value());
  if (state.accepted) {
    json["version"] = state.accepted->version.value();
    json["edit"] = state.accepted->edit.value();
    json["text"] = state.accepted->text;
  }
  return json;
}

ConfigState ReadState(ObjectReader& reader) {
  ConfigState state;
  state.next = LogOffset(reader.Number("next"));
  state.checkpoint = LogOffset(reader.Number("checkpoint"));
  state.recent_edits = reader.Edits("recent");
  if (reader.Has("version")) {
    ConfigState::Accepted& accepted = state.accepted.emplace();
    accepted.version = ConfigVersion(reader.Number("version"));
    accepted.edit = EditId(reader.Text("edit", kMaxIdBytes));
    accepted.text = reader.Text("text", kMaxDeclarationBytes);
  }
  return state;
}

EditRecord ReadEdit(ObjectReader& reader) {
  EditRecord record;
  record.edit = EditId(reader.Text("edit", kMaxIdBytes));
  if (reader.Has("base"))
    record.base = ConfigVersion(reader.Number("base"));
  record.text = reader.Text("text", kMaxDeclarationBytes);
  return record;
}

Json ToJson(const EditRecord& record) {
  Json json = {
      {"kind", "edit"}, {"edit", record.edit.value()}, {"text", record.text}};
  if (record.base)
    json["base"] = record.base->value();
  return json;
}

Json ToJson(const CheckpointRecord& record) {
  Json json = StateJson(record.state);
  json["kind"] = "checkpoint";
  return json;
}

Json ToJson(const ResetRecord& record) {
  Json json = StateJson(record.state);
  json["kind"] = "reset";
  json["first_retained"] = record.first_retained.value();
  return json;
}

}  // namespace

Result<std::string> EncodeConfigRecord(const ConfigRecord& record) {
  const Json json =
      std::visit([](const auto& typed) { return ToJson(typed); }, record);
  // nlohmann::json throws for text that is not UTF-8.
  try {
    return json.dump();
  } catch (const Json::exception&) {
    return Malformed("the text is not valid UTF-8");
  }
}

Result<ConfigRecord> DecodeConfigRecord(std::string_view payload) {
  if (payload.size() > kMaxPayloadBytes)
    return Malformed("a record of " + std::to_string(payload.size()) +
                     " bytes is too large");
  const Json json = Json::parse(payload, nullptr, false);
  if (!json.is_object())
    return Malformed("the record is no JSON object");
  ObjectReader reader(json);
  const std::string kind = reader.Text("kind", kMaxIdBytes);
  ConfigRecord record;
  if (kind == "edit") {
    record = ReadEdit(reader);
  } else if (kind == "checkpoint") {
    record = CheckpointRecord{ReadState(reader)};
  } else if (kind == "reset") {
    ResetRecord reset{ReadState(reader), {}};
    reset.first_retained = LogOffset(reader.Number("first_retained"));
    record = std::move(reset);
  } else {
    return Malformed("the record is of no known kind");
  }
  if (!reader.bad_field().empty())
    return Malformed("the record's field " + reader.bad_field() +
                     " is missing or not of its type and size");
  return record;
}

}  // namespace carobshift
