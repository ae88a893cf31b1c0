// Conversations that return after their blocks have left the engine, and stores
// and engines that die on the way: the answer is always the same, only its
// speed differs.

#include <catch2/catch.hpp>
#include <string>

#include "carobshift/cache/block_chain.h"
#include "testing/caller.h"
#include "testing/cluster.h"
#include "testing/http_client.h"

namespace carobshift {
namespace {

// 64 blocks of 64 tokens: a dossier that takes 0.8 s to prefill on the
// stand-in at 200 us a token. The engine's cache holds two of them.
constexpr std::size_t kDossierBlocks = 64;
constexpr Tokens kDossierTokens = kDossierBlocks * kBlockTokens;

ClusterOptions OneOfEach() {
  return {.entries = 1,
          .engines = 1,
          .engine_flags = {"--cache-blocks=130", "--prefill-us=200",
                           "--step-us=2000"}};
}

std::string Dossier(const std::string& title) {
  std::string text = title + ": ";
  while (text.size() < kDossierBlocks * kBlockBytes)
    text += "route " + std::to_string(text.size()) + " of " + title + "; ";
  text.resize(kDossierBlocks * kBlockBytes);
  // The last token of a prompt is always computed; here it is in no full block.
  return text + "?";
}

class Return {
 public:
  explicit Return(Cluster& cluster) : cluster_(cluster) {}

  CompletionOutcome Ask(const std::string& title,
                        const std::string& conversation,
                        const std::string& key = kClubKey) {
    const Caller caller(cluster_.EntryAddresses(), key);
    CompletionCall call{.prompt = Dossier(title), .max_tokens = 8};
    call.conversation = conversation;
    return caller.CompleteAt(cluster_.entry(0).address(), call);
  }

  nlohmann::json Cache() { return cluster_.State(0).at("cache"); }

  bool AwaitExports(int sealed) {
    return WaitUntil([&] { return Cache().at("exports_sealed") >= sealed; },
                     Milliseconds(30000));
  }

  // Other dossiers push all others out of the engine's memory.
  void FillEngine() {
    for (const char* title : {"filler one", "filler two", "filler three"})
      REQUIRE(Ask(title, "").whole);
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

// A guide takes a dossier up again after the engine has given its memory to
// others. Without the store the guide would wait for the whole prefill again.
TEST_CASE("a return after eviction is served from the store, and sooner") {
  Cluster cluster(OneOfEach());
  Return guide(cluster);
  const CompletionOutcome cold = guide.Ask("laugavegur", "c1");
  REQUIRE(cold.whole);
  CHECK(CachedTokens(cold) == 0);
  REQUIRE(guide.Ask("filler zero", "").whole);
  REQUIRE(guide.AwaitExports(1));
  guide.FillEngine();
  const CompletionOutcome warm = guide.Ask("laugavegur", "c1");
  CHECK(warm.whole);
  CHECK(warm.text == cold.text);
  CHECK(CachedTokens(warm) == kDossierTokens);
  CHECK(guide.Cache().at("imports") == 1);
  CHECK(guide.Cache().at("imports_rejected") == 0);
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

// The store's process is killed between a conversation's turns. Its caller must
// notice nothing but the time of a recompute.
TEST_CASE("a killed store costs a recompute and nothing else") {
  Cluster cluster(OneOfEach());
  Return guide(cluster);
  const CompletionOutcome cold = guide.Ask("laugavegur", "c1");
  REQUIRE(guide.Ask("filler zero", "").whole);
  REQUIRE(guide.AwaitExports(1));
  guide.FillEngine();
  cluster.store(0).Kill();
  const CompletionOutcome again = guide.Ask("laugavegur", "c1");
  CHECK(again.whole);
  CHECK_FALSE(again.wrong);
  CHECK(again.text == cold.text);
  CHECK(CachedTokens(again) == 0);
  CHECK(again.first_token < 2 * cold.first_token);
}

// An engine dies when half of an export is written. Were the half ever named,
// a caller would be answered from half of its dossier.
TEST_CASE("an engine killed mid-export leaves no handle behind") {
  Cluster cluster(OneOfEach());
  Return guide(cluster);
  SetFaults(cluster.engine(0), {{"crash_in_export", true}});
  const CompletionOutcome cold = guide.Ask("laugavegur", "c1");
  REQUIRE(cold.whole);
  // Fills the engine, which begins the export and dies of it.
  guide.Ask("filler zero", "");
  REQUIRE(WaitUntil([&] { return !cluster.engine(0).running(); },
                    Milliseconds(30000)));
  cluster.RestartEngine(0);
  cluster.WaitUntilServing();
  const CompletionOutcome again = guide.Ask("laugavegur", "c1");
  CHECK(again.whole);
  CHECK(again.text == cold.text);
  CHECK(CachedTokens(again) == 0);
  const nlohmann::json cache = guide.Cache();
  CHECK(cache.at("exports_ordered") >= 1);
  CHECK(cache.at("exports_sealed") == 0);
  CHECK(cache.at("imports") == 0);
}

// A rival club sends the very same prompt under the very same conversation id,
// while the first one's blocks are on the engine and then in the store. A
// cached token would tell it what the first has asked.
TEST_CASE(
    "two accounts with equal prompts and conversation ids share nothing") {
  Cluster cluster(OneOfEach());
  Return caller(cluster);
  const CompletionOutcome first = caller.Ask("laugavegur", "same");
  REQUIRE(first.whole);
  const CompletionOutcome rival =
      caller.Ask("laugavegur", "same", kOtherClubKey);
  CHECK(rival.whole);
  CHECK(CachedTokens(rival) == 0);
  REQUIRE(caller.AwaitExports(1));
  caller.FillEngine();
  const CompletionOutcome own = caller.Ask("laugavegur", "same");
  CHECK(CachedTokens(own) == kDossierTokens);
  const CompletionOutcome stranger =
      caller.Ask("laugavegur", "other", kOtherClubKey);
  CHECK(stranger.whole);
  CHECK(CachedTokens(stranger) == 0);
}

}  // namespace carobshift
