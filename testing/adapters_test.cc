// The HTTP adapters against the stand-ins. The main subject is whether an error
// states correctly how far the request got.

#include <catch2/catch.hpp>
#include <csignal>
#include <string>

#include "carobshift/external/http_engine_client.h"
#include "carobshift/external/http_instance_list.h"
#include "carobshift/external/http_log_service.h"
#include "carobshift/external/http_plain_service_client.h"
#include "carobshift/external/http_store_client.h"
#include "testing/answer_function.h"
#include "testing/cluster.h"
#include "testing/http_client.h"
#include "testing/process.h"
#include "testing/relay.h"

namespace carobshift {
namespace {

const LogStream kStream("s");

HttpOptions QuickOptions() {
  HttpOptions options;
  options.request_timeout = Milliseconds(300);
  return options;
}

PlainCall CallOf(const std::string& body) {
  PlainCall call;
  call.request = RequestId("r-" + body);
  call.body = body;
  call.timeout = Milliseconds(300);
  return call;
}

GenerateRequest RequestOf(const std::string& prompt) {
  GenerateRequest request;
  request.cache_namespace = CacheNamespace("ns");
  request.model = ModelName("m");
  request.version = WeightVersion("v1");
  request.prompt = prompt;
  request.progress_timeout = Milliseconds(500);
  return request;
}

class CollectingSink : public TokenSink {
 public:
  explicit CollectingSink(Tokens stop_after = 1000) : stop_(stop_after) {}
  bool OnStart(const GenerateStart& start) override {
    started = start;
    return true;
  }
  bool OnToken(Tokens index, std::string_view text) override {
    ordered = ordered && index == static_cast<Tokens>(count++);
    tokens += text;
    return count < stop_;
  }
  bool OnEnd(const GenerateEnd& end) override {
    ended = end;
    return true;
  }

  GenerateStart started;
  GenerateEnd ended;
  std::string tokens;
  Tokens count = 0;
  bool ordered = true;

