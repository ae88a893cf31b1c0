#include "carobshift/server/http/caller_connections.h"

#include <Poco/Exception.h>

#include <utility>

#include "carobshift/net/arrival_rate.h"
#include "carobshift/server/caller_memory.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr Milliseconds kLogInterval{1000};
// Part of the threads, as a divisor, that connections without a request leave
// to others.
constexpr std::size_t kSparePart = 8;

}  // namespace

// One connection. Guarded by the mutex of CallerConnections.
class CallerConnections::Caller : public QuotaMember, public QuotaSocket {
 public:
  Caller(Poco::Net::StreamSocket connection, ByteBudget& budget)
      : reserved(&budget, ByteImportance::kRequest),
        since(MonotonicNow()),
        socket_(std::move(connection)) {}

  [[nodiscard]] ConnectionActivity activity() const override {
    return {.state = state,
            .since = since,
            .bytes_per_second = rate.BytesPerSecond(MonotonicNow())};
  }
  // The thread frees what it has read as soon as it reads the end.
  void Reclaim() override {
    reclaimed = true;
    reserved.Release();
    slot->OnEnded(MonotonicNow());
    try {
      socket_.shutdownReceive();
    } catch (const Poco::Exception&) {
      // The caller has closed it.
    }
  }
  void Close() override {
    try {
      socket_.shutdown();
    } catch (const Poco::Exception&) {
      // The same.
    }
  }
  void SetState(ConnectionState new_state) {
    state = new_state;
    since = MonotonicNow();
  }

  // Nothing is known of a connection that waits for a thread; it keeps its
  // place.
  ConnectionState state = ConnectionState::kServing;
  // Of the body of the present request.
  ByteReservation reserved;
  ArrivalRate rate;
  MonotonicTime since;
  std::shared_ptr<ConnectionSlot> slot;
  bool reclaimed = false;

 private:
  Poco::Net::StreamSocket socket_;
};

CallerConnections::CallerConnections(const CallerConnectionsOptions& options)
    : budget_(MaxCallerBytes(options.memory)),
      quota_({.max_connections = options.threads + options.queued,
              .max_active = options.threads - options.threads / kSparePart},
             budget_) {}

CallerConnections::~CallerConnections() = default;

bool CallerConnections::Admit(const Poco::Net::StreamSocket& socket) {
  const std::lock_guard lock(mutex_);
  const auto slot = quota_.Admit(MonotonicNow());
  LogTaken();
  if (slot == nullptr)
    return false;
  const auto caller = std::make_shared<Caller>(socket, budget_);
  slot->Attach(caller, caller);
  caller->slot = slot;
  callers_[socket.impl()] = caller;
  return true;
}

void CallerConnections::LogTaken() {
  const ConnectionQuotaCounters& taken = quota_.counters();
  const MonotonicTime now = MonotonicNow();
  if (taken == logged_ || now < next_log_)
    return;
  next_log_ = now + kLogInterval;
  LogEvent(
      LogLevel::kWarning, "caller_room_taken",
      {{"connections", quota_.connections()},
       {"bytes", budget_.held()},
       {"idle", taken.idle_closed - logged_.idle_closed},
       {"unfinished", taken.unfinished_refused - logged_.unfinished_refused},
       {"refused", taken.connections_refused - logged_.connections_refused},
       {"requests_refused", taken.bytes_refused - logged_.bytes_refused}});
  logged_ = taken;
}

void CallerConnections::OnOpen(const Poco::Net::StreamSocket& socket) {
  const std::lock_guard lock(mutex_);
  const auto caller = Find(socket.impl());
  if (caller == nullptr)
    return;
  caller->SetState(ConnectionState::kIdle);
  // Others may still wait for a thread.
  quota_.ReclaimPlaces(caller.get(), MonotonicNow());
}

void CallerConnections::OnClose(const Poco::Net::StreamSocket& socket) {
  const std::lock_guard lock(mutex_);
  callers_.erase(socket.impl());
}

void CallerConnections::CloseQueued() {
  const std::lock_guard lock(mutex_);
  callers_.clear();
}

void CallerConnections::WriteMetrics(Metrics& metrics) const {
  ConnectionQuotaCounters taken;
  std::size_t connections = 0;
  std::size_t held = 0;
  {
    const std::lock_guard lock(mutex_);
    taken = quota_.counters();
    connections = quota_.connections();
    held = budget_.held();
  }
  metrics.Set("carobshift_caller_connections", {},
              static_cast<double>(connections));
  metrics.Set("carobshift_caller_bytes_held", {}, static_cast<double>(held));
  metrics.Set("carobshift_caller_bytes_over_budget", {},
              static_cast<double>(taken.bytes_refused));
  metrics.Set("carobshift_caller_room_taken", {{"from", "idle"}},
              static_cast<double>(taken.idle_closed));
  metrics.Set("carobshift_caller_room_taken", {{"from", "unfinished"}},
              static_cast<double>(taken.unfinished_refused));
  metrics.Set("carobshift_caller_connections_refused", {},
              static_cast<double>(taken.connections_refused));
}

std::shared_ptr<CallerConnections::Caller> CallerConnections::Find(
    Key key) const {
  const auto found = callers_.find(key);
  return found == callers_.end() ? nullptr : found->second;
}

RequestRoom::RequestRoom(CallerConnections& connections,
                         const Poco::Net::StreamSocket& socket)
    : connections_(connections) {
  const std::lock_guard lock(connections_.mutex_);
  caller_ = connections_.Find(socket.impl());
  if (caller_ != nullptr)
    caller_->SetState(ConnectionState::kServing);
}

RequestRoom::~RequestRoom() {
  const std::lock_guard lock(connections_.mutex_);
  if (caller_ != nullptr) {
    caller_->reserved.Release();
    caller_->SetState(ConnectionState::kIdle);
  }
  caller_.reset();
}

void RequestRoom::OnBodyBegins() {
  const std::lock_guard lock(connections_.mutex_);
  if (caller_ == nullptr)
    return;
  caller_->SetState(ConnectionState::kReading);
  caller_->rate = ArrivalRate(caller_->since);
}

bool RequestRoom::Reserve(std::size_t bytes) {
  const std::lock_guard lock(connections_.mutex_);
  if (caller_ == nullptr || caller_->reclaimed)
    return false;
  return connections_.quota_.Grow(caller_->reserved, bytes * kBodyCopies,
                                  caller_.get(), MonotonicNow());
}

void RequestRoom::OnBody(std::size_t total) {
  const std::lock_guard lock(connections_.mutex_);
  if (caller_ != nullptr)
    caller_->rate.OnBytes(total, MonotonicNow());
}

void RequestRoom::OnBodyRead() {
  const std::lock_guard lock(connections_.mutex_);
  if (caller_ != nullptr && !caller_->reclaimed)
    caller_->SetState(ConnectionState::kServing);
}

bool RequestRoom::reclaimed() const {
  const std::lock_guard lock(connections_.mutex_);
  return caller_ != nullptr && caller_->reclaimed;
}

}  // namespace carobshift
