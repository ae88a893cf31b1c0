// For tests: dialects that decode nothing and encode empty messages. A fake
// derives from one and overrides the functions that its test needs.
//
//   class FakeEngineDialect : public StubEngineDialect { ... };

#ifndef CAROBSHIFT_GATEWAY_STUB_DIALECTS_H_
#define CAROBSHIFT_GATEWAY_STUB_DIALECTS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/gateway/dialect.h"

namespace carobshift {

[[nodiscard]] inline Error Unsupported() {
  return {ResultCode::kMalformedRequest, "not spoken"};
}

class StubRequestDialect : public RequestDialect {
 public:
  [[nodiscard]] Result<CallerRequest> DecodeRequest(
      const HttpHead&) const override {
    return Unsupported();
  }
  [[nodiscard]] std::string EncodeAttempt(const CallerRequest&,
                                          const AttemptFields&) const override {
    return {};
  }
  [[nodiscard]] HttpHead EncodeRequest(
      const CallerRequest&,
      Milliseconds,
      const std::optional<EventNumber>&) const override {
    return {};
  }
  [[nodiscard]] ReplyMetadata DecodeReply(const HttpHead&) const override {
    return {};
  }
};

class StubDirectoryDialect : public DirectoryDialect {
 public:
  [[nodiscard]] std::optional<AddressQuestion> DecodeAddressQuestion(
      const HttpHead&) const override {
    return std::nullopt;
  }
  [[nodiscard]] std::string EncodeAddresses(const std::vector<NetAddress>&,
                                            Milliseconds) const override {
    return {};
  }
  [[nodiscard]] bool IsReadinessQuestion(const HttpHead&) const override {
    return false;
  }
};

class StubLogDialect : public LogDialect {
 public:
  [[nodiscard]] LogStream OperatorStream() const override {
    return LogStream("operator");
  }
  [[nodiscard]] LogStream EndpointStream() const override {
    return LogStream("endpoints");
  }
  [[nodiscard]] HttpHead EncodeRead(const LogStream&,
                                    LogOffset,
                                    Milliseconds) const override {
    return {};
  }
  [[nodiscard]] HttpHead EncodeNewest(
      const LogStream&,
      const std::optional<std::string>&) const override {
    return {};
  }
  [[nodiscard]] HttpHead EncodeAppend(const LogStream&,
                                      std::string_view,
                                      const std::optional<LogOffset>&,
                                      std::string*) const override {
    return {};
  }
  [[nodiscard]] std::optional<LogOffset> DecodeFirstRetained(
      std::string_view) const override {
    return std::nullopt;
  }
  [[nodiscard]] Result<LogBatch> DecodeRead(int,
                                            std::string_view,
                                            LogOffset) const override {
    return Unsupported();
  }
  [[nodiscard]] Result<KeyedPage> DecodeNewest(int, std::string_view)
      const override {
    return Unsupported();
  }
  [[nodiscard]] Result<LogOffset> DecodeAppend(int, std::string_view)
      const override {
    return Unsupported();
  }
  [[nodiscard]] Result<KeyedRecord> DecodeKeyed(
      const LogRecord&) const override {
    return Unsupported();
  }
  [[nodiscard]] Result<OperatorRecord> DecodeOperatorRecord(
      const std::string&,
      std::string_view) const override {
    return Unsupported();
  }
  [[nodiscard]] std::optional<ZoneName> EvacuatedZone(
      std::string_view) const override {
    return std::nullopt;
  }
  [[nodiscard]] Result<EndpointRecord> DecodeEndpointRecord(
      const std::string&,
      std::string_view) const override {
    return Unsupported();
  }
};

class StubEngineDialect : public EngineDialect {
 public:
  [[nodiscard]] HttpHead EncodeReportQuestion() const override { return {}; }
  [[nodiscard]] Result<EngineReport> DecodeReport(int, std::string_view)
      const override {
    return Unsupported();
  }
  [[nodiscard]] HttpHead EncodeOrder(const WeightOrder&,
                                     std::string*) const override {
    return {};
  }
  [[nodiscard]] OrderOutcome DecodeOrderReply(int) const override {
    return OrderOutcome::kRejected;
  }
  [[nodiscard]] HttpHead EncodeEventsQuestion(std::uint64_t,
                                              Milliseconds) const override {
    return {};
  }
  [[nodiscard]] Result<StoreEvents> DecodeEvents(int, std::string_view)
      const override {
    return Unsupported();
  }
  [[nodiscard]] HttpHead EncodeListQuestion() const override { return {}; }
  [[nodiscard]] Result<StoreListing> DecodeList(int, std::string_view)
      const override {
    return Unsupported();
  }
  [[nodiscard]] HttpHead EncodeFree(const std::vector<StoreEvent>&,
                                    std::uint64_t,
                                    std::string*) const override {
    return {};
  }
  [[nodiscard]] bool DecodeFreeReply(int) const override { return false; }
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_STUB_DIALECTS_H_
