// Records the recent requests of this entry and the decisions made for each,
// for `carobshift explain`.
//
//   journal.Begin(id, account, service, now);
//   journal.Note(id, now, "dispatched", {{"endpoint", "e1"}, {"why", "..."}});
//   journal.End(id, now, ResultCode::kOk);
//
// Thread-safe. Keeps the last kMaxRequests requests with up to kMaxNotes notes
// each.

#ifndef CAROBSHIFT_SERVER_TABLES_REQUEST_JOURNAL_H_
#define CAROBSHIFT_SERVER_TABLES_REQUEST_JOURNAL_H_

#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/result_code.h"
#include "carobshift/base/units.h"
#include "carobshift/telemetry/state_source.h"

namespace carobshift {

class RequestJournal : public StateSource {
 public:
  static constexpr std::size_t kMaxRequests = 4096;
  static constexpr std::size_t kMaxNotes = 32;

  void Begin(const RequestId& id,
             const AccountId& account,
             const ServiceName& service,
             MonotonicTime now);
  // `fields` must not contain prompt text, keys or secrets.
  void Note(const RequestId& id,
            MonotonicTime now,
            std::string_view what,
            nlohmann::json fields);
  // Also writes one log line at debug level.
  void End(const RequestId& id, MonotonicTime now, ResultCode code);

  // The request's record, or nothing once newer requests have displaced it.
  [[nodiscard]] std::optional<nlohmann::json> Explain(
      const RequestId& id) const;

  [[nodiscard]] nlohmann::json DumpState() const override;

 private:
  struct Step {
    Microseconds after;
    std::string what;
    nlohmann::json fields;
  };
  struct Record {
    AccountId account;
    ServiceName service;
    MonotonicTime begin;
    std::optional<ResultCode> code;
    Microseconds duration{0};
    std::vector<Step> notes;
  };

  mutable std::mutex mutex_;
  std::unordered_map<RequestId, Record> records_;
  std::deque<RequestId> order_;
  std::size_t open_ = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TABLES_REQUEST_JOURNAL_H_
