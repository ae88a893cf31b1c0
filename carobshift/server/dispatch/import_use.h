// One attempt's use of a stored object, from the pin to its end.
//
//   ImportUse import(context);
//   import.Begin(cached, attempt);
//   import.AddTo(request);
//   ...
//   import.End(sink.start());      // more than once is fine
//
// Whatever fails on the way, the attempt goes on and the engine computes the
// prompt: a store that is full, slow or dead costs a recompute only.

#ifndef CAROBSHIFT_SERVER_DISPATCH_IMPORT_USE_H_
#define CAROBSHIFT_SERVER_DISPATCH_IMPORT_USE_H_

#include <optional>

#include "carobshift/external/engine.h"
#include "carobshift/server/entry_context.h"

namespace carobshift {

// Used by one thread.
class ImportUse {
 public:
  explicit ImportUse(EntryContext& context) : context_(context) {}

  // Takes the import if routing chose one and the chosen endpoint runs the
  // version that it was made with. Blocks for the pin and the link's turn.
  void Begin(const PromptCache& cached, const Attempt& attempt);
  void AddTo(GenerateRequest& request) const;
  // `start` is nothing if the engine didn't begin to answer.
  void End(const std::optional<GenerateStart>& start);

 private:
  EntryContext& context_;
  std::optional<ImportGrant> grant_;
  // Whose work the import is for.
  ServiceName service_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_DISPATCH_IMPORT_USE_H_
