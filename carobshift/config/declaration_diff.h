// Says in words what an edit of the declaration would do.
//
//   for (const std::string& line : DescribeChanges(accepted, edited))
//     std::cout << line << '\n';

#ifndef CAROBSHIFT_CONFIG_DECLARATION_DIFF_H_
#define CAROBSHIFT_CONFIG_DECLARATION_DIFF_H_

#include <string>
#include <vector>

#include "carobshift/config/declaration.h"

namespace carobshift {

// One sentence for each change with its effect; empty if nothing changes.
// Pure and thread-safe.
[[nodiscard]] std::vector<std::string> DescribeChanges(
    const Declaration& before,
    const Declaration& after);

}  // namespace carobshift

#endif  // CAROBSHIFT_CONFIG_DECLARATION_DIFF_H_
