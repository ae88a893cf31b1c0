#include "carobshift/gateway/instances/cluster.h"

#include <algorithm>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

// Half of the default period. With the present few instances it costs four
// datagrams a second and halves the time for which callers are sent to a dead
// instance.
constexpr Milliseconds kGossipPeriod{250};

MemberInfo SelfInfo(const GatewaySettings& settings, Incarnation incarnation) {
  return {.id = settings.entry,
          .incarnation = incarnation,
          .version = MemberVersion(
              static_cast<std::uint64_t>(WallNow().time_since_epoch().count())),
          .zone = settings.zone,
          .host = settings.host,
          .gossip_port = settings.gossip_port,
          .peer_port = settings.peer_port,
          .http_port = settings.callers.port};
}

MembershipOptions Options() {
  MembershipOptions options;
  options.period = kGossipPeriod;
  return options;
}

}  // namespace

std::string SharedSecret(const GatewaySettings& settings) {
  return "carobshift gossip " + settings.log.ToString();
}

Cluster::Cluster(EventLoop& loop, const GatewaySettings& settings)
    : loop_(loop),
      address_{settings.host, settings.gossip_port},
      gossip_port_(settings.gossip_port),
      incarnation_(RandomUint64()),
      membership_(Options(),
                  SelfInfo(settings, incarnation_),
                  SharedSecret(settings),
                  RandomUint64(),
                  loop.now()) {
  SetSeedHosts(settings.seed_hosts);
}

Status Cluster::Start() {
  auto port = UdpPort::Open(loop_, address_, [this](std::string_view bytes) {
    SendAll(membership_.OnDatagram(bytes, loop_.now()));
  });
  if (!port.ok())
    return port.error();
  port_ = port.value();
  return {};
}

void Cluster::Stop() {
  if (port_ != nullptr)
    port_->Close();
}

void Cluster::SendAll(const std::vector<SendDatagram>& datagrams) {
  for (const SendDatagram& datagram : datagrams)
    port_->Send(datagram.to, datagram.bytes);
}

void Cluster::OnTick() {
  SendAll(membership_.OnTick(loop_.now()));
}

void Cluster::SetSeedHosts(const std::vector<std::string>& hosts) {
  std::vector<NetAddress> seeds;
  for (const std::string& host : hosts) {
    if (host != address_.host)
      seeds.push_back({host, gossip_port_});
  }
  membership_.SetSeeds(std::move(seeds));
}

void Cluster::SetConfigNumber(std::uint64_t number) {
  membership_.SetConfigVersion(ConfigVersion(number));
}

void Cluster::Leave() {
  membership_.Leave();
  OnTick();
}

const std::vector<MemberInfo>& Cluster::Live() const {
  if (live_revision_ == membership_.revision())
    return live_;
  live_ = membership_.LiveMembers();
  known_instances_ = static_cast<int>(membership_.Members().size());
  std::sort(live_.begin(), live_.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  live_revision_ = membership_.revision();
  return live_;
}

std::vector<MemberInfo> Cluster::Stopping() const {
  std::vector<MemberInfo> stopping;
  for (const MemberRecord& record : membership_.Members()) {
    const MemberInfo& member = record.info;
    if (record.state == MemberState::kAlive && member.leaving &&
        member.incarnation != incarnation_)
      stopping.push_back(member);
  }
  return stopping;
}

std::vector<MemberInfo> Cluster::Serving() const {
  std::vector<MemberInfo> serving;
  const std::vector<MemberInfo>& live = Live();
  for (const MemberInfo& member : live) {
    const MemberRecord* const record = membership_.Find(member.id);
    if (record != nullptr && record->config_version.value() > 0)
      serving.push_back(member);
  }
  return serving.empty() ? live : serving;
}

int Cluster::KnownInstances() const {
  static_cast<void>(Live());
  return known_instances_;
}

std::size_t Cluster::Rank() const {
  const std::vector<MemberInfo>& live = Live();
  const auto self =
      std::find_if(live.begin(), live.end(), [this](const auto& member) {
        return member.id == membership_.self().id;
      });
  return static_cast<std::size_t>(self - live.begin());
}

bool Cluster::IsLive(const EntryId& id) const {
  const std::vector<MemberInfo>& live = Live();
  return std::any_of(live.begin(), live.end(),
                     [&id](const auto& member) { return member.id == id; });
}

void Cluster::AnnounceDraining(const EndpointId& endpoint,
                               FencingNumber term,
                               Milliseconds life) {
  membership_.PublishFact(
      {.kind = FactKind::kEndpointDraining,
       .subject = endpoint.value(),
       .version = {.term = term.value(), .counter = ++facts_published_},
       .active = true,
       .remaining = life},
      loop_.now());
}

void Cluster::AnnounceCrash(const std::string& description) {
  constexpr Milliseconds kLife{60000};
  if (loop_.now() - crash_window_start_ >= Seconds(1)) {
    crash_window_start_ = loop_.now();
    crashes_in_window_ = 0;
  }
  if (description.size() > kMaxFactSubject ||
      ++crashes_in_window_ > kCrashesPerSecond)
    return;
  membership_.PublishFact(
      {.kind = FactKind::kSuspectedRequest,
       .subject = description,
       .version = {.term = 0, .counter = ++facts_published_},
       .active = true,
       .remaining = kLife},
      loop_.now());
}

std::vector<std::string> Cluster::Crashes() const {
  std::vector<std::string> crashes;
  for (const Fact& fact :
       membership_.facts().Active(FactKind::kSuspectedRequest, loop_.now()))
    crashes.push_back(fact.subject);
  return crashes;
}

std::set<EndpointId> Cluster::Draining() const {
  std::set<EndpointId> draining;
  for (const Fact& fact :
       membership_.facts().Active(FactKind::kEndpointDraining, loop_.now()))
    draining.insert(EndpointId(fact.subject));
  return draining;
}

}  // namespace carobshift