 private:
  Tokens stop_;
};

const std::vector<std::string> kEngineFlags = {"--model=m", "--version=v1",
                                               "--role=r", "--step-us=2000"};

}  // namespace

// Guards against a lost reply that is reported as "not appended". The writer
// would append again, and a claim or an edit would be in the log twice. The
// opposite case is a log that is down, where nothing was appended.
TEST_CASE("log: an append's error tells whether the record may be there") {
  TemporaryDirectory dir;
  Process process("standin_log", {}, dir.path());
  HttpLogService log(process.address(), QuickOptions());
  const std::string binary("a\0\xff\n", 4);
  REQUIRE(log.Append(kStream, binary).value() == LogOffset(0));

  SetFaults(process, {{"lose_replies", 1}});
  const auto lost = log.Append(kStream, "lost reply");
  REQUIRE_FALSE(lost.ok());
  CHECK(lost.error().code == ResultCode::kLogOutcomeUnknown);

  SetFaults(process, {{"refuse", true}});
  const auto refused = log.Append(kStream, "refused");
  CHECK(refused.error().code == ResultCode::kLogUnavailable);
  SetFaults(process, {{"refuse", false}});

  const LogBatch batch =
      log.Read(kStream, LogOffset(0), 10, Milliseconds(0)).value();
  REQUIRE(batch.records.size() == 2);
  CHECK(batch.records[0].payload == binary);
  CHECK(batch.records[1].payload == "lost reply");

  process.Signal(SIGSTOP);
  const auto silent = log.Append(kStream, "silent");
  CHECK(silent.error().code == ResultCode::kLogOutcomeUnknown);
  process.Kill();
  const auto dead = log.Append(kStream, "dead");
  CHECK(dead.error().code == ResultCode::kLogUnavailable);
}

// Guards against a wrong may_have_run. Reporting "not run" for a booking that
// the service has received leads to a second booking; reporting "may have run"
// for one that was never sent costs the caller its slot.
TEST_CASE("plain service: may_have_run is false only where it is proven") {
  TemporaryDirectory dir;
  Process process("standin_plain", {}, dir.path());
  HttpPlainServiceClient client(QuickOptions());
  const PlainResult answered = client.Call(process.address(), CallOf("a"));
  REQUIRE(answered.answer.ok());
  CHECK(answered.may_have_run);

  SetFaults(process, {{"leaving", true}});
  const PlainResult leaving = client.Call(process.address(), CallOf("b"));
  CHECK(leaving.answer.error().code == ResultCode::kEndpointRefused);
  CHECK_FALSE(leaving.may_have_run);

  SetFaults(process, {{"leaving", false}, {"lose_replies", 1}});
  const PlainResult lost = client.Call(process.address(), CallOf("c"));
  CHECK(lost.answer.error().code == ResultCode::kEndpointFailed);
  CHECK(lost.may_have_run);

  SetFaults(process, {{"silent", true}});
  const PlainResult silent = client.Call(process.address(), CallOf("d"));
  CHECK(silent.answer.error().code == ResultCode::kEndpointTimeout);
  CHECK(silent.may_have_run);

  process.Kill();
  const PlainResult dead = client.Call(process.address(), CallOf("e"));
  CHECK(dead.answer.error().code == ResultCode::kNoEndpoint);
  CHECK_FALSE(dead.may_have_run);
}

TEST_CASE("engine: stream, resume, refusal and cancel") {
  TemporaryDirectory dir;
  Process process("standin_engine", kEngineFlags, dir.path());
  HttpEngineClient engines(QuickOptions());
  const AnswerFunction answer("hello", "m", "v1", "");

  CollectingSink complete;
  REQUIRE(
      engines.Generate(process.address(), RequestOf("hello"), complete).ok());
  CHECK(complete.tokens == answer.Text(16));
  CHECK(complete.ordered);
  CHECK(complete.ended.total_tokens == 16);
  CHECK(complete.started.version == WeightVersion("v1"));

  GenerateRequest resumed = RequestOf("hello");
  resumed.delivered = {answer.Token(0), answer.Token(1)};
  CollectingSink rest;
  REQUIRE(engines.Generate(process.address(), resumed, rest).ok());
  CHECK(resumed.delivered[0] + resumed.delivered[1] + rest.tokens ==
        answer.Text(16));

  GenerateRequest stale = RequestOf("hello");
  stale.version = WeightVersion("v0");
  CollectingSink none;
  const Status mismatch = engines.Generate(process.address(), stale, none);
  CHECK(mismatch.error().code == ResultCode::kVersionMismatch);

  GenerateRequest endless = RequestOf("[long]");
  endless.max_tokens = 100000;
  CollectingSink three(3);
  const Status cancelled = engines.Generate(process.address(), endless, three);
  CHECK(cancelled.error().code == ResultCode::kCancelled);
  CHECK(WaitUntil([&] {
    return engines.FetchStatus(process.address()).value().running == 0;
  }));

  process.Kill();
  const Status dead =
      engines.Generate(process.address(), RequestOf("hello"), none);
  CHECK(dead.error().code == ResultCode::kNoEndpoint);
}

// Guards against one timeout per stale connection. Idle keep-alive connections
// can lose their peer without a reset; if each were tried in turn, each would
// cost one more request its progress timeout.
TEST_CASE("one silent connection drops the other idle ones") {
  TemporaryDirectory dir;
  Process process("standin_engine", kEngineFlags, dir.path());
  Relay relay(process.address());
  HttpEngineClient engines(QuickOptions());
  constexpr int kParallelRequests = 4;
  {
    std::vector<std::jthread> callers;
    for (int i = 0; i < kParallelRequests; ++i) {
      callers.emplace_back([&] {
        CollectingSink sink;
        (void)engines.Generate(relay.address(), RequestOf("x"), sink);
      });
    }
  }
  relay.BlackholeOpenConnections();
  CHECK_FALSE(engines.FetchStatus(relay.address()).ok());
  for (int i = 0; i < kParallelRequests; ++i)
    CHECK(engines.FetchStatus(relay.address()).ok());
}

TEST_CASE("store: only a sealed object of the handle's seal is pinned") {
  TemporaryDirectory dir;
  Process engine("standin_engine", kEngineFlags, dir.path());
  Process store("standin_store", {}, dir.path());
  HttpEngineClient engines(QuickOptions());
  HttpStoreClient stores(QuickOptions());
  CollectingSink sink;
  GenerateRequest request = RequestOf(std::string(2000, 'p'));
  REQUIRE(engines.Generate(engine.address(), request, sink).ok());
  ExportRequest order;
  order.cache_namespace = request.cache_namespace;
  order.blocks = BlockChain(request.cache_namespace, request.prompt);
  order.store = StoreId("store-0");
  order.store_address = store.address();
  order.bytes_per_token = 512;
  const auto handle = engines.Export(engine.address(), order);
  REQUIRE(handle.ok());
  CHECK(handle.value().last_block == order.blocks.back());

  BlockHandle forged = handle.value();
  forged.checksum ^= 1;
  CHECK(stores.Pin(store.address(), forged, Seconds(1)).error().code ==
        ResultCode::kBlockRejected);
  REQUIRE(stores.Pin(store.address(), handle.value(), Seconds(60)).ok());
  CHECK(stores.Drop(store.address(), handle.value()).error().code ==
        ResultCode::kBlockRejected);

  // Another engine imports the object. A corrupted copy is rejected and the
  // tokens are recomputed.
  request.import = handle.value();
  request.import_from = store.address();
  SetFaults(store, {{"corrupt_reads", 1}});
  for (const Tokens imported : {Tokens{0}, handle.value().tokens}) {
    CollectingSink again;
    GenerateRequest other = request;
    if (imported > 0)
      other.prompt += "q";
    Process fresh("standin_engine", kEngineFlags, dir.path());
    REQUIRE(engines.Generate(fresh.address(), other, again).ok());
    CHECK(again.started.imported_tokens == imported);
  }
}

TEST_CASE("list: rows that make no sense are left out") {
  TemporaryDirectory dir;
  Process process("standin_list", {}, dir.path());
  const nlohmann::json rows = {
      {"instances",
       {{{"id", "a"}, {"kind", "engine"}, {"address", "127.0.0.1:9"}},
        {{"id", "b"}, {"kind", "toaster"}, {"address", "127.0.0.1:9"}},
        {{"id", "c"}, {"kind", "store"}, {"address", "nowhere"}}}}};
  REQUIRE(
      HttpSend(process.address(), "PUT", "/instances", {.body = rows.dump()})
          .status == 200);
  HttpInstanceList list(process.address(), QuickOptions());
  const auto instances = list.Fetch().value();
  REQUIRE(instances.size() == 1);
  CHECK(instances[0].id == "a");
  process.Kill();
  CHECK(list.Fetch().error().code == ResultCode::kListUnavailable);
}

}  // namespace carobshift
