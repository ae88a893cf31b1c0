#include "carobshift/server/tables/request_journal.h"

#include <utility>

#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

double ToMilliseconds(Microseconds duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

void RequestJournal::Begin(const RequestId& id,
                           const AccountId& account,
                           const ServiceName& service,
                           MonotonicTime now) {
  const std::lock_guard lock(mutex_);
  Record record;
  record.account = account;
  record.service = service;
  record.begin = now;
  if (!records_.emplace(id, std::move(record)).second)
    return;
  ++open_;
  order_.push_back(id);
  if (order_.size() <= kMaxRequests)
    return;
  const auto oldest = records_.find(order_.front());
  if (!oldest->second.code)
    --open_;
  records_.erase(oldest);
  order_.pop_front();
}

void RequestJournal::Note(const RequestId& id,
                          MonotonicTime now,
                          std::string_view what,
                          nlohmann::json fields) {
  const std::lock_guard lock(mutex_);
  const auto it = records_.find(id);
  if (it == records_.end() || it->second.notes.size() >= kMaxNotes)
    return;
  it->second.notes.push_back(
      {now - it->second.begin, std::string(what), std::move(fields)});
}

void RequestJournal::End(const RequestId& id,
                         MonotonicTime now,
                         ResultCode code) {
  nlohmann::json line;
  {
    const std::lock_guard lock(mutex_);
    const auto it = records_.find(id);
    if (it == records_.end() || it->second.code)
      return;
    Record& record = it->second;
    record.code = code;
    record.duration = now - record.begin;
    --open_;
    line = {{"request", id.value()},
            {"account", record.account.value()},
            {"service", record.service.value()},
            {"result", ResultCodeName(code)},
            {"duration_ms", ToMilliseconds(record.duration)}};
  }
  LogEvent(LogLevel::kDebug, "request_ended", std::move(line));
}

std::optional<nlohmann::json> RequestJournal::Explain(
    const RequestId& id) const {
  const std::lock_guard lock(mutex_);
  const auto it = records_.find(id);
  if (it == records_.end())
    return std::nullopt;
  const Record& record = it->second;
  nlohmann::json steps = nlohmann::json::array();
  for (const Step& note : record.notes) {
    nlohmann::json step = note.fields;
    step["after_ms"] = ToMilliseconds(note.after);
    step["what"] = note.what;
    steps.push_back(std::move(step));
  }
  nlohmann::json out = {{"request_id", id.value()},
                        {"account", record.account.value()},
                        {"service", record.service.value()},
                        {"steps", std::move(steps)}};
  if (record.code) {
    out["result"] = ResultCodeName(*record.code);
    out["duration_ms"] = ToMilliseconds(record.duration);
  }
  return out;
}

nlohmann::json RequestJournal::DumpState() const {
  const std::lock_guard lock(mutex_);
  return {{"requests", records_.size()}, {"in_progress", open_}};
}

}  // namespace carobshift
