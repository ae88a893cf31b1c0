#include "carobshift/gateway/streams/software_history.h"

namespace carobshift {

void SoftwareHistory::OnListed(const EndpointRecord& record,
                               MonotonicTime now) {
  auto& versions = services_[record.service];
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
  Version& version = services_[record.service][record.software];
  --version.listed;
  version.last_listed = now;
}

std::optional<SoftwareVersion> SoftwareHistory::SoleVersion(
    const ServiceName& service,
    Milliseconds span,
    MonotonicTime now) const {
  const auto found = services_.find(service);
  if (span > kKeepTime || !followed_since_ || now - *followed_since_ < span ||
      found == services_.end())
    return std::nullopt;
  std::optional<SoftwareVersion> sole;
  for (const auto& [software, version] : found->second) {
    if (version.listed == 0 && now - version.last_listed >= span)
      continue;
    if (sole)
      return std::nullopt;
    sole = software;
  }
  return sole;
}

}  // namespace carobshift
