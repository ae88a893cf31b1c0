// Describes the effects of an edit of the declaration in English.
//
//   for (const std::string& line : DescribeChanges(accepted, edited))
//     std::cout << line << '\n';

#ifndef CAROBSHIFT_CONFIG_DECLARATION_DIFF_H_
#define CAROBSHIFT_CONFIG_DECLARATION_DIFF_H_

#include <string>
#include <vector>

#include "carobshift/config/declaration.h"

namespace carobshift {

// Returns one sentence for each change and its effect; empty if nothing
// changes. Thread-safe.
[[nodiscard]] std::vector<std::string> DescribeChanges(
    const Declaration& before,
    const Declaration& after);

}  // namespace carobshift

#endif  // CAROBSHIFT_CONFIG_DECLARATION_DIFF_H_
