#include "carobshift/gateway/connection_quota_report.h"

#include <string_view>

#include "carobshift/telemetry/event_log.h"

namespace carobshift {

void ConnectionQuotaReport::OnTick(const ConnectionQuota& quota,
                                   Metrics& metrics,
                                   MonotonicTime now) {
  const ConnectionQuotaCounters& taken = quota.counters();
  metrics.Set("carobshift_caller_connections", {},
              static_cast<double>(quota.connections()));
  const auto set_taken = [&metrics](std::string_view what,
                                    std::uint64_t number) {
    metrics.Set("carobshift_caller_room_taken", {{"from", what}},
                static_cast<double>(number));
  };
  set_taken("ended", taken.ended_closed);
  set_taken("idle", taken.idle_closed);
  set_taken("unfinished", taken.unfinished_refused);
  set_taken("unread_reply", taken.unread_replies_cut);
  metrics.Set("carobshift_caller_connections_refused", {},
              static_cast<double>(taken.connections_refused));
  if (taken == logged_ || now < next_log_)
    return;
  next_log_ = now + kLogInterval;
  LogEvent(
      LogLevel::kWarning, "caller_room_taken",
      {{"connections", quota.connections()},
       {"most", quota.max_connections()},
       {"bytes", quota.budget().held()},
       {"most_bytes", quota.budget().limit()},
       {"ended", taken.ended_closed - logged_.ended_closed},
       {"idle", taken.idle_closed - logged_.idle_closed},
       {"unfinished", taken.unfinished_refused - logged_.unfinished_refused},
       {"unread_replies",
        taken.unread_replies_cut - logged_.unread_replies_cut},
       {"refused", taken.connections_refused - logged_.connections_refused},
       {"requests_refused", taken.bytes_refused - logged_.bytes_refused},
       {"discarded", taken.inputs_discarded - logged_.inputs_discarded}});
  logged_ = taken;
}

}  // namespace carobshift
