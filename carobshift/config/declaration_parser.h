// From an operator's YAML text to a Declaration, or to all that is wrong with
// it. docs/CONFIGURATION.md lists every key with its default and range.
//
//   DeclarationResult result = ParseDeclaration(text);
//   if (!result.declaration)
//     for (const YamlProblem& problem : result.problems)
//       std::cerr << problem.ToString() << '\n';
//
// Pure and thread-safe. A text that one entry accepts is accepted by each
// other of the same release, since nothing but the text decides.

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
  // Set exactly if `problems` is empty.
  std::optional<Declaration> declaration;
  std::vector<YamlProblem> problems;

  // All problems, one a line.
  [[nodiscard]] std::string ProblemText() const;
};

[[nodiscard]] DeclarationResult ParseDeclaration(std::string_view text);

}  // namespace carobshift

#endif  // CAROBSHIFT_CONFIG_DECLARATION_PARSER_H_
