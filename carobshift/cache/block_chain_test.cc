#include "carobshift/cache/block_chain.h"

#include <catch2/catch.hpp>

namespace carobshift {
namespace {

CacheNamespace Namespace(const std::string& account,
                         const std::string& version) {
  return MakeCacheNamespace("secret", AccountId(account), ModelName("m"),
                            WeightVersion(version), AdapterName(""));
}

}  // namespace

TEST_CASE("only full blocks have a hash, and each covers all before it") {
  const std::string text(3 * kBlockBytes + 1, 'x');
  const auto chain = BlockChain(Namespace("a", "1"), text);
  REQUIRE(chain.size() == 3);
  CHECK(chain[0] != chain[1]);
  std::string other = text;
  other[0] = 'y';
  CHECK(BlockChain(Namespace("a", "1"), other)[2] != chain[2]);
}

// Guards against a block that is shared between two client accounts, or between
// two weight versions of one account: an equal prompt would be answered from
// the cache of the other.
TEST_CASE("equal prompts never share blocks across accounts or versions") {
  const std::string text(kBlockBytes, 'x');
  const auto chain = BlockChain(Namespace("a", "1"), text);
  CHECK(BlockChain(Namespace("b", "1"), text) != chain);
  CHECK(BlockChain(Namespace("a", "2"), text) != chain);
  CHECK(Namespace("a1", "1") != Namespace("a", "11"));
}

TEST_CASE("a hash survives its way through text") {
  const BlockHash hash{0x0123456789abcdef, 7};
  CHECK(BlockHashFromHex(ToHex(hash)) == hash);
  CHECK_FALSE(BlockHashFromHex("xyz"));
}

}  // namespace carobshift
