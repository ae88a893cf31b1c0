// Reads a YAML text field by field and collects every problem on the way, so
// that an author sees all of them at once, each with its place.
//
//   YamlProblems problems;
//   std::optional<YAML::Node> root = LoadYaml(text, problems);
//   YamlMap map(*root, "", problems);
//   map.ReadInteger("replicas", spec.replicas, {.least = 0, .most = 10000});
//   map.RefuseOtherKeys();
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

// One thing that is wrong with a text. Lines and columns count from 1; both
// are 0 for a problem of the text as a whole.
struct YamlProblem {
  int line = 0;
  int column = 0;
  // Path of the field, as in "services[1].replicas"; may be empty.
  std::string field;
  // What is wrong, and which values are allowed.
  std::string message;

  // "line 12, column 5: services[1].replicas: must be a whole number from 0 to
  // 10000"
  [[nodiscard]] std::string ToString() const;
};

// All problems of one text in order of their places. Holds kMaxProblems at
// most and counts the rest, so that a hostile text can't exhaust memory.
class YamlProblems {
 public:
  static constexpr std::size_t kMaxProblems = 200;

  // Remembers where a field stands, for AddAt.
  void Place(const std::string& field, const YAML::Mark& mark);
  // Adds a problem of a field that was read before.
  void AddAt(const std::string& field, std::string message);
  void Add(const YAML::Mark& mark, std::string field, std::string message);

  [[nodiscard]] bool empty() const { return problems_.empty(); }
  // The problems by line and column; the list is empty afterwards.
  [[nodiscard]] std::vector<YamlProblem> Take();

 private:
  std::map<std::string, YAML::Mark> places_;
  std::vector<YamlProblem> problems_;
  std::size_t not_kept_ = 0;
};

// The one document of a text, or nothing with the problems added. Refuses a
// text over `max_bytes`.
[[nodiscard]] std::optional<YAML::Node> LoadYaml(std::string_view text,
                                                 std::size_t max_bytes,
                                                 YamlProblems& problems);

enum class Presence { kOptional, kRequired };

template <typename Number>
struct Range {
  Number least;
  Number most;
};

// One mapping. Each Read function leaves `out` alone and reports a problem if
// the field is there but not of the wanted form; an optional field that is
// missing leaves `out` alone too.
class YamlMap {
 public:
  // Reports a problem if `node` is not a mapping, or has a key twice.
  YamlMap(YAML::Node node, std::string path, YamlProblems& problems);

  [[nodiscard]] bool Has(const std::string& key) const;
  // The path of a field of this mapping.
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
  // The index of the text among `allowed`.
  void ReadChoice(const std::string& key,
                  std::size_t& out,
                  const std::vector<std::string>& allowed);
  // Letters, digits, '.', '_', '-' and `also`, at most 63 of them.
  void ReadName(const std::string& key,
                std::string& out,
                Presence presence,
                std::string_view also = "");
  // A list of such names; a single empty list is fine.
  void ReadNames(const std::string& key,
                 std::vector<std::string>& out,
                 std::string_view also = "");
  void ReadTexts(const std::string& key, std::vector<std::string>& out);
  // The mappings of a list. Anything else in it is a problem.
  [[nodiscard]] std::vector<YamlMap> ReadMaps(const std::string& key);

  // Takes a key as known that has no use here, with the reason.
  void RefuseKey(const std::string& key, const std::string& reason);
  // Reports each key that no Read function has asked for, with those allowed.
  void RefuseOtherKeys();

 private:
  std::optional<YAML::Node> Find(const std::string& key, Presence presence);
  std::optional<std::string> Scalar(const std::string& key,
                                    Presence presence,
                                    const std::string& wanted);
  std::vector<YAML::Node> Items(const std::string& key);

  YAML::Node node_;
  std::string path_;
  YamlProblems* problems_;
  std::vector<std::string> known_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CONFIG_YAML_READER_H_
