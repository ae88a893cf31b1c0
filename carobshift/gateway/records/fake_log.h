// For tests: a log server on the loopback interface, and the dialect that talks
// to it.
//
//   EventLoop loop;
//   FakeLog log(loop);
//   FakeLogDialect dialect;
//   log.Append(dialect.OperatorStream(), "key=value");
//   KeyedFollower follower(loop, client, log.address(), dialect, ...);

#ifndef CAROBSHIFT_GATEWAY_RECORDS_FAKE_LOG_H_
#define CAROBSHIFT_GATEWAY_RECORDS_FAKE_LOG_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/gateway/stub_dialects.h"
#include "carobshift/net/loopback_server.h"

namespace carobshift {

// Encodes calls as paths and decodes JSON answers. A record of a compacted
// stream is "key=value", or "key" for a removal.
class FakeLogDialect : public StubLogDialect {
 public:
  [[nodiscard]] HttpHead EncodeRead(const LogStream& stream,
                                    LogOffset from,
                                    Milliseconds wait) const override {
    return Call("GET", "/read/" + stream.value() + "/" +
                           std::to_string(from.value()) + "/" +
                           std::to_string(wait.count()));
  }
  [[nodiscard]] HttpHead EncodeNewest(
      const LogStream& stream,
      const std::optional<std::string>& after) const override {
    return Call("GET", "/newest/" + stream.value() + "/" + after.value_or(""));
  }
  [[nodiscard]] HttpHead EncodeAppend(const LogStream& stream,
                                      std::string_view payload,
                                      const std::optional<LogOffset>&,
                                      std::string* body) const override {
    *body = payload;
    return Call("POST", "/append/" + stream.value() + "/");
  }
  [[nodiscard]] Result<LogBatch> DecodeRead(int status,
                                            std::string_view body,
                                            LogOffset from) const override;
  [[nodiscard]] std::optional<LogOffset> DecodeFirstRetained(
      std::string_view body) const override {
    const auto json = nlohmann::json::parse(body);
    return LogOffset(json.at("first").get<std::uint64_t>());
  }
  [[nodiscard]] Result<KeyedPage> DecodeNewest(
      int status,
      std::string_view body) const override;
  [[nodiscard]] Result<LogOffset> DecodeAppend(
      int status,
      std::string_view body) const override;
  [[nodiscard]] Result<KeyedRecord> DecodeKeyed(
      const LogRecord& record) const override;

 private:
  static HttpHead Call(std::string method, std::string target) {
    HttpHead head;
    head.method = std::move(method);
    head.target = std::move(target);
    return head;
  }
};

enum class FakeLogMode {
  kServes,
  // Refuses every call without effect.
  kRefuses,
  // Reads every call without effect and never answers.
  kSilent,
};

class FakeLog {
 public:
  // Maximum number of records on a page of newest records.
  static constexpr std::size_t kPageSize = 2;

  explicit FakeLog(EventLoop& loop)
      : loop_(loop),
        server_(loop, [this](auto& connection, const auto& request) {
          ++calls_;
          if (on_call_)
            on_call_();
          if (delay_.count() == 0)
            Serve(connection, request);
          else
            ServeLater(connection, request);
        }) {}

  [[nodiscard]] NetAddress address() const { return server_.address(); }
  void SetMode(FakeLogMode mode) { mode_ = mode; }
  [[nodiscard]] int calls() const { return calls_; }
  // Delays the handling of each call.
  void SetDelay(Milliseconds delay) { delay_ = delay; }
  // Limits the records of one read.
  void SetMaxRecords(std::uint64_t max_records) { max_records_ = max_records; }
  // Sends answers that contain records in pieces, as over a slow link.
  void SetPace(const ReplyPace& pace) { pace_ = pace; }
  // Called after each page of newest records has been sent.
  void SetOnPage(std::function<void()> on_page) {
    on_page_ = std::move(on_page);
  }
  // Called when a call arrives, before it is answered.
  void SetOnCall(std::function<void()> on_call) {
    on_call_ = std::move(on_call);
  }
  void Append(const LogStream& stream, const std::string& payload) {
    streams_[stream.value()].records.push_back(payload);
    AnswerWaiting(stream.value());
  }
  // Drops all records except the newest of each key.
  void Compact(const LogStream& stream) {
    Stream& compacted = streams_[stream.value()];
    compacted.first = compacted.records.size();
  }
  [[nodiscard]] const std::vector<std::string>& records(
      const LogStream& stream) {
    return streams_[stream.value()].records;
  }

 private:
  struct Stream {
    std::vector<std::string> records;
    std::uint64_t first = 0;
  };

