// What the gateway needs to be told by whoever knows how callers, endpoints,
// operators and the log are spoken to. An implementation translates and decides
// nothing; each function is pure.
//
//   Result<CallerRequest> request = dialect.DecodeRequest(head);
//   connection.Send(dialect.EncodeAttempt(request.value(), fields));

#ifndef CAROBSHIFT_GATEWAY_DIALECT_H_
#define CAROBSHIFT_GATEWAY_DIALECT_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/result.h"
#include "carobshift/external/log_service.h"
#include "carobshift/gateway/caller_request.h"
#include "carobshift/gateway/endpoint_record.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/net/http_message.h"

namespace carobshift {

// Callers and endpoints.
class RequestDialect {
 public:
  virtual ~RequestDialect() = default;

  // kMalformedRequest if a field that the system needs can't be read.
  [[nodiscard]] virtual Result<CallerRequest> DecodeRequest(
      const HttpHead& head) const = 0;
  // The whole head, with the length of the request's body.
  [[nodiscard]] virtual std::string EncodeAttempt(
      const CallerRequest& request,
      const AttemptFields& fields) const = 0;
  [[nodiscard]] virtual ReplyFacts DecodeReply(const HttpHead& head) const = 0;
};

// A caller's question which addresses to use.
struct AddressQuestion {
  ZoneName zone;
};

// Calls that callers and the platform make besides requests.
class DirectoryDialect {
 public:
  virtual ~DirectoryDialect() = default;

  // Nothing if this is no such question.
  [[nodiscard]] virtual std::optional<AddressQuestion> DecodeAddressQuestion(
      const HttpHead& head) const = 0;
  [[nodiscard]] virtual std::string EncodeAddresses(
      const std::vector<NetAddress>& addresses,
      Milliseconds time_to_live) const = 0;
  [[nodiscard]] virtual bool IsReadinessQuestion(
      const HttpHead& head) const = 0;
};

// The operator has named the weights that a model's engines are to have.
struct NamedWeights {
  ModelName model;
  WeightNumber number;
};

// A record that the operator wrote.
using OperatorRecord = std::variant<ServingConfig, NamedWeights>;

// One record of a stream that keeps the newest of each key.
struct KeyedRecord {
  std::string key;
  // Nothing where the key was removed.
  std::optional<std::string> value;
  LogOffset offset;
};

// A page of the newest records of a stream.
struct KeyedPage {
  std::vector<KeyedRecord> records;
  // Continue after this key.
  std::optional<std::string> more_after;
  // The stream's end when the page was made.
  LogOffset end;
};

// The platform's log and what is kept there.
class LogDialect {
 public:
  virtual ~LogDialect() = default;

  // The streams that operators and endpoints write.
  [[nodiscard]] virtual LogStream OperatorStream() const = 0;
  [[nodiscard]] virtual LogStream EndpointStream() const = 0;

  // Requests, without a body unless EncodeAppend says so.
  [[nodiscard]] virtual HttpHead EncodeRead(const LogStream& stream,
                                            LogOffset from,
                                            Milliseconds wait) const = 0;
  [[nodiscard]] virtual HttpHead EncodeNewest(
      const LogStream& stream,
      const std::optional<std::string>& after) const = 0;
  // `body` receives the record in its framing. With `at` the record is added
  // only if the stream ends there.
  [[nodiscard]] virtual HttpHead EncodeAppend(
      const LogStream& stream,
      std::string_view payload,
      const std::optional<LogOffset>& at,
      std::string* body) const = 0;

