// Background tasks that read and append the claims of free idempotency keys on
// the shared log.
//
//   ClaimReader reader(context, table);
//   ClaimAppender appender(context, table);
//   ClaimTimer timer(table);
//   runner.Start(reader);
//   runner.Start(appender);
//   runner.Start(timer);

#ifndef CAROBSHIFT_SERVER_ONCE_CLAIMS_TASKS_H_
#define CAROBSHIFT_SERVER_ONCE_CLAIMS_TASKS_H_

#include "carobshift/server/entry_context.h"
#include "carobshift/server/once/idempotency_table.h"
#include "carobshift/server/tasks/background_task.h"

namespace carobshift {

class ClaimReader : public BackgroundTask {
 public:
  ClaimReader(EntryContext& context, IdempotencyTable& table)
      : context_(context), table_(table) {}
  [[nodiscard]] std::string_view name() const override {
    return "claim_reader";
  }
  Milliseconds RunOnce(MonotonicTime now) override;

 private:
  EntryContext& context_;
  IdempotencyTable& table_;
};

class ClaimAppender : public BackgroundTask {
 public:
  ClaimAppender(EntryContext& context, IdempotencyTable& table)
      : context_(context), table_(table) {}
  [[nodiscard]] std::string_view name() const override {
    return "claim_appender";
  }
  Milliseconds RunOnce(MonotonicTime now) override;

 private:
  EntryContext& context_;
  IdempotencyTable& table_;
};

// Ends waits for claims at their deadlines, also while the other two tasks are
// blocked on the log.
class ClaimTimer : public BackgroundTask {
 public:
  explicit ClaimTimer(IdempotencyTable& table) : table_(table) {}
  [[nodiscard]] std::string_view name() const override { return "claim_timer"; }
  Milliseconds RunOnce(MonotonicTime now) override;

 private:
  IdempotencyTable& table_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_ONCE_CLAIMS_TASKS_H_
