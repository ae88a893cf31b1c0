// Computes the identity of KV cache blocks. A prompt is split into blocks of a
// fixed number of tokens. The hash of a block covers the account, model, weight
// version and adapter that it belongs to, and the whole prompt up to the end of
// the block.
//
//   const CacheNamespace ns = MakeCacheNamespace(secret, account, model,
//                                                version, adapter);
//   std::vector<BlockHash> chain = BlockChain(ns, prompt);
//
// The namespace keeps equal prompts of two client accounts, or of two weight
// versions, from sharing blocks. Without it one of them could receive an answer
// computed from the cache of another account or of an older version. With it no
// lookup matches across namespaces, whatever the directory or a store holds.

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
// The engines' tokenizer is not available here. Four bytes per token is a
// common average for text. Only block boundaries and cost estimates depend on
// it.
inline constexpr Bytes kBytesPerToken = 4;
inline constexpr Bytes kBlockBytes = kBlockTokens * kBytesPerToken;

// The first 128 bits of a SHA-256 chain. A cryptographic hash prevents a caller
// from constructing a prompt whose blocks collide with those of another.
struct BlockHash {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  friend auto operator<=>(const BlockHash&, const BlockHash&) = default;
};

// The encoding that engines and stores exchange: 32 hexadecimal digits.
// BlockHashFromHex returns nullopt for any other text.
[[nodiscard]] std::string ToHex(const BlockHash& hash);
[[nodiscard]] std::optional<BlockHash> BlockHashFromHex(std::string_view hex);

// The seed of every chain of one (account, model, version, adapter). Engines
// receive it as the cache salt of a request.
using CacheNamespace = StrongType<struct CacheNamespaceTag, std::string>;

// Returns 64 hexadecimal digits. `secret` is the deployment's shared secret; it
// prevents guessing namespaces from names.
[[nodiscard]] CacheNamespace MakeCacheNamespace(std::string_view secret,
                                                const AccountId& account,
                                                const ModelName& model,
                                                const WeightVersion& version,
                                                const AdapterName& adapter);

// Returns the hashes of all full blocks of `text`, first block first. A partial
// last block has no hash and is never shared.
[[nodiscard]] std::vector<BlockHash> BlockChain(const CacheNamespace& ns,
                                                std::string_view text);

// Returns the estimated number of tokens of a text, at least 1.
[[nodiscard]] Tokens EstimateTokens(std::string_view text);

}  // namespace carobshift

template <>
struct std::hash<carobshift::BlockHash> {
  std::size_t operator()(const carobshift::BlockHash& hash) const noexcept {
    return hash.low;
  }
};

#endif  // CAROBSHIFT_CACHE_BLOCK_CHAIN_H_
