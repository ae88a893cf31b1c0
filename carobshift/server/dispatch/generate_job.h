// One completion as the dispatcher sees it, and what comes out of it.
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
  // False if the caller marked the request as not repeatable: no second attempt
  // once the first may have run, a resume included.
  bool repeatable = true;
  MonotonicTime received;
  MonotonicTime deadline;
  // If set, asked just before each attempt's first byte may leave; an answer
  // ends the request.
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
  // Nothing if the answer is whole.
  std::optional<CallerError> error;
  GenerateUsage usage;
};

// The caller's side of a stream. Used by one thread.
class AnswerWriter {
 public:
  virtual ~AnswerWriter() = default;
  // Passes the next token on. False if the caller is gone.
  [[nodiscard]] virtual bool WriteToken(std::string_view text) = 0;
  // Checked while nothing can be written yet.
  [[nodiscard]] virtual bool CallerIsGone() = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_DISPATCH_GENERATE_JOB_H_
