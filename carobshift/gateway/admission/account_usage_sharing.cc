#include "carobshift/gateway/admission/account_usage_sharing.h"

#include "carobshift/gateway/admission/account_usage_codec.h"

namespace carobshift {

AccountUsageSharing::AccountUsageSharing(EventLoop& loop,
                                         const Cluster& cluster,
                                         PeerDatagrams& datagrams,
                                         AccountUsage& account_usage)
    : loop_(loop),
      cluster_(cluster),
      datagrams_(datagrams),
      account_usage_(account_usage) {
  datagrams_.SetHandler(
      PeerDatagramKind::kAccountUsage, [this](std::string_view payload) {
        // Payloads that can't be decoded are dropped: reports are sent
        // periodically.
        const Result<AccountUsageReport> report =
            DecodeAccountUsageReport(payload);
        if (report.ok())
          account_usage_.OnPeerReport(report.value(), loop_.now());
      });
}

void AccountUsageSharing::OnTick() {
  const MonotonicTime now = loop_.now();
  account_usage_.Expire(now);
  if (now < next_)
    return;
  const Milliseconds period = AccountUsage::PeriodFor(cluster_.Live().size());
  next_ = AccountUsage::NextReportTime(cluster_.incarnation(), period, now);
  if (!account_usage_.ShouldReport(now))
    return;
  AccountUsageReport report = account_usage_.Report(now);
  report.sender = cluster_.incarnation();
  report.sequence = ++sequence_;
  report.period = period;
  datagrams_.SendToOthers(PeerDatagramKind::kAccountUsage,
                          {EncodeAccountUsageReport(report)});
}

}  // namespace carobshift
