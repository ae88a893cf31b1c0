// Sends one call to a plain service and returns its answer.
//
//   PlainOutcome outcome = dispatcher.Run(job);
//
// A call that may not be repeated is retried only if it is proven that no byte
// of the earlier attempt reached the service. Otherwise a booking whose answer
// is lost would run twice.
//
// Thread-safe. Run blocks until the call has ended.

#ifndef CAROBSHIFT_SERVER_DISPATCH_PLAIN_DISPATCHER_H_
#define CAROBSHIFT_SERVER_DISPATCH_PLAIN_DISPATCHER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "carobshift/external/plain_service.h"
#include "carobshift/once/run_table.h"
#include "carobshift/server/dispatch/attempt_control.h"
#include "carobshift/server/entry_context.h"
#include "carobshift/server/http/caller_error.h"

namespace carobshift {

struct PlainJob {
  RequestId id;
  AccountId account;
  // Keeps `service` alive.
  std::shared_ptr<const ActiveConfig> config;
  const ServiceSpec* service = nullptr;
  std::string body;
  std::string content_type;
  // True if both the service's declaration and the caller allow a repeat.
  bool repeatable = false;
  MonotonicTime deadline;
  // If set, called just before the first byte of each attempt is sent. A
  // refusal ends the request.
  std::function<std::optional<Refusal>(MonotonicTime now)> gate;
};

struct PlainOutcome {
  // Empty if there is an answer.
  std::optional<CallerError> error;
  PlainAnswer answer;
};

class PlainDispatcher {
 public:
  explicit PlainDispatcher(EntryContext& context)
      : context_(context), control_(context) {}

  PlainOutcome Run(const PlainJob& job);

 private:
  PlainOutcome Attempts(const PlainJob& job);

  // Calls the job's gate. If the gate refuses, ends the attempt and returns the
  // error.
  std::optional<CallerError> PassGate(const PlainJob& job,
                                      const Attempt& attempt,
                                      ContentFingerprint fingerprint,
                                      bool may_have_run);

  PlainResult CallOnce(const PlainJob& job,
                       Attempt* attempt,
                       ContentFingerprint fingerprint);

  EntryContext& context_;
  AttemptControl control_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_DISPATCH_PLAIN_DISPATCHER_H_
