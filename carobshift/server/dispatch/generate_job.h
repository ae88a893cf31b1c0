// The input and the outcome of one completion at the dispatcher.
//
//   GenerateOutcome outcome = dispatcher.Run(job, writer);

#ifndef CAROBSHIFT_SERVER_DISPATCH_GENERATE_JOB_H_
#define CAROBSHIFT_SERVER_DISPATCH_GENERATE_JOB_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"
#include "carobshift/config/declaration.h"
#include "carobshift/once/run_table.h"
#include "carobshift/server/http/caller_error.h"
#include "carobshift/server/http/caller_request.h"
#include "carobshift/server/tables/config_table.h"

namespace carobshift {

struct GenerateJob {
  RequestId id;
  AccountId account;
  std::optional<ConversationId> conversation;
  // Keeps `service` alive.
  std::shared_ptr<const ActiveConfig> config;
  const ServiceSpec* service = nullptr;
  AdapterName adapter;
  std::string prompt;
  Tokens max_tokens = 16;
  PriorityClass priority = PriorityClass::kNormal;
  // False if the caller marked the request as not repeatable. Then no second
  // attempt, including a resume, is made once the first may have run.
  bool repeatable = true;
  MonotonicTime received;
  MonotonicTime deadline;
  // If set, called just before the first byte of each attempt is sent. A
  // refusal ends the request.
  std::function<std::optional<Refusal>(MonotonicTime now)> gate;
};

struct GenerateUsage {
  WeightVersion version;
  Tokens prompt_tokens = 0;
  Tokens cached_tokens = 0;
  Tokens imported_tokens = 0;
  Tokens completion_tokens = 0;
  std::string finish_reason;
};

struct GenerateOutcome {
  // Empty if the answer is complete.
  std::optional<CallerError> error;
  GenerateUsage usage;
};

// Writes a streamed answer to the caller. Used by one thread.
class AnswerWriter {
 public:
  virtual ~AnswerWriter() = default;
  // Writes the next token. False if the caller has disconnected.
  [[nodiscard]] virtual bool WriteToken(std::string_view text) = 0;
  // True if the caller has disconnected. Polled while there is nothing to
  // write.
  [[nodiscard]] virtual bool CallerDisconnected() = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_DISPATCH_GENERATE_JOB_H_
