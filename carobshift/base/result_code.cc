#include "carobshift/base/result_code.h"

#include <array>
#include <string>

namespace carobshift {
namespace {

struct Row {
  ResultCode code;
  std::string_view name;
  int http_status;
};

constexpr std::array kTable = {
    Row{ResultCode::kOk, "ok", 200},
    Row{ResultCode::kMalformedRequest, "malformed_request", 400},
    Row{ResultCode::kUnauthenticated, "unauthenticated", 401},
    Row{ResultCode::kUnknownService, "unknown_service", 404},
    Row{ResultCode::kRequestTooLarge, "request_too_large", 413},
    Row{ResultCode::kKeyReusedForOtherRequest, "key_reused_for_other_request",
        422},
    Row{ResultCode::kInvalidIdempotencyKey, "invalid_idempotency_key", 400},
    Row{ResultCode::kUnknownRoute, "unknown_route", 404},
    Row{ResultCode::kForbidden, "forbidden", 403},
    Row{ResultCode::kIdempotencyKeyExpired, "idempotency_key_expired", 410},
    Row{ResultCode::kUnknownOutcome, "unknown_outcome", 404},
    Row{ResultCode::kIdempotencyKeyRequired, "idempotency_key_required", 400},
    Row{ResultCode::kOverloaded, "overloaded", 429},
    Row{ResultCode::kDeadlineUnreachable, "deadline_unreachable", 429},
    Row{ResultCode::kRetryBudgetSpent, "retry_budget_spent", 503},
    Row{ResultCode::kRequestSuspected, "request_suspected", 422},
    Row{ResultCode::kAccountLimit, "account_limit", 429},
    Row{ResultCode::kNoEndpoint, "no_endpoint", 503},
    Row{ResultCode::kEndpointFailed, "endpoint_failed", 502},
    Row{ResultCode::kEndpointTimeout, "endpoint_timeout", 504},
    Row{ResultCode::kVersionMismatch, "version_mismatch", 503},
    Row{ResultCode::kVersionGone, "version_gone", 502},
    Row{ResultCode::kEntryLeaving, "entry_leaving", 503},
    Row{ResultCode::kHomeUnreachable, "home_unreachable", 502},
    Row{ResultCode::kEndpointRefused, "endpoint_refused", 502},
    Row{ResultCode::kWeightsReplaced, "weights_replaced", 503},
    Row{ResultCode::kZoneEvacuated, "zone_evacuated", 503},
    Row{ResultCode::kRegionNotAllowed, "region_not_allowed", 503},
    Row{ResultCode::kSoftwareGone, "software_gone", 503},
    Row{ResultCode::kSoftwareUnknown, "software_unknown", 503},
    Row{ResultCode::kLogUnavailable, "log_unavailable", 503},
    Row{ResultCode::kLogOutcomeUnknown, "log_outcome_unknown", 503},
    Row{ResultCode::kLogRecordExpired, "log_record_expired", 410},
    Row{ResultCode::kListUnavailable, "list_unavailable", 503},
    Row{ResultCode::kStoreUnavailable, "store_unavailable", 503},
    Row{ResultCode::kStoreFull, "store_full", 507},
    Row{ResultCode::kBlockRejected, "block_rejected", 409},
    Row{ResultCode::kWeightStoreUnavailable, "weight_store_unavailable", 503},
    Row{ResultCode::kInvalidConfig, "invalid_config", 422},
    Row{ResultCode::kLostEditRace, "lost_edit_race", 409},
    Row{ResultCode::kBaseMissing, "base_missing", 409},
    Row{ResultCode::kNoConfig, "no_config", 503},
    Row{ResultCode::kInvalidSettings, "invalid_settings", 500},
    Row{ResultCode::kPeerUnreachable, "peer_unreachable", 502},
    Row{ResultCode::kPeerRejected, "peer_rejected", 403},
    Row{ResultCode::kStaleFencing, "stale_fencing", 409},
    Row{ResultCode::kLeaseLost, "lease_lost", 409},
    Row{ResultCode::kDeadlineExceeded, "deadline_exceeded", 504},
    Row{ResultCode::kCancelled, "cancelled", 499},
    Row{ResultCode::kInternal, "internal", 500},
};

const Row& RowOf(ResultCode code) {
  for (const Row& row : kTable) {
    if (row.code == code)
      return row;
  }
  return kTable.back();
}

class Category : public std::error_category {
 public:
  [[nodiscard]] const char* name() const noexcept override {
    return "carobshift";
  }
  [[nodiscard]] std::string message(int number) const override {
    const auto code = ResultCodeFromNumber(number);
    return code ? std::string(ResultCodeName(*code)) : "unknown";
  }
};

}  // namespace

std::string_view ResultCodeName(ResultCode code) {
  return RowOf(code).name;
}

std::string_view RunStateName(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kOutcomeUnknown:
      return "outcome_unknown";
    case RunState::kRan:
      return "ran";
  }
  return "outcome_unknown";
}

std::optional<ResultCode> ResultCodeFromNumber(int number) {
  for (const Row& row : kTable) {
    if (static_cast<int>(row.code) == number)
      return row.code;
  }
  return std::nullopt;
}

int HttpStatusOf(ResultCode code) {
  return RowOf(code).http_status;
}

const std::error_category& ResultCategory() {
  static const Category kCategory;
  return kCategory;
}

std::error_code make_error_code(ResultCode code) {
  return {static_cast<int>(code), ResultCategory()};
}

}  // namespace carobshift
