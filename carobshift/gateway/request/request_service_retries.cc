// The part of RequestService that accounts for retries.

#include <utility>

#include "carobshift/gateway/request/request_service.h"

namespace carobshift {

bool RequestService::TrySpendRetry(const ServiceName& service) {
  const bool spent = allowance_.TrySpend(service, loop_.now());
  CountRetry(service, spent ? "spent" : "refused");
  return spent;
}

void RequestService::CountRetry(const ServiceName& service,
                                std::string_view outcome) {
  metrics_.Add("carobshift_retries_total",
               {{"service", service.value()}, {"outcome", outcome}}, 1);
}

void RequestService::SettleRetry(const ServiceName& service,
                                 MonotonicTime last_arrival) {
  allowance_.Settle(service, last_arrival, loop_.now());
}

void RequestService::RefundRetry(const ServiceName& service) {
  allowance_.Refund(service);
  CountRetry(service, "returned");
}

void RequestService::EndRetry(const ServiceName& service,
                              AttemptRecord& attempt,
                              bool sent,
                              MonotonicTime last_arrival) {
  if (!std::exchange(attempt.unsettled_retry, false))
    return;
  if (sent)
    SettleRetry(service, last_arrival);
  else
    RefundRetry(service);
}

}  // namespace carobshift
