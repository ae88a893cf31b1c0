// LogService is the interface to the platform's append-only log.
//
//   Result<LogOffset> offset = log.Append(LogStream("config"), payload);
//   Result<LogBatch> batch = log.Read(LogStream("config"), next, 100, wait);
//
// Implementations are thread-safe and block up to their request timeout.

#ifndef CAROBSHIFT_EXTERNAL_LOG_SERVICE_H_
#define CAROBSHIFT_EXTERNAL_LOG_SERVICE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/result.h"
#include "carobshift/base/units.h"

namespace carobshift {

using LogStream = StrongType<struct LogStreamTag, std::string>;

struct LogRecord {
  LogOffset offset;
  std::string payload;
};

struct LogBatch {
  // The lowest offset that the log retains; records below it have been dropped.
  LogOffset first_retained;
  // Offset at which the next read continues.
  LogOffset next;
  // In offset order, all at or above the requested offset.
  std::vector<LogRecord> records;
  // Where the stream ended when it was read; 0 if that isn't known.
  LogOffset end{};
};

class LogService {
 public:
  virtual ~LogService() = default;

  // Appends one record. kLogUnavailable: the record is not on the log and will
  // not be. kLogOutcomeUnknown: the record may be on the log; reading the log
  // shows whether it is.
  virtual Result<LogOffset> Append(const LogStream& stream,
                                   std::string_view payload) = 0;

  // Reads up to `max_records` records from offset `from` on. If there are none,
  // waits up to `wait` for a record and then returns an empty batch. If `from`
  // is below the retained range, reads from `first_retained`.
  virtual Result<LogBatch> Read(const LogStream& stream,
                                LogOffset from,
                                std::size_t max_records,
                                Milliseconds wait) = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_EXTERNAL_LOG_SERVICE_H_
