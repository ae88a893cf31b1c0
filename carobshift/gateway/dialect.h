// Interfaces that encode and decode the wire formats of callers, endpoints,
// operators and the log. Implementations only translate and hold no policy;
// each function is pure.
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
#include "carobshift/gateway/endpoints/endpoint_record.h"
#include "carobshift/gateway/request/caller_request.h"
#include "carobshift/gateway/serving_config.h"
#include "carobshift/net/http_message.h"

namespace carobshift {

// Requests and replies of callers and endpoints.
class RequestDialect {
 public:
  virtual ~RequestDialect() = default;

  // Returns kMalformedRequest if a field that the gateway needs can't be
  // parsed.
  [[nodiscard]] virtual Result<CallerRequest> DecodeRequest(
      const HttpHead& head) const = 0;
  // Returns the complete request head, with the content length of the request's
  // body.
  [[nodiscard]] virtual std::string EncodeAttempt(
      const CallerRequest& request,
      const AttemptFields& fields) const = 0;
  // Returns the request head as a caller would send it, with the content length
  // of the request's body: DecodeRequest() of it yields the same request,
  // except for the time and the event given here.
  [[nodiscard]] virtual HttpHead EncodeRequest(
      const CallerRequest& request,
      Milliseconds time_left,
      const std::optional<EventNumber>& last_event) const = 0;
  [[nodiscard]] virtual ReplyMetadata DecodeReply(
      const HttpHead& head) const = 0;
};

// A caller's query for the instance addresses to use.
struct AddressQuestion {
  // The host that the caller will send its requests to.
  std::string host;
  RegionName region;
  ZoneName zone;
};

// Calls other than requests, made by callers and by the platform.
class DirectoryDialect {
 public:
  virtual ~DirectoryDialect() = default;

  // Returns nullopt if `head` is not an address query.
  [[nodiscard]] virtual std::optional<AddressQuestion> DecodeAddressQuestion(
      const HttpHead& head) const = 0;
  [[nodiscard]] virtual std::string EncodeAddresses(
      const std::vector<NetAddress>& addresses,
      Milliseconds time_to_live) const = 0;
  [[nodiscard]] virtual bool IsReadinessQuestion(
      const HttpHead& head) const = 0;
};

// A record in which the operator names the weights that a model's engines must
// load.
struct NamedWeights {
  ModelName model;
  WeightNumber number;
};

// A record written by the operator.
using OperatorRecord = std::variant<ServingConfig, NamedWeights>;

// One record of a compacted stream, which keeps the newest record of each key.
struct KeyedRecord {
  std::string key;
  // nullopt if the key was removed.
  std::optional<std::string> value;
  LogOffset offset;
};

// One page of the newest records of a compacted stream.
struct KeyedPage {
  std::vector<KeyedRecord> records;
  // The next page starts after this key; nullopt on the last page.
  std::optional<std::string> more_after;
  // The end of the stream when the page was created.
  LogOffset end;
};

// The platform's log and the records stored in it.
class LogDialect {
 public:
  virtual ~LogDialect() = default;

  // The streams written by operators and by endpoints.
  [[nodiscard]] virtual LogStream OperatorStream() const = 0;
  [[nodiscard]] virtual LogStream EndpointStream() const = 0;

  // Encode requests. Only EncodeAppend produces a body.
  [[nodiscard]] virtual HttpHead EncodeRead(const LogStream& stream,
                                            LogOffset from,
                                            Milliseconds wait) const = 0;
  [[nodiscard]] virtual HttpHead EncodeNewest(
      const LogStream& stream,
      const std::optional<std::string>& after) const = 0;
  // Writes the framed record to `body`. If `at` is set, the record is appended
  // only if the stream ends at that offset.
  [[nodiscard]] virtual HttpHead EncodeAppend(
      const LogStream& stream,
      std::string_view payload,
      const std::optional<LogOffset>& at,
      std::string* body) const = 0;

  // Returns kLogRecordExpired if the record at `from` is no longer retained.
  [[nodiscard]] virtual Result<LogBatch> DecodeRead(int status,
                                                    std::string_view body,
                                                    LogOffset from) const = 0;
  // Returns the lowest retained offset, from a reply for which DecodeRead
  // returns kLogRecordExpired; nullopt if the reply can't be parsed.
  [[nodiscard]] virtual std::optional<LogOffset> DecodeFirstRetained(
      std::string_view body) const = 0;
  [[nodiscard]] virtual Result<KeyedPage> DecodeNewest(
      int status,
      std::string_view body) const = 0;
  // Returns kLogUnavailable if the record was certainly not appended,
  // kLostEditRace if the stream did not end at `at`, and kLogOutcomeUnknown
  // otherwise.
  [[nodiscard]] virtual Result<LogOffset> DecodeAppend(
      int status,
      std::string_view body) const = 0;

  // Decodes a record of a compacted stream.
  [[nodiscard]] virtual Result<KeyedRecord> DecodeKeyed(
      const LogRecord& record) const = 0;
  [[nodiscard]] virtual Result<OperatorRecord> DecodeOperatorRecord(
      const std::string& key,
      std::string_view value) const = 0;
  // Returns the availability zone that an operator's record with this key
  // evacuates while it exists, whatever its value; nullopt for other records.
  [[nodiscard]] virtual std::optional<ZoneName> EvacuatedZone(
      std::string_view key) const = 0;
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
  // The number of orders that the engine has accepted so far. The engine
  // rejects this order if it has accepted more.
  std::optional<std::uint64_t> after_orders;
};

enum class OrderOutcome {
  kAccepted,
  kAlreadyDone,
  // Another order is in progress, or the engine has accepted more orders than
  // `after_orders`.
  kConflict,
  // The engine has seen an order with a higher fencing number.
  kFenced,
  // The engine can't execute the order, or the address belongs to another
  // engine.
  kRejected,
};

struct EngineReport {
  bool busy = false;
  std::uint64_t orders = 0;
  std::map<ModelName, WeightNumber> weights;
};

// A KV cache store's report that a prompt part was stored or evicted.
struct StoreEvent {
  bool stored = true;
  std::string scope;
  std::string part;
  Tokens tokens = 0;
};

struct StoreEvents {
  // Changes when the store loses its entire contents.
  std::uint64_t epoch = 0;
  // The position from which to continue reading.
  std::uint64_t next = 0;
  // Some events since the previous call have been lost.
  bool gap = false;
  std::vector<StoreEvent> events;
  // The store's clock, if the store reports it.
  std::optional<WallTime> clock;
};

struct StoreListing {
  std::uint64_t epoch = 0;
  std::uint64_t next = 0;
  std::vector<StoreEvent> parts;
};

// Calls to engines and KV cache stores other than requests.
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
  // Frees the parts in a managed store if the store's epoch still equals
  // `epoch`.
  [[nodiscard]] virtual HttpHead EncodeFree(
      const std::vector<StoreEvent>& parts,
      std::uint64_t epoch,
      std::string* body) const = 0;
  // Returns whether the parts have been freed.
  [[nodiscard]] virtual bool DecodeFreeReply(int status) const = 0;
};

// The wire formats of one deployment.
struct Dialects {
  const RequestDialect& request;
  const DirectoryDialect& directory;
  const LogDialect& log;
  const EngineDialect& engine;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_DIALECT_H_
