#include "carobshift/config/yaml_reader.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

namespace carobshift {
namespace {

constexpr std::size_t kMaxNameBytes = 63;

template <typename Number>
std::optional<Number> ParseWhole(const std::string& text) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end)
    return std::nullopt;
  return number;
}

std::string Shorten(std::string text) {
  constexpr std::size_t kMaxBytesShown = 40;
  if (text.size() > kMaxBytesShown)
    text = text.substr(0, kMaxBytesShown) + "...";
  return text;
}

std::string Join(const std::vector<std::string>& parts) {
  std::string out;
  for (const std::string& part : parts)
    out += (out.empty() ? "" : ", ") + part;
  return out;
}

std::string NumberText(double number) {
  std::string text = std::to_string(number);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.')
    text.pop_back();
  return text;
}

bool IsName(const std::string& text, std::string_view extra_chars) {
  const auto allowed = [extra_chars](unsigned char c) {
    return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-' ||
           extra_chars.find(static_cast<char>(c)) != std::string_view::npos;
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::ranges::all_of(text, allowed);
}

std::string NameRule(std::string_view extra_chars) {
  std::string rule = "must be 1 to 63 letters, digits, '.', '_' or '-'";
  if (!extra_chars.empty())
    rule += " or any of " + std::string(extra_chars);
  return rule;
}

std::string ItemPath(const std::string& list, std::size_t index) {
  return list + "[" + std::to_string(index) + "]";
}

}  // namespace

std::string YamlProblem::ToString() const {
  std::string out = "line " + std::to_string(line) + ", column " +
                    std::to_string(column) + ": ";
  if (!field.empty())
    out += field + ": ";
  return out + message;
}

void YamlProblems::RecordPosition(const std::string& field,
                                  const YAML::Mark& mark) {
  positions_[field] = mark;
}

void YamlProblems::AddAt(const std::string& field, std::string message) {
  const auto it = positions_.find(field);
  Add(it == positions_.end() ? YAML::Mark::null_mark() : it->second, field,
      std::move(message));
}

void YamlProblems::Add(const YAML::Mark& mark,
                       std::string field,
                       std::string message) {
  if (problems_.size() >= kMaxProblems) {
    ++dropped_count_;
    return;
  }
  problems_.push_back({.line = mark.line + 1,
                       .column = mark.column + 1,
                       .field = std::move(field),
                       .message = std::move(message)});
}

std::vector<YamlProblem> YamlProblems::Take() {
  std::ranges::stable_sort(problems_, {}, [](const YamlProblem& problem) {
    return std::tuple(problem.line, problem.column);
  });
  if (dropped_count_ > 0)
    problems_.push_back({0, 0, "",
                         "and " + std::to_string(dropped_count_) +
                             " more problems that are not listed"});
  dropped_count_ = 0;
  return std::exchange(problems_, {});
}

std::optional<YAML::Node> LoadYaml(std::string_view text,
                                   std::size_t max_bytes,
                                   YamlProblems& problems) {
  if (text.size() > max_bytes) {
    problems.Add(YAML::Mark::null_mark(), "",
                 "the text has " + std::to_string(text.size()) +
                     " bytes; at most " + std::to_string(max_bytes) +
                     " are allowed");
    return std::nullopt;
  }
  // yaml-cpp throws on a syntax error; the exception is converted here.
  // YAML::Load would silently ignore a second document, so that a text with a
  // stray "---" would take effect only in part.
  try {
    std::vector<YAML::Node> documents = YAML::LoadAll(std::string(text));
    if (documents.size() == 1)
      return documents.front();
    problems.Add(YAML::Mark::null_mark(), "",
                 "the text must hold exactly one YAML document, not " +
                     std::to_string(documents.size()));
  } catch (const YAML::Exception& e) {
    problems.Add(e.mark, "", "not valid YAML: " + e.msg);
  }
  return std::nullopt;
}

YamlMap::YamlMap(YAML::Node node, std::string path, YamlProblems& problems)
    : node_(std::move(node)), path_(std::move(path)), problems_(&problems) {
  problems_->RecordPosition(path_, node_.Mark());
  if (!node_.IsMap()) {
    problems_->Add(node_.Mark(), path_, "must be a mapping of keys to values");
    return;
  }
  std::set<std::string> seen;
  for (const auto& pair : node_) {
    const std::string key = pair.first.IsScalar() ? pair.first.Scalar() : "?";
    if (!seen.insert(key).second)
      problems_->Add(pair.first.Mark(), PathOf(key), "this key stands twice");
  }
}

