// Imports a stored KV-cache object for one attempt, from pinning the object to
// recording the outcome.
//
//   AttemptImport import(context);
//   import.Begin(cached, attempt);
//   import.AddTo(request);
//   ...
//   import.End(sink.start());
//
// End may be called more than once; only the first call after Begin counts. If
// any step fails, the attempt continues and the engine computes the prompt: a
// full, slow or unreachable store costs only a recompute.

#ifndef CAROBSHIFT_SERVER_DISPATCH_ATTEMPT_IMPORT_H_
#define CAROBSHIFT_SERVER_DISPATCH_ATTEMPT_IMPORT_H_

#include <optional>

#include "carobshift/external/engine.h"
#include "carobshift/server/entry_context.h"

namespace carobshift {

// Used by one thread.
class AttemptImport {
 public:
  explicit AttemptImport(EntryContext& context) : context_(context) {}

  // Begins the import if routing chose one and the chosen endpoint runs the
  // weight version that the object was made with. Blocks for the pin and for
  // the transfer's turn on the store link.
  void Begin(const PromptCache& cached, const Attempt& attempt);
  void AddTo(GenerateRequest& request) const;
  // `start` is empty if the engine did not begin to answer.
  void End(const std::optional<GenerateStart>& start);

 private:
  EntryContext& context_;
  std::optional<ImportGrant> grant_;
  // The service that the import is made for, as a metric label.
  ServiceName service_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_DISPATCH_ATTEMPT_IMPORT_H_
