#include "carobshift/gateway/placement/placement.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

std::vector<PlacementCandidate> Candidates(int count) {
  std::vector<PlacementCandidate> candidates;
  for (int i = 0; i < count; ++i) {
    PlacementCandidate candidate;
    candidate.hash = FastHash("engine" + std::to_string(i));
    candidates.push_back(candidate);
  }
  return candidates;
}

TEST_CASE("a session keeps its place when another endpoint goes") {
  const auto all = Candidates(12);
  auto fewer = all;
  fewer.pop_back();
  int moved = 0;
  for (std::uint64_t session = 0; session < 1000; ++session) {
    const auto before = ChoosePlacement(all, session, {}).index;
    const auto after = ChoosePlacement(fewer, session, {}).index;
    if (*before != 11 && before != after)
      ++moved;
  }
  CHECK(moved == 0);
}

TEST_CASE("a session goes where its parts are, unless too much waits there") {
  // Engine 3 holds the session's 9,000 tokens. With placement by session alone
  // a popular session would queue there; with placement by load alone a rare
  // one would be prefilled again elsewhere.
  auto candidates = Candidates(12);
  for (auto& candidate : candidates)
    candidate.cost = 12'000;
  candidates[3].cost = 3'000;
  CHECK(ChoosePlacement(candidates, 7, {}).index == 3U);
  candidates[3].cost = 3'000 + 30'000;
  CHECK(ChoosePlacement(candidates, 7, {}).index != 3U);
}

TEST_CASE("endpoints to avoid come after all others, but before none") {
  auto candidates = Candidates(2);
  candidates[0].avoided = true;
  candidates[1].cost = 1e6;
  CHECK(ChoosePlacement(candidates, 1, {}).index == 1U);
  candidates[1].avoided = true;
  CHECK(ChoosePlacement(candidates, 1, {}).index == 0U);
  CHECK(ChoosePlacement(candidates, 1, {}).avoided);
  CHECK_FALSE(ChoosePlacement({}, 1, {}).index.has_value());
}

}  // namespace
}  // namespace carobshift