  // A read that waits for new records.
  struct Waiting {
    std::weak_ptr<HttpServerConnection> connection;
    std::string stream;
    std::uint64_t from = 0;
  };

  void Serve(HttpServerConnection& connection,
             const HttpServerRequest& request);
  void ServeLater(HttpServerConnection& connection,
                  const HttpServerRequest& request);
  void ServeRead(HttpServerConnection& connection,
                 const std::string& name,
                 const std::string& argument);
  // Answers the waiting reads of the stream in the next iteration of the loop.
  void AnswerWaiting(const std::string& name);
  void AnswerRead(HttpServerConnection& connection,
                  const std::string& name,
                  std::uint64_t from);
  static nlohmann::json Read(const Stream& stream,
                             std::uint64_t from,
                             std::uint64_t max_records);
  static nlohmann::json Newest(const Stream& stream, const std::string& after);
  void Send(HttpServerConnection& connection, const nlohmann::json& answer);

  EventLoop& loop_;
  std::map<std::string, Stream> streams_;
  std::map<std::uint64_t, Waiting> waiting_;
  std::uint64_t next_waiting_ = 0;
  // Expires with the log, so that pending timers have no effect afterwards.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  int calls_ = 0;
  FakeLogMode mode_ = FakeLogMode::kServes;
  std::optional<ReplyPace> pace_;
  Milliseconds delay_{0};
  std::uint64_t max_records_ = 1'000'000;
  std::function<void()> on_page_;
  std::function<void()> on_call_;
  LoopbackServer server_;
};

inline Result<LogBatch> FakeLogDialect::DecodeRead(int status,
                                                   std::string_view body,
                                                   LogOffset from) const {
  if (status == 410)
    return Error{ResultCode::kLogRecordExpired, "dropped"};
  if (status != 200)
    return Error{ResultCode::kLogUnavailable, "refused"};
  const auto json = nlohmann::json::parse(body);
  LogBatch batch;
  batch.first_retained = LogOffset(json.at("first").get<std::uint64_t>());
  std::uint64_t offset = from.value();
  for (const auto& payload : json.at("records"))
    batch.records.push_back({LogOffset(offset++), payload.get<std::string>()});
  batch.next = LogOffset(offset);
  batch.end = LogOffset(json.at("end").get<std::uint64_t>());
  return batch;
}

inline Result<KeyedPage> FakeLogDialect::DecodeNewest(
    int status,
    std::string_view body) const {
  if (status != 200)
    return Error{ResultCode::kLogUnavailable, "refused"};
  const auto json = nlohmann::json::parse(body);
  KeyedPage page;
  page.end = LogOffset(json.at("end").get<std::uint64_t>());
  for (const auto& item : json.at("items")) {
    page.records.push_back({item.at("key").get<std::string>(),
                            item.at("value").get<std::string>(),
                            LogOffset(item.at("offset").get<std::uint64_t>())});
  }
  if (json.at("more").get<bool>())
    page.more_after = page.records.back().key;
  return page;
}

inline Result<LogOffset> FakeLogDialect::DecodeAppend(
    int status,
    std::string_view body) const {
  if (status != 200)
    return Error{ResultCode::kLogUnavailable, "refused"};
  return LogOffset(
      nlohmann::json::parse(body).at("offset").get<std::uint64_t>());
}

inline Result<KeyedRecord> FakeLogDialect::DecodeKeyed(
    const LogRecord& record) const {
  KeyedRecord keyed;
  const std::size_t equals = record.payload.find('=');
  keyed.key = record.payload.substr(0, equals);
  if (equals != std::string::npos)
    keyed.value = record.payload.substr(equals + 1);
  keyed.offset = record.offset;
  return keyed;
}

inline void FakeLog::Serve(HttpServerConnection& connection,
                           const HttpServerRequest& request) {
  if (mode_ == FakeLogMode::kSilent)
    return;
  if (mode_ == FakeLogMode::kRefuses) {
    connection.SendCompleteReply(ReplyHead(503), "");
    return;
  }
  // "/CALL/STREAM/ARGUMENT"
  const std::string& target = request.head.target;
  const std::size_t second = target.find('/', 1);
  const std::size_t third = target.find('/', second + 1);
  const std::string call = target.substr(1, second - 1);
  const std::string name = target.substr(second + 1, third - second - 1);
  Stream& stream = streams_[name];
  const std::string argument = target.substr(third + 1);
  if (call == "append") {
    stream.records.push_back(request.body);
    const nlohmann::json answer{{"offset", stream.records.size() - 1}};
    connection.SendCompleteReply(ReplyHead(200), answer.dump());
  } else if (call == "read") {
    ServeRead(connection, name, argument);
  } else {
    Send(connection, Newest(stream, argument));
    if (on_page_)
      on_page_();
  }
}

inline void FakeLog::ServeLater(HttpServerConnection& connection,
                                const HttpServerRequest& request) {
  loop_.AddTimer(
      loop_.now() + delay_,
      [this, head = request.head, body = request.body,
       to = connection.weak_from_this(), alive = std::weak_ptr<bool>(alive_)] {
        const auto open = to.lock();
        if (open != nullptr && !alive.expired())
          Serve(*open, {.head = head, .body = body});
      });
}

// `argument` is "FROM/WAIT", with the wait in milliseconds.
inline void FakeLog::ServeRead(HttpServerConnection& connection,
                               const std::string& name,
                               const std::string& argument) {
  const std::uint64_t from = std::stoull(argument);
  const Milliseconds wait(std::stoll(argument.substr(argument.find('/') + 1)));
  const Stream& stream = streams_[name];
  if (from < stream.records.size() || wait.count() == 0) {
    AnswerRead(connection, name, from);
    return;
  }
  const std::uint64_t number = next_waiting_++;
  waiting_[number] = {connection.weak_from_this(), name, from};
  loop_.AddTimer(loop_.now() + wait,
                 [this, number, alive = std::weak_ptr<bool>(alive_)] {
                   if (alive.expired() || !waiting_.contains(number))
                     return;
                   const Waiting read = waiting_.extract(number).mapped();
                   if (const auto open = read.connection.lock())
                     AnswerRead(*open, read.stream, read.from);
                 });
}

inline void FakeLog::AnswerWaiting(const std::string& name) {
  loop_.AddTimer(loop_.now(),
                 [this, name, alive = std::weak_ptr<bool>(alive_)] {
                   if (alive.expired())
                     return;
                   for (auto read = waiting_.begin(); read != waiting_.end();) {
                     if (read->second.stream != name) {
                       ++read;
                       continue;
                     }
                     const Waiting found = read->second;
                     read = waiting_.erase(read);
                     if (const auto open = found.connection.lock())
                       AnswerRead(*open, found.stream, found.from);
                   }
                 });
}

inline void FakeLog::AnswerRead(HttpServerConnection& connection,
                                const std::string& name,
                                std::uint64_t from) {
  const Stream& stream = streams_[name];
  const nlohmann::json gone{{"first", stream.first}};
  if (mode_ == FakeLogMode::kSilent)
    return;
  if (mode_ == FakeLogMode::kRefuses)
    connection.SendCompleteReply(ReplyHead(503), "");
  else if (from < stream.first)
    connection.SendCompleteReply(ReplyHead(410), gone.dump());
  else
    Send(connection, Read(stream, from, max_records_));
}

inline void FakeLog::Send(HttpServerConnection& connection,
                          const nlohmann::json& answer) {
  const bool has_records =
      !answer.value("records", answer.value("items", nlohmann::json::array()))
           .empty();
  if (pace_ && has_records)
    SendSlowly(loop_, connection, ReplyHead(200), answer.dump(), *pace_);
  else
    connection.SendCompleteReply(ReplyHead(200), answer.dump());
}

inline nlohmann::json FakeLog::Read(const Stream& stream,
                                    std::uint64_t from,
                                    std::uint64_t max_records) {
  nlohmann::json records = nlohmann::json::array();
  const std::uint64_t end = std::min(
      from + max_records, static_cast<std::uint64_t>(stream.records.size()));
  for (std::uint64_t i = from; i < end; ++i)
    records.push_back(stream.records[i]);
  return {{"first", stream.first},
          {"records", records},
          {"end", stream.records.size()}};
}

inline nlohmann::json FakeLog::Newest(const Stream& stream,
                                      const std::string& after) {
  const FakeLogDialect dialect;
  std::map<std::string, KeyedRecord> newest;
  for (std::uint64_t i = 0; i < stream.records.size(); ++i) {
    const KeyedRecord record =
        dialect.DecodeKeyed({LogOffset(i), stream.records[i]}).value();
    newest[record.key] = record;
  }
  nlohmann::json items = nlohmann::json::array();
  bool more = false;
  for (const auto& [key, record] : newest) {
    if (key <= after || !record.value)
      continue;
    more = items.size() == kPageSize;
    if (more)
      break;
    items.push_back({{"key", key},
                     {"value", *record.value},
                     {"offset", record.offset.value()}});
  }
  return {{"items", items}, {"more", more}, {"end", stream.records.size()}};
}

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_RECORDS_FAKE_LOG_H_
