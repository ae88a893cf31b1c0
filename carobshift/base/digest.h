// Digests and message authentication: SHA-256 for client keys, HMAC-SHA-256 for
// messages between peers, xxHash for checksums and block identities.
//
//   std::string hex = Sha256Hex(bearer_token);
//   if (!ConstantTimeEqual(hex, declared_digest)) ...
//
// All functions are thread-safe.

#ifndef CAROBSHIFT_BASE_DIGEST_H_
#define CAROBSHIFT_BASE_DIGEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobshift {

// Returns the SHA-256 digest as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string Sha256Hex(std::string_view data);

// Returns the HMAC-SHA-256 as 32 raw bytes.
[[nodiscard]] std::string HmacSha256(std::string_view secret,
                                     std::string_view data);

// Compares in time that is independent of the contents, so that the duration of
// a rejection reveals nothing about a secret.
[[nodiscard]] bool ConstantTimeEqual(std::string_view a, std::string_view b);

// Returns the HMAC of `body` under `secret`, followed by `body`, for a peer
// that shares the secret.
[[nodiscard]] std::string PrependMac(std::string_view body,
                                     const std::string& secret);
// Verifies the HMAC of bytes made by PrependMac() and returns a view of the
// body, which points into `bytes`. Returns nullopt if the HMAC doesn't match
// `secret`.
[[nodiscard]] std::optional<std::string_view> VerifyAndStripMac(
    std::string_view bytes,
    const std::string& secret);

// Returns the 64-bit xxHash (XXH3), which isn't a cryptographic hash.
[[nodiscard]] std::uint64_t FastHash(std::string_view data,
                                     std::uint64_t seed = 0);

// Combines two hashes into one; the order matters.
[[nodiscard]] std::uint64_t CombineHashes(std::uint64_t a, std::uint64_t b);

// Encodes bytes as lower-case hexadecimal digits.
[[nodiscard]] std::string HexEncode(std::string_view bytes);

// Returns `byte_count` bytes from OpenSSL's random number generator.
[[nodiscard]] std::string RandomBytes(std::size_t byte_count);

// Returns a number from OpenSSL's random number generator.
[[nodiscard]] std::uint64_t RandomUint64();

}  // namespace carobshift

#endif  // CAROBSHIFT_BASE_DIGEST_H_
