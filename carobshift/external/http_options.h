// Timeouts and bounds of the HTTP adapters in this package.
//
//   HttpOptions options;
//   options.connect_timeout = Milliseconds(100);
//   HttpLogService log(address, options);

#ifndef CAROBSHIFT_EXTERNAL_HTTP_OPTIONS_H_
#define CAROBSHIFT_EXTERNAL_HTTP_OPTIONS_H_

#include <cstddef>

#include "carobshift/base/units.h"

namespace carobshift {

struct HttpOptions {
  // A connection inside a region takes a few milliseconds; one that is not
  // there after this long goes to an instance that is gone.
  Milliseconds connect_timeout{250};
  // Whole exchange, for calls that carry no timeout of their own.
  Milliseconds request_timeout{2000};
  // Idle connections kept per address; more are closed.
  std::size_t max_idle_per_address = 64;
  // An idle connection older than this is not used again. Shorter than the
  // peers' own limit (10 s or more), so that a peer rarely closes a connection
  // at the moment it is used.
  Milliseconds max_idle_age{5000};
  // A larger answer is given up, so that a broken peer can't use up memory.
  std::size_t max_answer_bytes = 64U << 20;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_EXTERNAL_HTTP_OPTIONS_H_
