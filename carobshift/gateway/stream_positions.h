// How far an instance knows the platform's two streams, as it says so at the
// end of a question's path to another instance.
//
//   head.target = path + ToPathEnd({operators.next(), endpoints.next()});
//   const auto since = ReadPathEnd(target.substr(path.size()));

#ifndef CAROBSHIFT_GATEWAY_STREAM_POSITIONS_H_
#define CAROBSHIFT_GATEWAY_STREAM_POSITIONS_H_

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

// "/A/B".
[[nodiscard]] std::string ToPathEnd(const StreamPositions& positions);
// Nothing if `text` isn't of that form.
[[nodiscard]] std::optional<StreamPositions> ReadPathEnd(std::string_view text);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_STREAM_POSITIONS_H_
