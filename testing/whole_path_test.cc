// The main request path through real processes: address lookup, a streamed
// completion, a prompt that returns after eviction, and a booking.

#include <catch2/catch.hpp>
#include <string>

#include "carobshift/cache/block_chain.h"
#include "testing/caller.h"
#include "testing/cluster.h"

namespace carobshift {
namespace {

std::string LongPrompt(const std::string& seed, std::size_t blocks) {
  std::string text;
  while (text.size() < blocks * static_cast<std::size_t>(kBlockBytes))
    text += seed + " pairing notes; ";
  return text;
}

}  // namespace

TEST_CASE("a caller asks addresses, streams, returns and books") {
  Cluster cluster({.engine_flags = {"--cache-blocks=40"}});
  Caller caller(cluster.EntryAddresses(), kAccountKey);
  REQUIRE(caller.FetchAddresses("round-1").size() == cluster.entries());

  CompletionCall first{.prompt = LongPrompt("first", 12),
                       .conversation = "round-1"};
  const CompletionOutcome cold = caller.Complete(first);
  INFO(cold.error.dump());
  REQUIRE(cold.complete);

  // Other prompts evict the blocks of the conversation from both engines.
  for (int i = 0; i < 12; ++i) {
    const CompletionOutcome other =
        caller.Complete({.prompt = LongPrompt("other" + std::to_string(i), 12),
                         .conversation = "other-" + std::to_string(i)});
    REQUIRE(other.complete);
  }

  CompletionCall second{.prompt = first.prompt + cold.text + " And the wind?",
                        .conversation = "round-1"};
  REQUIRE(caller.Complete(second).complete);

  REQUIRE_FALSE(caller.FetchAddresses("round-1").empty());
  const std::string booking = R"({"slot":"08:10"})";
  const BookingOutcome booked = caller.BookAt(
      cluster.entry(0).address(), booking, caller.key_prefix() + "slot-0810");
  INFO(booked.body);
  REQUIRE(booked.status == 200);
  REQUIRE(cluster.Runs(booking) == 1);
}

}  // namespace carobshift