  // kLogRecordExpired where `from` is no longer kept.
  [[nodiscard]] virtual Result<LogBatch> DecodeRead(int status,
                                                    std::string_view body,
                                                    LogOffset from) const = 0;
  // The lowest offset that is kept, from an answer of which DecodeRead says
  // kLogRecordExpired; nothing if it can't be read.
  [[nodiscard]] virtual std::optional<LogOffset> DecodeFirstRetained(
      std::string_view body) const = 0;
  [[nodiscard]] virtual Result<KeyedPage> DecodeNewest(
      int status,
      std::string_view body) const = 0;
  // kLogUnavailable if nothing was done, kLostEditRace if the stream didn't end
  // at `at`, kLogOutcomeUnknown otherwise.
  [[nodiscard]] virtual Result<LogOffset> DecodeAppend(
      int status,
      std::string_view body) const = 0;

  // A record of a stream that keeps the newest of each key.
  [[nodiscard]] virtual Result<KeyedRecord> DecodeKeyed(
      const LogRecord& record) const = 0;
  [[nodiscard]] virtual Result<OperatorRecord> DecodeOperatorRecord(
      const std::string& key,
      std::string_view value) const = 0;
  [[nodiscard]] virtual Result<EndpointRecord> DecodeEndpointRecord(
      const std::string& key,
      std::string_view value) const = 0;
};

// An order to an engine to load weights.
struct WeightOrder {
  ModelName model;
  WeightNumber number;
  EndpointId endpoint;
  std::string holder;
  FencingNumber fencing;
  // Orders that the engine has accepted so far; it refuses if it has more.
  std::optional<std::uint64_t> after_orders;
};

enum class OrderOutcome {
  kAccepted,
  kAlreadyDone,
  // Another order is under way, or more were accepted than expected.
  kConflict,
  // A holder with a higher fencing number has given orders.
  kFenced,
  // The engine can't do it, or is another one.
  kRejected,
};

struct EngineReport {
  bool busy = false;
  std::uint64_t orders = 0;
  std::map<ModelName, WeightNumber> weights;
};

// What a KV cache store says of a part.
struct StoreEvent {
  bool stored = true;
  std::string scope;
  std::string part;
  Tokens tokens = 0;
};

struct StoreEvents {
  // Changes when the store has lost everything.
  std::uint64_t epoch = 0;
  // Continue from here.
  std::uint64_t next = 0;
  // Some events between the last call and this one are gone.
  bool gap = false;
  std::vector<StoreEvent> events;
  // The store's clock, where it tells it.
  std::optional<WallTime> clock;
};

struct StoreListing {
  std::uint64_t epoch = 0;
  std::uint64_t next = 0;
  std::vector<StoreEvent> whole;
};

// Engines and KV cache stores, beside requests.
class EngineDialect {
 public:
  virtual ~EngineDialect() = default;

  [[nodiscard]] virtual HttpHead EncodeReportQuestion() const = 0;
  [[nodiscard]] virtual Result<EngineReport> DecodeReport(
      int status,
      std::string_view body) const = 0;
  [[nodiscard]] virtual HttpHead EncodeOrder(const WeightOrder& order,
                                             std::string* body) const = 0;
  [[nodiscard]] virtual OrderOutcome DecodeOrderReply(int status) const = 0;
  [[nodiscard]] virtual HttpHead EncodeEventsQuestion(
      std::uint64_t since,
      Milliseconds wait) const = 0;
  [[nodiscard]] virtual Result<StoreEvents> DecodeEvents(
      int status,
      std::string_view body) const = 0;
  [[nodiscard]] virtual HttpHead EncodeListQuestion() const = 0;
  [[nodiscard]] virtual Result<StoreListing> DecodeList(
      int status,
      std::string_view body) const = 0;
  // Frees the parts in a managed store, if its epoch is still this one.
  [[nodiscard]] virtual HttpHead EncodeFree(
      const std::vector<StoreEvent>& parts,
      std::uint64_t epoch,
      std::string* body) const = 0;
  // Whether the parts are free now.
  [[nodiscard]] virtual bool DecodeFreeReply(int status) const = 0;
};

// All of them, as one deployment speaks.
struct Dialects {
  const RequestDialect& request;
  const DirectoryDialect& directory;
  const LogDialect& log;
  const EngineDialect& engine;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_DIALECT_H_
