#include "carobshift/server/tasks/gossip_task.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "carobshift/membership/gossip_codec.h"
#include "carobshift/retry/crash_suspects.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

// Maximum number of datagrams processed per round, so that a flood does not
// delay this entry's own ticks.
constexpr int kMaxPerRound = 256;

std::vector<NetAddress> ListedEntries(const EntryContext& context) {
  std::vector<NetAddress> addresses;
  for (const EndpointInfo& entry : context.endpoints.All(InstanceKind::kEntry))
    addresses.push_back(entry.address);
  return addresses;
}

// Encodes a crash suspect as a gossip fact. The version is the number of
// crashes, plus kConvictedFlag if the request is convicted. The age is derived
// from the fact's remaining lifetime.
constexpr std::uint64_t kConvictedFlag = std::uint64_t{1} << 32;
const Milliseconds kSuspicionLifetime = CrashSuspectOptions{}.memory;

Fact ToFact(const SuspectRecord& record) {
  const auto crashes = static_cast<std::uint64_t>(record.crashes);
  return {
      .kind = FactKind::kSuspectedRequest,
      .subject = std::to_string(record.fingerprint.value()),
      .version = {.term = 0,
                  .counter = crashes + (record.confirmed ? kConvictedFlag : 0)},
      .active = true,
      .remaining = kSuspicionLifetime - record.age};
}

std::optional<SuspectRecord> ToSuspect(const Fact& fact) {
  std::uint64_t fingerprint = 0;
  const char* const end = fact.subject.data() + fact.subject.size();
  const auto parsed = std::from_chars(fact.subject.data(), end, fingerprint);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return SuspectRecord{
      .fingerprint = ContentFingerprint(fingerprint),
      .crashes = static_cast<int>(fact.version.counter % kConvictedFlag),
      .confirmed = fact.version.counter >= kConvictedFlag,
      .age = std::max(Milliseconds(0), kSuspicionLifetime - fact.remaining)};
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
                   Poco::Net::Socket::SELECT_READ)) {
    Receive();
    // A caller may retry a request that crashed endpoints at this entry before
    // the next tick.
    ExchangeSuspects(MonotonicNow());
  }
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
  // Runs before the membership's tick, which sends the published facts.
  ExchangeSuspects(now);
  const auto config = context_.config.current();
  const ConfigVersion version = config ? config->version : ConfigVersion(0);
  SendAll(context_.membership.OnTick(ListedEntries(context_), version, now));
  context_.endpoints.ApplyFacts(
      context_.membership.Subjects(FactKind::kEndpointLeaving, now),
      context_.membership.Subjects(FactKind::kEndpointDraining, now), now);
  LogChanges();
}

void GossipTask::ExchangeSuspects(MonotonicTime now) {
  std::vector<Fact> facts;
  for (const SuspectRecord& record : context_.load.ExportSuspects(now)) {
    facts.push_back(ToFact(record));
    suspect_versions_[facts.back().subject] = facts.back().version;
  }
  context_.membership.PublishFacts(facts, now);
  // Each version of a fact is merged only once. Otherwise a request that an
  // isolated trial has cleared here would be suspected again when its own fact
  // is gossiped back.
  std::vector<SuspectRecord> received_suspects;
  std::map<std::string, FactVersion> versions;
  for (const Fact& fact :
       context_.membership.Active(FactKind::kSuspectedRequest, now)) {
    const auto known = suspect_versions_.find(fact.subject);
    const bool is_newer =
        known == suspect_versions_.end() || known->second < fact.version;
    const auto suspect = ToSuspect(fact);
    if (is_newer && suspect)
      received_suspects.push_back(*suspect);
    versions[fact.subject] = is_newer ? fact.version : known->second;
  }
  suspect_versions_ = std::move(versions);
  context_.load.MergeSuspects(received_suspects, now);
}

void GossipTask::SendAll(const std::vector<SendDatagram>& datagrams) {
  for (const SendDatagram& datagram : datagrams) {
    try {
      socket_.sendTo(
          datagram.bytes.data(), static_cast<int>(datagram.bytes.size()),
          Poco::Net::SocketAddress(datagram.to.host, datagram.to.port));
    } catch (const Poco::Exception&) {
      // A failed send is treated like a lost datagram; probes detect dead
      // members.
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
        "the member responds", "no reply to direct or indirect probes",
        "the suspicion was not refuted in time"};
    const auto state = static_cast<std::size_t>(member.state);
    LogEvent(LogLevel::kInfo, kEvents[state],
             {{"entry", member.info.id.value()}, {"reason", kReasons[state]}});
  }
  states_ = std::move(states);
}

}  // namespace carobshift
