#include "carobshift/gateway/endpoints/service_reachability.h"

#include <algorithm>
#include <utility>

namespace carobshift {

std::string_view ServiceReachName(ServiceReach reach) {
  switch (reach) {
    case ServiceReach::kReached:
      return "reached";
    case ServiceReach::kOpenConnectionsOnly:
      return "open_connections_only";
    case ServiceReach::kUnreached:
      return "unreached";
  }
  return "unknown";
}

ServiceReachability::RunTime ServiceReachability::Service::last_contact()
    const {
  return std::max(last_bytes, last_connected);
}

std::size_t ServiceReachability::Service::EvidenceNeeded() const {
  return std::min(endpoints.size(), kMaxEvidenceEndpoints);
}

int ServiceReachability::Service::StrikesNeeded() const {
  constexpr std::size_t kFewEndpoints = 2;
  return endpoints.size() <= kFewEndpoints ? 2 : 1;
}

ServiceReachability::RunTime ServiceReachability::Service::HoldTime() const {
  constexpr int kMaxDoublings = 8;
  if (losses <= 1)
    return RunTime(0);
  const int doublings = std::min(losses - 2, kMaxDoublings);
  return std::min<RunTime>(kMaxHold, kFirstHold * (1 << doublings));
}

void ServiceReachability::SetEndpoints(
    const std::map<NetAddress, ServiceName>& endpoints,
    MonotonicTime now) {
  CountTime(now);
  std::erase_if(endpoints_, [&endpoints](const auto& known) {
    const auto found = endpoints.find(known.first);
    return found == endpoints.end() || found->second != known.second.service;
  });
  for (auto& [name, service] : services_)
    service.endpoints.clear();
  for (const auto& [address, name] : endpoints) {
    endpoints_[address].service = name;
    services_[name].endpoints.push_back(address);
  }
  for (auto& [name, service] : services_) {
    if (service.endpoints.empty())
      SetReach(name, service, ServiceReach::kReached);
  }
  std::erase_if(services_, [](const auto& entry) {
    return entry.second.endpoints.empty();
  });
}

void ServiceReachability::CountTime(MonotonicTime now) {
  constexpr Milliseconds kActiveTime{1000};
  if (last_event_ && now > *last_event_)
    clock_ += std::min<RunTime>(now - *last_event_, kMaxStep);
  last_event_ = now;
  active_until_ = now + kActiveTime;
}

ServiceReachability::Endpoint* ServiceReachability::Find(
    const NetAddress& address) {
  const auto found = endpoints_.find(address);
  return found == endpoints_.end() ? nullptr : &found->second;
}

void ServiceReachability::OnConnectStarted(const NetAddress& address,
                                           MonotonicTime now) {
  CountTime(now);
  if (Endpoint* const endpoint = Find(address)) {
    endpoint->connecting.push_back(clock_);
    endpoint->tried_at = clock_;
    endpoint->probe_not_opened = false;
  }
}

void ServiceReachability::OnConnected(const NetAddress& address,
                                      MonotonicTime now) {
  CountTime(now);
  Endpoint* const endpoint = Find(address);
  if (endpoint == nullptr)
    return;
  if (!endpoint->connecting.empty())
    endpoint->connecting.pop_front();
  endpoint->failures = 0;
  Service& service = services_[endpoint->service];
  service.last_connected = clock_;
  if (std::exchange(service.silence_probe_open, false)) {
    service.silence_threshold =
        std::min<RunTime>(kMaxSilence, service.silence_threshold * 2);
    service.silence_threshold_set = clock_;
  }
  Evaluate(endpoint->service, service);
}

void ServiceReachability::OnConnectFailed(const NetAddress& address,
                                          MonotonicTime now) {
  CountTime(now);
  Endpoint* const endpoint = Find(address);
  if (endpoint == nullptr)
    return;
  if (!endpoint->connecting.empty())
    endpoint->connecting.pop_front();
  ++endpoint->failures;
  endpoint->failed_at = endpoint->tried_at = clock_;
  Evaluate(endpoint->service, services_[endpoint->service]);
}

void ServiceReachability::OnConnectAbandoned(const NetAddress& address,
                                             MonotonicTime now) {
  CountTime(now);
  Endpoint* const endpoint = Find(address);
  if (endpoint != nullptr && !endpoint->connecting.empty())
    endpoint->connecting.pop_back();
}

void ServiceReachability::OnRequestSent(const NetAddress& address,
                                        MonotonicTime now) {
  CountTime(now);
  Endpoint* const endpoint = Find(address);
  if (endpoint != nullptr && ++endpoint->requests == 1)
    endpoint->waiting_since = clock_;
}

void ServiceReachability::OnRequestEnded(const NetAddress& address,
                                         MonotonicTime now) {
  CountTime(now);
  Endpoint* const endpoint = Find(address);
  if (endpoint != nullptr && endpoint->requests > 0)
    --endpoint->requests;
}

void ServiceReachability::OnBytesReceived(const NetAddress& address,
                                          MonotonicTime now) {
  CountTime(now);
  Endpoint* const endpoint = Find(address);
  if (endpoint == nullptr)
    return;
  endpoint->last_bytes = endpoint->waiting_since = clock_;
  Service& service = services_[endpoint->service];
  service.last_bytes = clock_;
  if (service.reach != ServiceReach::kUnreached)
    return;
  SetReach(endpoint->service, service, ServiceReach::kOpenConnectionsOnly);
  service.next_probe_time = clock_;
}

void ServiceReachability::OnConnectionBroken(const NetAddress& address,
                                             MonotonicTime now) {
  CountTime(now);
  Endpoint* const endpoint = Find(address);
  if (endpoint == nullptr)
    return;
  endpoint->broken_at = clock_;
  Evaluate(endpoint->service, services_[endpoint->service]);
}

void ServiceReachability::OnProbeNotOpened(const NetAddress& address,
                                           MonotonicTime now) {
  CountTime(now);
  if (Endpoint* const endpoint = Find(address))
    endpoint->probe_not_opened = true;
}

int ServiceReachability::Strikes(const Endpoint& endpoint,
                                 RunTime contact) const {
  int strikes = 0;
  if (endpoint.failed_at > contact &&
      clock_ - endpoint.failed_at <= kEvidenceLifetime)
    strikes += endpoint.failures;
  if (clock_ - contact < kConnectOverdue)
    return strikes;
  strikes += static_cast<int>(std::count_if(
      endpoint.connecting.begin(), endpoint.connecting.end(),
      [this](RunTime started) { return clock_ - started >= kConnectOverdue; }));
  return strikes;
}

bool ServiceReachability::Fails(const Service& service,
                                const Endpoint& endpoint,
                                RunTime contact) const {
  if (Strikes(endpoint, contact) >= service.StrikesNeeded())
    return true;
  return endpoint.probe_not_opened && endpoint.requests > 0 &&
         clock_ - std::max(contact, endpoint.waiting_since) >= kMaxSilence;
}

std::size_t ServiceReachability::CountFailing(const Service& service,
                                              RunTime contact) const {
  return static_cast<std::size_t>(
      std::count_if(service.endpoints.begin(), service.endpoints.end(),
                    [this, &service, contact](const NetAddress& address) {
                      return Fails(service, endpoints_.at(address), contact);
                    }));
}

bool ServiceReachability::OpenConnectionsLive(const Service& service) const {
  constexpr std::size_t kLiveEndpoints = 2;
  const auto live = static_cast<std::size_t>(std::count_if(
      service.endpoints.begin(), service.endpoints.end(),
      [this, &service](const NetAddress& address) {
        const Endpoint& endpoint = endpoints_.at(address);
        return Fails(service, endpoint, service.last_connected) &&
               endpoint.last_bytes >
                   std::max(endpoint.failed_at, service.last_connected) &&
               clock_ - endpoint.last_bytes <= kEvidenceLifetime;
      }));
  return live >= std::min(kLiveEndpoints, service.endpoints.size());
}

ServiceReachability::RunTime ServiceReachability::SignalTime(
    const Endpoint& endpoint,
    RunTime contact) const {
  RunTime signal = std::max(endpoint.failed_at, endpoint.broken_at);
  if (!endpoint.connecting.empty()) {
    const RunTime late =
        std::max(contact, endpoint.connecting.front()) + RunTime(kConnectLate);
    if (clock_ >= late)
      signal = std::max(signal, late);
  }
  const bool is_recent = clock_ - signal <= kEvidenceLifetime;
  return is_recent && signal > contact ? signal : kNever;
}

bool ServiceReachability::IsSuspect(const Service& service) const {
  constexpr int kSignalsAtOnce = 2;
  constexpr std::size_t kSignalsBesideBytes = 3;
  const RunTime contact = service.last_contact();
  int signals = 0;
  std::size_t since_connected = 0;
  RunTime first = clock_;
  for (const NetAddress& address : service.endpoints) {
    const Endpoint& endpoint = endpoints_.at(address);
    if (SignalTime(endpoint, service.last_connected) != kNever)
      ++since_connected;
    const RunTime signal = SignalTime(endpoint, contact);
    if (signal == kNever)
      continue;
    ++signals;
    first = std::min(first, signal);
  }
  if (signals >= kSignalsAtOnce ||
      (signals > 0 && clock_ - first >= kSingleSignalDelay))
    return true;
  return since_connected >=
         std::min(service.EvidenceNeeded(), kSignalsBesideBytes);
}

void ServiceReachability::StartRound(Service& service) {
  const RunTime contact = service.last_contact();
  service.next_round = clock_ + RunTime(kRoundInterval);
  std::size_t covered = 0;
  std::vector<NetAddress> untested;
  for (std::size_t i = 0; i < service.endpoints.size(); ++i) {
    const std::size_t at = (service.next_probe + i) % service.endpoints.size();
    const NetAddress& address = service.endpoints[at];
    const Endpoint& endpoint = endpoints_.at(address);
    if (!endpoint.connecting.empty() || Strikes(endpoint, contact) > 0)
      ++covered;
    else
      untested.push_back(address);
  }
  const std::size_t needed = service.EvidenceNeeded();
  if (covered < needed) {
    untested.resize(std::min(untested.size(), needed - covered));
    for (const NetAddress& address : untested)
      probes_.push_back(address);
    service.next_probe += untested.size();
  }
  if (service.StrikesNeeded() == 1)
    return;
  // With few endpoints, each gets as many attempts as count.
  for (const NetAddress& address : service.endpoints) {
    const Endpoint& endpoint = endpoints_.at(address);
    const int attempts = static_cast<int>(endpoint.connecting.size()) +
                         (endpoint.failed_at > contact ? endpoint.failures : 0);
    if (attempts < service.StrikesNeeded())
      probes_.push_back(address);
  }
}

void ServiceReachability::ProbeIfSilent(Service& service) {
  if (clock_ - service.silence_threshold_set >= kSilenceThresholdLifetime) {
    service.silence_threshold =
        std::max<RunTime>(kMinSilence, service.silence_threshold / 2);
    service.silence_threshold_set = clock_;
  }
  if (clock_ < service.next_silence_probe ||
      clock_ - service.last_contact() < service.silence_threshold)
    return;
  const auto silent = std::find_if(
      service.endpoints.begin(), service.endpoints.end(),
      [this, &service](const NetAddress& address) {
        const Endpoint& endpoint = endpoints_.at(address);
        return endpoint.requests > 0 && endpoint.connecting.empty() &&
               clock_ - endpoint.waiting_since >= service.silence_threshold;
      });
  if (silent == service.endpoints.end())
    return;
  service.next_silence_probe = clock_ + RunTime(kSilenceProbeInterval);
  service.silence_probe_open = true;
  probes_.push_back(*silent);
}

void ServiceReachability::EvaluateReached(const ServiceName& name,
                                          Service& service) {
  const std::size_t needed = service.EvidenceNeeded();
  if (CountFailing(service, service.last_contact()) >= needed) {
    SetReach(name, service, ServiceReach::kUnreached);
    OnLost(name, service);
    return;
  }
  if (CountFailing(service, service.last_connected) >= needed &&
      OpenConnectionsLive(service)) {
    SetReach(name, service, ServiceReach::kOpenConnectionsOnly);
    OnLost(name, service);
    return;
  }
  if (clock_ >= service.next_round && IsSuspect(service))
    StartRound(service);
}

void ServiceReachability::OnLost(const ServiceName& name, Service& service) {
  service.losses =
      clock_ - service.lost_at <= kFlapWindow ? service.losses + 1 : 1;
  service.lost_at = clock_;
  service.success_since = kNever;
  service.silence_probe_open = false;
  service.probe_interval = kFirstProbeInterval;
  service.next_probe_time = clock_ + service.probe_interval;
  for (auto& [other_name, other] : services_) {
    const bool is_quiet = service.reach == ServiceReach::kOpenConnectionsOnly ||
                          clock_ - other.last_contact() >= kConnectLate;
    if (other_name != name && other.reach == ServiceReach::kReached &&
        is_quiet && clock_ >= other.next_round)
      StartRound(other);
  }
}

void ServiceReachability::EvaluateUnreached(const ServiceName& name,
                                            Service& service) {
  const bool succeeds = service.last_connected > service.lost_at &&
                        clock_ - service.last_connected <= kMaxSuccessGap;
  if (!succeeds) {
    service.success_since = kNever;
  } else if (service.success_since == kNever) {
    service.success_since = clock_;
    service.probe_interval = kFirstProbeInterval;
    service.next_probe_time = clock_ + service.probe_interval;
  }
  if (succeeds && clock_ - service.success_since >= service.HoldTime()) {
    SetReach(name, service, ServiceReach::kReached);
    return;
  }
  if (clock_ < service.next_probe_time)
    return;
  if (service.success_since == kNever) {
    service.probe_interval =
        std::min<RunTime>(kMaxProbeInterval, service.probe_interval * 2);
  }
  service.next_probe_time = clock_ + service.probe_interval;
  const std::size_t count = std::min(kProbesPerRound, service.endpoints.size());
  for (std::size_t i = 0; i < count; ++i) {
    probes_.push_back(
        service.endpoints[service.next_probe++ % service.endpoints.size()]);
  }
}

void ServiceReachability::Evaluate(const ServiceName& name, Service& service) {
  if (service.reach == ServiceReach::kReached)
    EvaluateReached(name, service);
  else
    EvaluateUnreached(name, service);
}

void ServiceReachability::SetReach(const ServiceName& name,
                                   Service& service,
                                   ServiceReach reach) {
  if (service.reach == reach)
    return;
  const MonotonicTime now = last_event_.value_or(MonotonicTime{});
  if (service.reach == ServiceReach::kReached) {
    const RunTime since_contact =
        clock_ - (reach == ServiceReach::kUnreached ? service.last_contact()
                                                    : service.last_connected);
    service.lost_since =
        now - std::min<RunTime>(since_contact, kEvidenceLifetime);
  }
  if (reach == ServiceReach::kReached)
    service.reached_again = now;
  service.reach = reach;
  ReachabilityChange change;
  change.lost_since = service.lost_since;
  change.service = name;
  change.reach = reach;
  change.endpoints = static_cast<int>(service.endpoints.size());
  change.tried = static_cast<int>(std::count_if(
      service.endpoints.begin(), service.endpoints.end(),
      [this](const NetAddress& address) {
        return clock_ - endpoints_.at(address).tried_at <= kEvidenceLifetime;
      }));
  change.failed =
      static_cast<int>(CountFailing(service, service.last_connected));
  if (service.last_bytes != kNever) {
    change.last_bytes_age =
        std::chrono::duration_cast<Milliseconds>(clock_ - service.last_bytes);
  }
  changes_.push_back(change);
}

void ServiceReachability::Advance(MonotonicTime now) {
  const MonotonicTime active_until = active_until_;
  CountTime(now);
  active_until_ = active_until;
  for (auto& [name, service] : services_) {
    Evaluate(name, service);
    if (service.reach == ServiceReach::kReached)
      ProbeIfSilent(service);
  }
}

bool ServiceReachability::NeedsAdvance(MonotonicTime now) const {
  return now < active_until_ || !Unreached().empty();
}

std::vector<NetAddress> ServiceReachability::TakeProbes() {
  return std::exchange(probes_, {});
}

std::vector<ReachabilityChange> ServiceReachability::TakeChanges() {
  return std::exchange(changes_, {});
}

ServiceReach ServiceReachability::ReachOf(const ServiceName& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? ServiceReach::kReached
                                  : found->second.reach;
}

bool ServiceReachability::LostAfter(const ServiceName& service,
                                    MonotonicTime since) const {
  const auto found = services_.find(service);
  return found != services_.end() &&
         (found->second.reach != ServiceReach::kReached ||
          found->second.reached_again > since);
}

std::vector<ServiceName> ServiceReachability::Unreached() const {
  std::vector<ServiceName> unreached;
  for (const auto& [name, service] : services_) {
    if (service.reach != ServiceReach::kReached)
      unreached.push_back(name);
  }
  return unreached;
}

}  // namespace carobshift
