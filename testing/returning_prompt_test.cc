// Conversations that return after their blocks were evicted from the engine,
// while stores and engines die. The answer must always be the same; only the
// latency differs.

#include <catch2/catch.hpp>
#include <string>

#include "carobshift/cache/block_chain.h"
#include "testing/caller.h"
#include "testing/cluster.h"
#include "testing/http_client.h"

namespace carobshift {
namespace {

// A prompt of 64 blocks of 64 tokens takes 0.8 s to prefill on the stand-in at
// 200 us a token. The cache of the engine holds two such prompts.
constexpr std::size_t kPromptBlocks = 64;
constexpr Tokens kPromptTokens = kPromptBlocks * kBlockTokens;

ClusterOptions SingleInstanceCluster() {
  return {.entries = 1,
          .engines = 1,
          .engine_flags = {"--cache-blocks=130", "--prefill-us=200",
                           "--step-us=2000"}};
}

std::string LongPrompt(const std::string& title) {
  std::string text = title + ": ";
  while (text.size() < kPromptBlocks * kBlockBytes)
    text += "route " + std::to_string(text.size()) + " of " + title + "; ";
  text.resize(kPromptBlocks * kBlockBytes);
  // The last token of a prompt is always computed. The extra byte puts it
  // outside the full blocks.
  return text + "?";
}

class ReturningCaller {
 public:
  explicit ReturningCaller(Cluster& cluster) : cluster_(cluster) {}

  CompletionOutcome Ask(const std::string& title,
                        const std::string& conversation,
                        const std::string& key = kAccountKey) {
    const Caller caller(cluster_.EntryAddresses(), key);
    CompletionCall call{.prompt = LongPrompt(title), .max_tokens = 8};
    call.conversation = conversation;
    return caller.CompleteAt(cluster_.entry(0).address(), call);
  }

  nlohmann::json Cache() { return cluster_.State(0).at("cache"); }

  bool AwaitExports(int sealed) {
    return WaitUntil([&] { return Cache().at("exports_sealed") >= sealed; },
                     Milliseconds(30000));
  }

  // Evicts the other prompts from the engine cache.
  void FillEngine() {
    for (const char* title : {"filler one", "filler two", "filler three"})
      REQUIRE(Ask(title, "").complete);
    REQUIRE(WaitUntil(
        [&] { return Cache().at("directory").at("unknown_endpoints") == 0; }));
  }

 private:
  Cluster& cluster_;
};

Tokens CachedTokens(const CompletionOutcome& outcome) {
  return outcome.usage.at("prompt_tokens_details").value("cached_tokens", 0);
}

}  // namespace

// Guards against a full prefill for a prompt that returns after eviction: its
// blocks are imported from the store.
TEST_CASE("a return after eviction is served from the store, and sooner") {
  Cluster cluster(SingleInstanceCluster());
  ReturningCaller caller(cluster);
  const CompletionOutcome cold = caller.Ask("laugavegur", "c1");
  REQUIRE(cold.complete);
  CHECK(CachedTokens(cold) == 0);
  REQUIRE(caller.Ask("filler zero", "").complete);
  REQUIRE(caller.AwaitExports(1));
  caller.FillEngine();
  const CompletionOutcome warm = caller.Ask("laugavegur", "c1");
  CHECK(warm.complete);
  CHECK(warm.text == cold.text);
  CHECK(CachedTokens(warm) == kPromptTokens);
  CHECK(caller.Cache().at("imports") == 1);
  CHECK(caller.Cache().at("imports_rejected") == 0);
  CHECK(warm.first_token < cold.first_token / 2);
  const std::string metrics =
      HttpSend(cluster.entry(0).address(), "GET", "/metrics").body;
  for (const std::string direction : {"export", "import"}) {
    CHECK(metrics.find("carobshift_service_link_bytes_total{service=\"" +
                       std::string(kModelService) +
                       "\",store=\"store-0\",direction=\"" + direction) !=
          std::string::npos);
  }
}

// Guards against an error or a wrong answer when the store is killed between
// two turns of a conversation. The only effect is the time of a recompute.
TEST_CASE("a killed store costs a recompute and nothing else") {
  Cluster cluster(SingleInstanceCluster());
  ReturningCaller caller(cluster);
  const CompletionOutcome cold = caller.Ask("laugavegur", "c1");
  REQUIRE(caller.Ask("filler zero", "").complete);
  REQUIRE(caller.AwaitExports(1));
  caller.FillEngine();
  cluster.store(0).Kill();
  const CompletionOutcome again = caller.Ask("laugavegur", "c1");
  CHECK(again.complete);
  CHECK_FALSE(again.wrong);
  CHECK(again.text == cold.text);
  CHECK(CachedTokens(again) == 0);
  CHECK(again.first_token < 2 * cold.first_token);
}

// Guards against a partial export: an engine dies when half of an export is
// written. If the half were published, a caller would be answered from half of
// its prompt.
TEST_CASE("an engine killed mid-export leaves no handle behind") {
  Cluster cluster(SingleInstanceCluster());
  ReturningCaller caller(cluster);
  SetFaults(cluster.engine(0), {{"crash_in_export", true}});
  const CompletionOutcome cold = caller.Ask("laugavegur", "c1");
  REQUIRE(cold.complete);
  // Fills the engine cache; the engine starts the export and dies.
  caller.Ask("filler zero", "");
  REQUIRE(WaitUntil([&] { return !cluster.engine(0).running(); },
                    Milliseconds(30000)));
  cluster.RestartEngine(0);
  cluster.WaitUntilServing();
  const CompletionOutcome again = caller.Ask("laugavegur", "c1");
  CHECK(again.complete);
  CHECK(again.text == cold.text);
  CHECK(CachedTokens(again) == 0);
  const nlohmann::json cache = caller.Cache();
  CHECK(cache.at("exports_ordered") >= 1);
  CHECK(cache.at("exports_sealed") == 0);
  CHECK(cache.at("imports") == 0);
}

// Guards against a cache side channel: a second client account sends the same
// prompt under the same conversation id while the blocks of the first are on
// the engine, and later in the store. A cached token would reveal what the
// first account sent.
TEST_CASE(
    "two accounts with equal prompts and conversation ids share nothing") {
  Cluster cluster(SingleInstanceCluster());
  ReturningCaller caller(cluster);
  const CompletionOutcome first = caller.Ask("laugavegur", "same");
  REQUIRE(first.complete);
  const CompletionOutcome other_account =
      caller.Ask("laugavegur", "same", kOtherAccountKey);
  CHECK(other_account.complete);
  CHECK(CachedTokens(other_account) == 0);
  REQUIRE(caller.AwaitExports(1));
  caller.FillEngine();
  const CompletionOutcome own = caller.Ask("laugavegur", "same");
  CHECK(CachedTokens(own) == kPromptTokens);
  const CompletionOutcome other_conversation =
      caller.Ask("laugavegur", "other", kOtherAccountKey);
  CHECK(other_conversation.complete);
  CHECK(CachedTokens(other_conversation) == 0);
}

}  // namespace carobshift
