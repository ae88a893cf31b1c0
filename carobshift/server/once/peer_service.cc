#include "carobshift/server/once/peer_service.h"

#include "carobshift/config/config_record.h"

namespace carobshift {

CallReply PeerService::OnForwardCall(const ForwardCall& call) {
  return keyed_.RunForwarded(call);
}

CallReply PeerService::OnQueryOutcome(const QueryOutcome& query) {
  return keyed_.LocalOutcome(RequestId("peer"), query.account, query.key);
}

ConfigReply PeerService::OnFetchConfig(const FetchConfig&) {
  const auto payload = EncodeConfigRecord(CheckpointRecord{fold_.state()});
  return {payload.ok() ? payload.value() : ""};
}

}  // namespace carobshift
