// Decides where a stream that a caller takes up again goes on.
//
//   const Continuation next = DecideContinuation(route, service, lookup);
//   if (next.refusal != ResultCode::kOk) Refuse(next.refusal);
//
// A stream goes on only at the service and the software version that began it.
// If nobody knows them, a guess could mix two versions in the caller's stream,
// which no one would notice; a refusal costs the caller a try.
//
// Pure, and therefore thread-safe.

#ifndef CAROBSHIFT_GATEWAY_STREAMS_STREAM_CONTINUATION_H_
#define CAROBSHIFT_GATEWAY_STREAMS_STREAM_CONTINUATION_H_

#include <optional>

#include "carobshift/base/result_code.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/gateway/streams/stream_directory.h"

namespace carobshift {

struct Continuation {
  // kOk, kSoftwareGone or kSoftwareUnknown.
  ResultCode refusal = ResultCode::kOk;
  StreamBeginning beginning;
  StreamSource source = StreamSource::kUnknown;
};

// `default_service` is the service to which the route leads a new request.
[[nodiscard]] Continuation DecideContinuation(
    const Route& route,
    const ServiceName& default_service,
    const StreamLookup& lookup);

// Returns for how long an unknown stream may have been under way at most: twice
// the longest timeout of a streaming route, as a caller that resumes begins
// with less time than it had.
[[nodiscard]] Milliseconds LongestStream(const ServingConfig& config);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_STREAMS_STREAM_CONTINUATION_H_
