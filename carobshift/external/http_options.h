// Timeouts and limits of the HTTP clients in this package.
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
  // Connecting takes a few milliseconds within a region. An instance that
  // doesn't accept within this time is considered gone.
  Milliseconds connect_timeout{250};
  // Timeout of the whole exchange, for calls without a timeout of their own.
  Milliseconds request_timeout{2000};
  // Maximum number of idle connections per address; further ones are closed.
  std::size_t max_idle_per_address = 64;
  // Maximum age of an idle connection that is reused. Shorter than the peers'
  // own limit (10 s or more), so that a peer rarely closes a connection while a
  // request is being sent on it.
  Milliseconds max_idle_age{5000};
  // Limit on the size of a reply, so that a faulty peer can't exhaust memory.
  std::size_t max_answer_bytes = 64U << 20;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_EXTERNAL_HTTP_OPTIONS_H_
