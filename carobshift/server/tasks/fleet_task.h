// Reconciles the fleet with its declaration while this entry holds the lease:
// plans, publishes drains and sends orders. Every decision is logged with its
// reason, and the last ones are in the state dump.
//
//   FleetTask fleet(context, leaving);
//   runner.Start(fleet);

#ifndef CAROBSHIFT_SERVER_TASKS_FLEET_TASK_H_
#define CAROBSHIFT_SERVER_TASKS_FLEET_TASK_H_

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "carobshift/fleet/fleet_facts.h"
#include "carobshift/fleet/fleet_planner.h"
#include "carobshift/server/entry_context.h"
#include "carobshift/server/tasks/background_task.h"
#include "carobshift/telemetry/state_source.h"

namespace carobshift {

class FleetTask : public BackgroundTask, public StateSource {
 public:
  // Resigns the lease when `leaving` is true.
  FleetTask(EntryContext& context, const std::atomic<bool>& leaving)
      : context_(context), leaving_(leaving), planner_(FleetOptions{}) {}
  [[nodiscard]] std::string_view name() const override { return "fleet"; }
  Milliseconds RunOnce(MonotonicTime now) override;

  // The last kMaxDecisions decisions, newest last.
  [[nodiscard]] nlohmann::json DumpState() const override;

 private:
  static constexpr std::size_t kMaxDecisions = 64;

  void PlanAndOrder(const Declaration& declaration,
                    FencingNumber number,
                    MonotonicTime now);
  void PublishDrains(const FleetPlan& plan,
                     FencingNumber number,
                     MonotonicTime now);
  void Send(const FleetOrder& order);
  void LogWaits(const FleetPlan& plan);
  void RecordDecision(LogLevel level,
                      std::string_view event,
                      nlohmann::json fields);

  EntryContext& context_;
  const std::atomic<bool>& leaving_;
  FleetPlanner planner_;
  DrainFacts drain_facts_;
  std::optional<FencingNumber> tenure_;
  std::map<EndpointId, std::string> drains_;
  std::map<ServiceName, std::string> waits_;

  mutable std::mutex mutex_;
  std::deque<nlohmann::json> decisions_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TASKS_FLEET_TASK_H_
