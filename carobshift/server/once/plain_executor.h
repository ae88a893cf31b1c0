// Runs a plain call with an idempotency key through the plain dispatcher.
//
//   PlainExecutor executor(context, dispatcher);
//   keyed.SetExecutor(CallRoute::kPlain, executor);

#ifndef CAROBSHIFT_SERVER_ONCE_PLAIN_EXECUTOR_H_
#define CAROBSHIFT_SERVER_ONCE_PLAIN_EXECUTOR_H_

#include "carobshift/server/dispatch/plain_dispatcher.h"
#include "carobshift/server/entry_context.h"
#include "carobshift/server/once/keyed_calls.h"

namespace carobshift {

// Thread-safe.
class PlainExecutor : public KeyedExecutor {
 public:
  PlainExecutor(EntryContext& context, PlainDispatcher& dispatcher)
      : context_(context), dispatcher_(dispatcher) {}

  FinalAnswer Execute(const ForwardCall& call,
                      MonotonicTime deadline,
                      const DispatchGate& gate,
                      const LiveEvents& live) override;

 private:
  EntryContext& context_;
  PlainDispatcher& dispatcher_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_ONCE_PLAIN_EXECUTOR_H_
