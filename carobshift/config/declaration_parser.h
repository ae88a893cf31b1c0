// Parses an operator's YAML text into a Declaration, or into the list of all
// its problems. docs/CONFIGURATION.md lists every key with its default and
// range.
//
//   DeclarationResult result = ParseDeclaration(text);
//   if (!result.declaration)
//     for (const YamlProblem& problem : result.problems)
//       std::cerr << problem.ToString() << '\n';
//
// The result depends on the text only, so all entries of one release accept the
// same texts. Thread-safe.

#ifndef CAROBSHIFT_CONFIG_DECLARATION_PARSER_H_
#define CAROBSHIFT_CONFIG_DECLARATION_PARSER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/config/declaration.h"
#include "carobshift/config/yaml_reader.h"

namespace carobshift {

// The two-year size has 21,000 client accounts of about 200 bytes each.
inline constexpr std::size_t kMaxDeclarationBytes = 8 * 1024 * 1024;

struct DeclarationResult {
  // Set if and only if `problems` is empty.
  std::optional<Declaration> declaration;
  std::vector<YamlProblem> problems;

  // Returns all problems, one per line.
  [[nodiscard]] std::string ProblemText() const;
};

[[nodiscard]] DeclarationResult ParseDeclaration(std::string_view text);

}  // namespace carobshift

#endif  // CAROBSHIFT_CONFIG_DECLARATION_PARSER_H_
