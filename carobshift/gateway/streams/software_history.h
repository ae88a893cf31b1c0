// Which software versions the endpoints of each service have had, as far back
// as this instance has followed their records without a gap.
//
//   SoftwareHistory history;
//   // When the records start, and when some were lost:
//   history.FollowFrom(now);
//   history.OnListed(record, now);
//   history.OnUnlisted(record, now);
//   const auto software = history.SoleVersion(service, span, now);
//
// Load pattern: instances restart and nobody knows the streams that callers
// take up again. If the service has had one version only since before the
// oldest of them began, that is where they began. An instance that has just
// started can't say so, as a rollout may have ended shortly before, unless the
// whole deployment starts for the first time or another instance knows it:
//
//   if (history.MayLearn(service, span, now)) Ask(...);
//   history.OnLearned({service, version, span, asked}, now);
//
// A version that no endpoint has had for kKeepTime is forgotten.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_STREAMS_SOFTWARE_HISTORY_H_
#define CAROBSHIFT_GATEWAY_STREAMS_SOFTWARE_HISTORY_H_

#include <map>
#include <optional>

#include "carobshift/gateway/endpoints/endpoint_record.h"

namespace carobshift {

class SoftwareHistory {
 public:
  // Another instance, asked at `asked`, says that the service has had this
  // version only in the last `span`.
  struct LearnedVersion {
    ServiceName service;
    SoftwareVersion software;
    Milliseconds span{0};
    MonotonicTime asked{};
  };

  // The longest span that can be asked for.
  static constexpr Milliseconds kKeepTime{600'000};
  // Another instance may have read its records this long before it answers.
  static constexpr Milliseconds kMaxRecordAge{2000};

  // All records since then have been seen. Forgets what was learned.
  void FollowFrom(MonotonicTime since);
  // An endpoint is listed with this record, which may replace another one.
  void OnListed(const EndpointRecord& record, MonotonicTime now);
  // An endpoint's last record has gone or was replaced.
  void OnUnlisted(const EndpointRecord& record, MonotonicTime now);

  // Whether an answer of another instance that is asked now would extend what
  // this one knows of the last `span`.
  [[nodiscard]] bool MayLearn(const ServiceName& service,
                              Milliseconds span,
                              MonotonicTime now) const;
  // The answer arrived at `now`. Returns false if it leaves a gap to the
  // records that were seen here, and is not used.
  bool OnLearned(const LearnedVersion& learned, MonotonicTime now);

  // Returns the only version that endpoints of the service have had in the last
  // `span`; nullopt if there were several or none, or if the records have not
  // been followed for so long.
  [[nodiscard]] std::optional<SoftwareVersion> SoleVersion(
      const ServiceName& service,
      Milliseconds span,
      MonotonicTime now) const;

 private:
  struct Version {
    // Number of endpoints that are listed with it.
    int listed = 0;
    MonotonicTime last_listed{};
  };

  struct Service {
    std::map<SoftwareVersion, Version> versions;
    // Since when its versions are known from another instance.
    std::optional<MonotonicTime> learned_since;
  };

  // Since when all versions of the service are known.
  [[nodiscard]] std::optional<MonotonicTime> KnownSince(
      const ServiceName& service) const;

  std::optional<MonotonicTime> followed_since_;
  std::map<ServiceName, Service> services_;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_STREAMS_SOFTWARE_HISTORY_H_
