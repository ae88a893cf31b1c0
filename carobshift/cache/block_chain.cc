#include "carobshift/cache/block_chain.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <cstring>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

using Sha256 = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

// Appends a length-prefixed field, so that different lists of fields always
// give different bytes.
void AppendField(std::string& out, std::string_view field) {
  out += std::to_string(field.size());
  out += ':';
  out += field;
}

BlockHash FirstBits(const Sha256& digest) {
  BlockHash hash;
  std::memcpy(&hash.high, digest.data(), sizeof(hash.high));
  std::memcpy(&hash.low, digest.data() + sizeof(hash.high), sizeof(hash.low));
  return hash;
}

Sha256 Digest(std::string_view data) {
  Sha256 out;
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         out.data());
  return out;
}

std::string_view View(const Sha256& digest) {
  return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

}  // namespace

std::string ToHex(const BlockHash& hash) {
  std::array<char, 33> text;
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high),
                static_cast<unsigned long long>(hash.low));
  return text.data();
}

std::optional<BlockHash> BlockHashFromHex(std::string_view hex) {
  constexpr std::size_t kHalf = 16;
  if (hex.size() != 2 * kHalf)
    return std::nullopt;
  BlockHash hash;
  const char* begin = hex.data();
  const auto high = std::from_chars(begin, begin + kHalf, hash.high, 16);
  const auto low =
      std::from_chars(begin + kHalf, begin + 2 * kHalf, hash.low, 16);
  if (high.ptr != begin + kHalf || low.ptr != begin + 2 * kHalf)
    return std::nullopt;
  return hash;
}

CacheNamespace MakeCacheNamespace(std::string_view secret,
                                  const AccountId& account,
                                  const ModelName& model,
                                  const WeightVersion& version,
                                  const AdapterName& adapter) {
  std::string fields;
  AppendField(fields, account.value());
  AppendField(fields, model.value());
  AppendField(fields, version.value());
  AppendField(fields, adapter.value());
  return CacheNamespace(HexEncode(HmacSha256(secret, fields)));
}

std::vector<BlockHash> BlockChain(const CacheNamespace& ns,
                                  std::string_view text) {
  std::vector<BlockHash> chain;
  chain.reserve(text.size() / kBlockBytes);
  Sha256 link = Digest(ns.value());
  std::string input;
  while (text.size() >= static_cast<std::size_t>(kBlockBytes)) {
    input.assign(View(link));
    input.append(text.substr(0, kBlockBytes));
    link = Digest(input);
    chain.push_back(FirstBits(link));
    text.remove_prefix(kBlockBytes);
  }
  return chain;
}

Tokens EstimateTokens(std::string_view text) {
  const auto size = static_cast<Bytes>(text.size());
  return std::max<Tokens>(1, (size + kBytesPerToken - 1) / kBytesPerToken);
}

}  // namespace carobshift