std::string YamlMap::PathOf(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

bool YamlMap::Has(const std::string& key) const {
  return node_.IsMap() && node_[key].IsDefined();
}

std::optional<YAML::Node> YamlMap::Find(const std::string& key,
                                        Presence presence) {
  known_keys_.push_back(key);
  if (!node_.IsMap())
    return std::nullopt;
  if (!Has(key)) {
    problems_->RecordPosition(PathOf(key), node_.Mark());
    if (presence == Presence::kRequired)
      problems_->AddAt(PathOf(key), "is missing");
    return std::nullopt;
  }
  const YAML::Node& map = node_;
  YAML::Node value = map[key];
  problems_->RecordPosition(PathOf(key), value.Mark());
  return value;
}

std::optional<std::string> YamlMap::Scalar(const std::string& key,
                                           Presence presence,
                                           const std::string& wanted) {
  const std::optional<YAML::Node> value = Find(key, presence);
  if (!value)
    return std::nullopt;
  if (value->IsScalar())
    return value->Scalar();
  problems_->AddAt(PathOf(key), wanted);
  return std::nullopt;
}

void YamlMap::ReadInteger(const std::string& key,
                          std::int64_t& out,
                          Range<std::int64_t> range,
                          Presence presence) {
  const std::string wanted = "must be a whole number from " +
                             std::to_string(range.least) + " to " +
                             std::to_string(range.most);
  const std::optional<std::string> text = Scalar(key, presence, wanted);
  if (!text)
    return;
  const std::optional<std::int64_t> number = ParseWhole<std::int64_t>(*text);
  if (number && *number >= range.least && *number <= range.most)
    out = *number;
  else
    problems_->AddAt(PathOf(key), wanted + ", not " + Shorten(*text));
}

void YamlMap::ReadInteger(const std::string& key,
                          int& out,
                          Range<std::int64_t> range,
                          Presence presence) {
  std::int64_t wide = out;
  ReadInteger(key, wide, range, presence);
  out = static_cast<int>(wide);
}

void YamlMap::ReadDuration(const std::string& key,
                           Milliseconds& out,
                           Range<std::int64_t> range_ms) {
  std::int64_t count = out.count();
  ReadInteger(key, count, range_ms);
  out = Milliseconds(count);
}

void YamlMap::ReadNumber(const std::string& key,
                         double& out,
                         Range<double> range) {
  const std::string wanted = "must be a number from " +
                             NumberText(range.least) + " to " +
                             NumberText(range.most);
  const std::optional<std::string> text =
      Scalar(key, Presence::kOptional, wanted);
  if (!text)
    return;
  const std::optional<double> number = ParseWhole<double>(*text);
  if (number && std::isfinite(*number) && *number >= range.least &&
      *number <= range.most)
    out = *number;
  else
    problems_->AddAt(PathOf(key), wanted + ", not " + Shorten(*text));
}

void YamlMap::ReadBool(const std::string& key, bool& out) {
  static constexpr char kWanted[] = "must be true or false";
  const std::optional<std::string> text =
      Scalar(key, Presence::kOptional, kWanted);
  if (!text)
    return;
  if (*text == "true" || *text == "false")
    out = *text == "true";
  else
    problems_->AddAt(PathOf(key),
                     std::string(kWanted) + ", not " + Shorten(*text));
}

void YamlMap::ReadChoice(const std::string& key,
                         std::size_t& out,
                         const std::vector<std::string>& allowed) {
  const std::string wanted = "must be one of: " + Join(allowed);
  const std::optional<std::string> text =
      Scalar(key, Presence::kOptional, wanted);
  if (!text)
    return;
  const auto it = std::ranges::find(allowed, *text);
  if (it != allowed.end())
    out = static_cast<std::size_t>(it - allowed.begin());
  else
    problems_->AddAt(PathOf(key), wanted + "; not " + Shorten(*text));
}

void YamlMap::ReadName(const std::string& key,
                       std::string& out,
                       Presence presence,
                       std::string_view extra_chars) {
  const std::optional<std::string> text =
      Scalar(key, presence, NameRule(extra_chars));
  if (!text)
    return;
  if (!IsName(*text, extra_chars))
    problems_->AddAt(PathOf(key), NameRule(extra_chars));
  out = *text;
}

std::vector<YAML::Node> YamlMap::Items(const std::string& key) {
  std::vector<YAML::Node> items;
  const std::optional<YAML::Node> list = Find(key, Presence::kOptional);
  if (!list)
    return items;
  if (!list->IsSequence()) {
    problems_->AddAt(PathOf(key), "must be a list");
    return items;
  }
  for (const YAML::Node& item : *list) {
    problems_->RecordPosition(ItemPath(PathOf(key), items.size()), item.Mark());
    items.push_back(item);
  }
  return items;
}

void YamlMap::ReadTexts(const std::string& key, std::vector<std::string>& out) {
  for (const YAML::Node& item : Items(key)) {
    if (!item.IsScalar())
      problems_->AddAt(ItemPath(PathOf(key), out.size()), "must be a text");
    out.push_back(item.IsScalar() ? item.Scalar() : "");
  }
}

void YamlMap::ReadNames(const std::string& key,
                        std::vector<std::string>& out,
                        std::string_view extra_chars) {
  ReadTexts(key, out);
  std::set<std::string> seen;
  for (std::size_t i = 0; i < out.size(); ++i) {
    if (!IsName(out[i], extra_chars))
      problems_->AddAt(ItemPath(PathOf(key), i), NameRule(extra_chars));
    else if (!seen.insert(out[i]).second)
      problems_->AddAt(ItemPath(PathOf(key), i), out[i] + " stands twice");
  }
}

std::vector<YamlMap> YamlMap::ReadMaps(const std::string& key) {
  std::vector<YamlMap> maps;
  for (const YAML::Node& item : Items(key))
    maps.emplace_back(item, ItemPath(PathOf(key), maps.size()), *problems_);
  return maps;
}

void YamlMap::RejectKey(const std::string& key, const std::string& reason) {
  if (Find(key, Presence::kOptional))
    problems_->AddAt(PathOf(key), reason);
}

void YamlMap::RejectUnknownKeys() {
  if (!node_.IsMap())
    return;
  for (const auto& pair : node_) {
    const std::string key = pair.first.IsScalar() ? pair.first.Scalar() : "?";
    if (std::ranges::find(known_keys_, key) == known_keys_.end())
      problems_->Add(pair.first.Mark(), PathOf(Shorten(key)),
                     "unknown key; allowed: " + Join(known_keys_));
  }
}

}  // namespace carobshift
