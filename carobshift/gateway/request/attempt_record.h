// What RequestService knows of one attempt of a request.
//
//   AttemptRecord attempt;
//   attempt.number = wish.number;
//   attempt.endpoint = plan.endpoint.id;
//
// A value type; thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_REQUEST_ATTEMPT_RECORD_H_
#define CAROBSHIFT_GATEWAY_REQUEST_ATTEMPT_RECORD_H_

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/gateway/endpoints/endpoint_record.h"
#include "carobshift/gateway/request/exchange.h"
#include "carobshift/gateway/request/request_report.h"

namespace carobshift {

struct AttemptRecord {
  AttemptNumber number{};
  EndpointId endpoint;
  EndpointStartTime start_time{};
  // Prompt tokens of the attempt that the endpoint has not prefilled yet.
  double prefill_tokens = 0;
  AttemptTrace trace;
  MonotonicTime began{};
  bool in_progress = true;
  // The attempt was counted as a retry, and may still arrive.
  bool unsettled_retry = false;
  // The endpoint has begun to reply.
  bool replied = false;
  // The first event of the reply, or the whole one, has arrived.
  bool has_events = false;
  // The attempt is the probe of a refused part.
  bool is_probe = false;
  // The endpoint replied that it did not run the attempt.
  bool not_run = false;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_REQUEST_ATTEMPT_RECORD_H_
