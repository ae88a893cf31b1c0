#include "carobshift/gateway/load/load_sharing.h"

#include "carobshift/gateway/load/load_query_service.h"
#include "carobshift/gateway/load/load_report_codec.h"

namespace carobshift {

LoadSharing::LoadSharing(EventLoop& loop,
                         const Cluster& cluster,
                         PeerDatagrams& datagrams,
                         LoadTracker& load_tracker)
    : loop_(loop),
      cluster_(cluster),
      datagrams_(datagrams),
      load_tracker_(load_tracker) {
  datagrams_.SetHandler(
      PeerDatagramKind::kLoadReport, [this](std::string_view payload) {
        // Payloads that can't be decoded are dropped: reports are sent
        // periodically.
        const Result<LoadReport> report = DecodeLoadReport(payload);
        if (report.ok())
          load_tracker_.OnPeerReport(report.value(), loop_.now());
      });
}

void LoadSharing::OnTick() {
  if (loop_.now() < next_)
    return;
  // With more instances the aggregators are queried instead
  // (load_query_service.h).
  if (cluster_.Live().size() > LoadQueryService::kMaxReportingInstances)
    return;
  const Milliseconds period = LoadTracker::PeriodFor(cluster_.Live().size());
  next_ = loop_.now() + period;
  datagrams_.SendToOthers(
      PeerDatagramKind::kLoadReport,
      {EncodeLoadReport({.sender = cluster_.incarnation(),
                         .sequence = ++sequence_,
                         .period = period,
                         .loads = load_tracker_.OwnLoads()})});
}

}  // namespace carobshift
