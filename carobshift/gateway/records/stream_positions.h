// How far an instance knows the platform's two streams, as encoded at the end
// of the path of a query to another instance.
//
//   head.target = path + ToPathSuffix({operators.next(), endpoints.next()});
//   const auto since = ParsePathSuffix(target.substr(path.size()));

#ifndef CAROBSHIFT_GATEWAY_RECORDS_STREAM_POSITIONS_H_
#define CAROBSHIFT_GATEWAY_RECORDS_STREAM_POSITIONS_H_

#include <optional>
#include <string>
#include <string_view>

#include "carobshift/base/ids.h"
#include "carobshift/external/log_service.h"

namespace carobshift {

// All records before these offsets are known.
struct StreamPositions {
  LogOffset operators;
  LogOffset endpoints;
};

// Formats the positions as "/A/B".
[[nodiscard]] std::string ToPathSuffix(const StreamPositions& positions);
// Returns nullopt if `text` does not have that form.
[[nodiscard]] std::optional<StreamPositions> ParsePathSuffix(
    std::string_view text);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_RECORDS_STREAM_POSITIONS_H_
