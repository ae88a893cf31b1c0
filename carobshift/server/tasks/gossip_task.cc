#include "carobshift/server/tasks/gossip_task.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <map>
#include <string_view>
#include <utility>

#include "carobshift/membership/gossip_codec.h"
#include "carobshift/server/tasks/suspect_facts.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

// Datagrams taken in one round before the next tick is due again: a flood must
// not keep this entry from answering for itself.
constexpr int kMaxPerRound = 256;

std::vector<NetAddress> ListedEntries(const EntryContext& context) {
  std::vector<NetAddress> addresses;
  for (const EndpointInfo& entry : context.endpoints.All(InstanceKind::kEntry))
    addresses.push_back(entry.address);
  return addresses;
}

}  // namespace

Status GossipTask::Bind(const NetAddress& address) {
  try {
    socket_.bind(Poco::Net::SocketAddress(address.host, address.port));
    return Status();
  } catch (const Poco::Exception& e) {
    return Error{ResultCode::kInternal, "cannot use UDP port " +
                                            address.ToString() +
                                            " for gossip: " + e.displayText()};
  }
}

Milliseconds GossipTask::RunOnce(MonotonicTime) {
  constexpr Poco::Timespan::TimeDiff kTickMicroseconds =
      Microseconds(Membership::kTick).count();
  if (socket_.poll(Poco::Timespan(kTickMicroseconds),
                   Poco::Net::Socket::SELECT_READ))
    Receive();
  const MonotonicTime now = MonotonicNow();
  if (now >= next_tick_)
    Tick(now);
  return Milliseconds(0);
}

void GossipTask::Receive() {
  std::array<char, kMaxDatagramBytes + 1> buffer;
  for (int i = 0; i < kMaxPerRound && socket_.available() > 0; ++i) {
    Poco::Net::SocketAddress sender;
    const int size = socket_.receiveFrom(
        buffer.data(), static_cast<int>(buffer.size()), sender);
    const std::string_view bytes(buffer.data(), static_cast<std::size_t>(size));
    SendAll(context_.membership.OnDatagram(bytes, MonotonicNow()));
  }
}

void GossipTask::Tick(MonotonicTime now) {
  next_tick_ = now + Membership::kTick;
  const auto config = context_.config.current();
  const ConfigVersion version = config ? config->version : ConfigVersion(0);
  SendAll(context_.membership.OnTick(ListedEntries(context_), version, now));
  context_.endpoints.TakeFacts(
      context_.membership.Subjects(FactKind::kEndpointLeaving, now),
      context_.membership.Subjects(FactKind::kEndpointDraining, now), now);
  ExchangeSuspects(now);
  LogChanges();
}

// A caller whose request crashed endpoints may turn to another entry; that one
// must refuse it too.
void GossipTask::ExchangeSuspects(MonotonicTime now) {
  context_.membership.PublishFacts(
      SuspectFacts(context_.load.ExportSuspects(now)), now);
  context_.load.MergeSuspects(SuspectsOf(context_.membership.ActiveFacts(
                                  FactKind::kSuspectedRequest, now)),
                              now);
}

void GossipTask::SendAll(const std::vector<SendDatagram>& datagrams) {
  for (const SendDatagram& datagram : datagrams) {
    try {
      socket_.sendTo(
          datagram.bytes.data(), static_cast<int>(datagram.bytes.size()),
          Poco::Net::SocketAddress(datagram.to.host, datagram.to.port));
    } catch (const Poco::Exception&) {
      // Unreachable now is the same as lost: the probes find out.
    }
  }
}

void GossipTask::LogChanges() {
  std::map<EntryId, MemberState> states;
  for (const MemberRecord& member : context_.membership.Members()) {
    states[member.info.id] = member.state;
    const auto known = states_.find(member.info.id);
    if (known != states_.end() && known->second == member.state)
      continue;
    static constexpr std::array<std::string_view, 3> kEvents = {
        "member_alive", "member_suspect", "member_dead"};
    static constexpr std::array<std::string_view, 3> kReasons = {
        "it answers", "it answered neither this entry nor its helpers",
        "it did not contradict the suspicion in time"};
    const auto state = static_cast<std::size_t>(member.state);
    LogEvent(LogLevel::kInfo, kEvents[state],
             {{"entry", member.info.id.value()}, {"reason", kReasons[state]}});
  }
  states_ = std::move(states);
}

}  // namespace carobshift
