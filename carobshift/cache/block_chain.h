// Identity of KV cache blocks. A prompt is cut into blocks of a fixed number
// of tokens; each block's hash covers the account, model, weight version and
// adapter it belongs to and the whole prompt up to its end.
//
//   const CacheNamespace ns = MakeCacheNamespace(secret, account, model,
//                                                version, adapter);
//   std::vector<BlockHash> chain = BlockChain(ns, prompt);
//
// Without the namespace in the chain, equal prompts of two client accounts,
// or of two weight versions, would share blocks; one would see it as an answer
// computed from another account's or an older version's cache. With it no
// lookup can match across them, whatever the directory or a store holds.

#ifndef CAROBSHIFT_CACHE_BLOCK_CHAIN_H_
#define CAROBSHIFT_CACHE_BLOCK_CHAIN_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/ids.h"
#include "carobshift/base/units.h"

namespace carobshift {

inline constexpr Tokens kBlockTokens = 64;
// The engines' tokenizer isn't known here. Four bytes a token is the common
// average for text; only block borders and cost estimates depend on it.
inline constexpr Bytes kBytesPerToken = 4;
inline constexpr Bytes kBlockBytes = kBlockTokens * kBytesPerToken;

// The first 128 bits of a SHA-256 chain, so that a caller can't construct a
// prompt whose blocks collide with another's.
struct BlockHash {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  friend auto operator<=>(const BlockHash&, const BlockHash&) = default;
};

// 32 hexadecimal digits, as engines and stores exchange it.
[[nodiscard]] std::string ToHex(const BlockHash& hash);
[[nodiscard]] std::optional<BlockHash> BlockHashFromHex(std::string_view hex);

// Seed of every chain of one (account, model, version, adapter). Engines get
// it as the cache salt of a request.
using CacheNamespace = StrongType<struct CacheNamespaceTag, std::string>;

// `secret` is the deployment's shared secret, so that namespaces can't be
// guessed from names. Returns 64 hexadecimal digits.
[[nodiscard]] CacheNamespace MakeCacheNamespace(std::string_view secret,
                                                const AccountId& account,
                                                const ModelName& model,
                                                const WeightVersion& version,
                                                const AdapterName& adapter);

// The hashes of all full blocks of `text`, first block first. A last partial
// block has no hash: it is never shared.
[[nodiscard]] std::vector<BlockHash> BlockChain(const CacheNamespace& ns,
                                                std::string_view text);

// Estimated tokens of a text, at least 1.
[[nodiscard]] Tokens EstimateTokens(std::string_view text);

}  // namespace carobshift

template <>
struct std::hash<carobshift::BlockHash> {
  std::size_t operator()(const carobshift::BlockHash& hash) const noexcept {
    return hash.low;
  }
};

#endif  // CAROBSHIFT_CACHE_BLOCK_CHAIN_H_
