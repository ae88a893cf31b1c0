// Reads a YAML text field by field and collects every problem with its
// position, so that the author sees all of them at once.
//
//   YamlProblems problems;
//   std::optional<YAML::Node> root = LoadYaml(text, max_bytes, problems);
//   YamlMap map(*root, "", problems);
//   map.ReadInteger("replicas", spec.replicas, {.least = 0, .most = 10000});
//   map.RejectUnknownKeys();
//   if (!problems.empty()) return problems.Take();
//
// Thread-compatible.

#ifndef CAROBSHIFT_CONFIG_YAML_READER_H_
#define CAROBSHIFT_CONFIG_YAML_READER_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/units.h"

namespace carobshift {

// A problem of a text. Lines and columns start at 1; both are 0 for a problem
// of the text as a whole.
struct YamlProblem {
  int line = 0;
  int column = 0;
  // Path of the field, such as "services[1].replicas"; may be empty.
  std::string field;
  // Describes the problem and the allowed values.
  std::string message;

  // Returns a text such as "line 12, column 5: services[1].replicas: must be a
  // whole number from 0 to 10000".
  [[nodiscard]] std::string ToString() const;
};

// Collects the problems of one text. Keeps at most kMaxProblems and counts the
// rest, so that a hostile text can't exhaust memory.
class YamlProblems {
 public:
  static constexpr std::size_t kMaxProblems = 200;

  // Records the position of a field, for AddAt.
  void RecordPosition(const std::string& field, const YAML::Mark& mark);
  // Adds a problem of a field whose position was recorded.
  void AddAt(const std::string& field, std::string message);
  void Add(const YAML::Mark& mark, std::string field, std::string message);

  [[nodiscard]] bool empty() const { return problems_.empty(); }
  // Returns the problems sorted by line and column, and clears the list.
  [[nodiscard]] std::vector<YamlProblem> Take();

 private:
  std::map<std::string, YAML::Mark> positions_;
  std::vector<YamlProblem> problems_;
  std::size_t dropped_count_ = 0;
};

// Parses a text that holds exactly one YAML document of at most `max_bytes`.
// Adds the problems and returns nullopt on failure.
[[nodiscard]] std::optional<YAML::Node> LoadYaml(std::string_view text,
                                                 std::size_t max_bytes,
                                                 YamlProblems& problems);

enum class Presence { kOptional, kRequired };

template <typename Number>
struct Range {
  Number least;
  Number most;
};

// Reads one YAML mapping. Each Read function leaves `out` unchanged and reports
// a problem if the field has an invalid value; it also leaves `out` unchanged
// if an optional field is missing.
class YamlMap {
 public:
  // Reports a problem if `node` isn't a mapping or has a duplicate key.
  YamlMap(YAML::Node node, std::string path, YamlProblems& problems);

  [[nodiscard]] bool Has(const std::string& key) const;
  // Returns the path of the field `key` of this mapping.
  [[nodiscard]] std::string PathOf(const std::string& key) const;

  void ReadInteger(const std::string& key,
                   std::int64_t& out,
                   Range<std::int64_t> range,
                   Presence presence = Presence::kOptional);
  void ReadInteger(const std::string& key,
                   int& out,
                   Range<std::int64_t> range,
                   Presence presence = Presence::kOptional);
  void ReadDuration(const std::string& key,
                    Milliseconds& out,
                    Range<std::int64_t> range_ms);
  void ReadNumber(const std::string& key, double& out, Range<double> range);
  void ReadBool(const std::string& key, bool& out);
  // Sets `out` to the index of the value in `allowed`.
  void ReadChoice(const std::string& key,
                  std::size_t& out,
                  const std::vector<std::string>& allowed);
  // Reads a name of 1 to 63 letters, digits, '.', '_', '-' or characters of
  // `also`.
  void ReadName(const std::string& key,
                std::string& out,
                Presence presence,
                std::string_view extra_chars = "");
  // Reads a list of such names without duplicates; the list may be empty.
  void ReadNames(const std::string& key,
                 std::vector<std::string>& out,
                 std::string_view extra_chars = "");
  void ReadTexts(const std::string& key, std::vector<std::string>& out);
  // Returns the items of a list of mappings, which report a problem if they
  // aren't mappings.
  [[nodiscard]] std::vector<YamlMap> ReadMaps(const std::string& key);

  // Reports a problem with this reason if the key is present.
  void RejectKey(const std::string& key, const std::string& reason);
  // Reports each key that no other function of this class asked for, with the
  // list of allowed keys.
  void RejectUnknownKeys();

 private:
  std::optional<YAML::Node> Find(const std::string& key, Presence presence);
  std::optional<std::string> Scalar(const std::string& key,
                                    Presence presence,
                                    const std::string& wanted);
  std::vector<YAML::Node> Items(const std::string& key);

  YAML::Node node_;
  std::string path_;
  YamlProblems* problems_;
  std::vector<std::string> known_keys_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CONFIG_YAML_READER_H_
