#include "carobshift/base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <cstring>

namespace carobshift {
namespace {

const unsigned char* Raw(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> out;
  SHA256(Raw(data), data.size(), out.data());
  return HexEncode({reinterpret_cast<char*>(out.data()), out.size()});
}

std::string HmacSha256(std::string_view secret, std::string_view data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> out;
  unsigned int size = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), Raw(data),
       data.size(), out.data(), &size);
  return {reinterpret_cast<char*>(out.data()), size};
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string PrependMac(std::string_view body, const std::string& secret) {
  std::string sealed = HmacSha256(secret, body);
  sealed += body;
  return sealed;
}

std::optional<std::string_view> VerifyAndStripMac(std::string_view bytes,
                                                  const std::string& secret) {
  constexpr std::size_t kMacBytes = 32;
  if (bytes.size() <= kMacBytes)
    return std::nullopt;
  const std::string_view body = bytes.substr(kMacBytes);
  if (!ConstantTimeEqual(bytes.substr(0, kMacBytes), HmacSha256(secret, body)))
    return std::nullopt;
  return body;
}

std::uint64_t FastHash(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t CombineHashes(std::uint64_t a, std::uint64_t b) {
  const std::array<std::uint64_t, 2> both = {a, b};
  return XXH3_64bits(both.data(), sizeof both);
}

std::string HexEncode(std::string_view bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  out.reserve(bytes.size() * 2);
  for (const unsigned char byte : bytes) {
    out.push_back(kDigits[byte >> 4]);
    out.push_back(kDigits[byte & 15]);
  }
  return out;
}

std::string RandomBytes(std::size_t byte_count) {
  std::string out(byte_count, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(out.data()),
             static_cast<int>(byte_count));
  return out;
}

std::uint64_t RandomUint64() {
  std::uint64_t number = 0;
  const std::string bytes = RandomBytes(sizeof(number));
  std::memcpy(&number, bytes.data(), sizeof(number));
  return number;
}

}  // namespace carobshift
