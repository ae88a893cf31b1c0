#include "carobshift/gateway/streams/software_history.h"

#include <algorithm>

namespace carobshift {

void SoftwareHistory::FollowFrom(MonotonicTime since) {
  followed_since_ = since;
  for (auto& [name, service] : services_)
    service.learned_since.reset();
}

void SoftwareHistory::OnListed(const EndpointRecord& record,
                               MonotonicTime now) {
  auto& versions = services_[record.service].versions;
  std::erase_if(versions, [now](const auto& known) {
    return known.second.listed == 0 &&
           now - known.second.last_listed >= kKeepTime;
  });
  Version& version = versions[record.software];
  ++version.listed;
  version.last_listed = now;
}

void SoftwareHistory::OnUnlisted(const EndpointRecord& record,
                                 MonotonicTime now) {
  Version& version = services_[record.service].versions[record.software];
  --version.listed;
  version.last_listed = now;
}

std::optional<MonotonicTime> SoftwareHistory::KnownSince(
    const ServiceName& service) const {
  const auto found = services_.find(service);
  if (!followed_since_ || found == services_.end())
    return followed_since_;
  return std::min(*followed_since_,
                  found->second.learned_since.value_or(*followed_since_));
}

bool SoftwareHistory::MayLearn(const ServiceName& service,
                               Milliseconds span,
                               MonotonicTime now) const {
  return followed_since_ && now - *followed_since_ >= kMaxRecordAge &&
         now - *KnownSince(service) < span;
}

bool SoftwareHistory::OnLearned(const LearnedVersion& learned,
                                MonotonicTime now) {
  if (!followed_since_ || learned.asked - *followed_since_ < kMaxRecordAge)
    return false;
  Service& service = services_[learned.service];
  service.learned_since =
      std::min(now - learned.span, service.learned_since.value_or(now));
  Version& version = service.versions[learned.software];
  version.last_listed = now;
  return true;
}

std::optional<SoftwareVersion> SoftwareHistory::SoleVersion(
    const ServiceName& service,
    Milliseconds span,
    MonotonicTime now) const {
  const auto found = services_.find(service);
  const auto known_since = KnownSince(service);
  if (span > kKeepTime || !known_since || now - *known_since < span ||
      found == services_.end())
    return std::nullopt;
  std::optional<SoftwareVersion> sole;
  for (const auto& [software, version] : found->second.versions) {
    if (version.listed == 0 && now - version.last_listed >= span)
      continue;
    if (sole)
      return std::nullopt;
    sole = software;
  }
  return sole;
}

}  // namespace carobshift
