#include "carobshift/once/bound_key.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

// Separates the parts. Names and suffixes can't contain it, and it needs no
// escaping in a URL.
constexpr char kSeparator = '~';
// 128 bits can't be guessed.
constexpr std::size_t kMacBytes = 16;
constexpr std::size_t kMaxKeyBytes = 512;
// Marker, entry, incarnation, account, expiry, MAC, suffix.
constexpr std::size_t kParts = 7;
// Domain separation from other MACs under the same secret.
constexpr char kMacPurpose[] = "carobshift bound key:";

std::string Mac(std::string_view secret, std::string_view signed_part) {
  const std::string mac =
      HmacSha256(secret, kMacPurpose + std::string(signed_part));
  return HexEncode(std::string_view(mac).substr(0, kMacBytes));
}

std::string Hex(std::uint64_t number) {
  std::array<char, 16> digits;
  const auto [end, error] =
      std::to_chars(digits.data(), digits.data() + digits.size(), number, 16);
  return {digits.data(), end};
}

std::optional<std::uint64_t> ParseHex(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number, 16);
  if (error != std::errc() || stop != end)
    return std::nullopt;
  return number;
}

bool IsSuffix(std::string_view text) {
  return !text.empty() && text.size() <= kMaxKeySuffixBytes &&
         std::ranges::all_of(text, [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
         });
}

// Returns the parts of a key, or nullopt if their number is wrong.
std::optional<std::array<std::string_view, kParts>> Split(
    std::string_view text) {
  std::array<std::string_view, kParts> parts;
  for (std::size_t i = 0; i < kParts; ++i) {
    const std::size_t end = text.find(kSeparator);
    const bool is_last = i + 1 == kParts;
    if ((end == std::string_view::npos) != is_last)
      return std::nullopt;
    parts[i] = text.substr(0, end);
    if (!is_last)
      text.remove_prefix(end + 1);
  }
  return parts;
}

Error Invalid(const char* why) {
  return {ResultCode::kInvalidIdempotencyKey, why};
}

}  // namespace

BoundKeyIssuer::BoundKeyIssuer(std::string secret,
                               EntryId entry,
                               Incarnation incarnation,
                               Milliseconds time_to_live)
    : secret_(std::move(secret)),
      entry_(std::move(entry)),
      incarnation_(incarnation),
      time_to_live_(time_to_live) {}

IssuedPrefix BoundKeyIssuer::Issue(const AccountId& account,
                                   MonotonicTime now) const {
  const auto expiry = std::chrono::duration_cast<Milliseconds>(
      (now + time_to_live_).time_since_epoch());
  std::string prefix(kBoundKeyMarker);
  prefix += entry_.value() + kSeparator;
  prefix += Hex(incarnation_.value()) + kSeparator;
  prefix += account.value() + kSeparator;
  prefix += Hex(static_cast<std::uint64_t>(expiry.count()));
  prefix += kSeparator + Mac(secret_, prefix) + kSeparator;
  return {std::move(prefix), time_to_live_};
}

bool LooksLikeBoundKey(std::string_view key) {
  return key.starts_with(kBoundKeyMarker);
}

Result<BoundKey> ParseBoundKey(std::string_view secret, std::string_view key) {
  if (key.size() > kMaxKeyBytes)
    return Invalid("the idempotency key is too long");
  const auto parts = Split(key);
  if (!LooksLikeBoundKey(key) || !parts)
    return Invalid("the idempotency key has no issued prefix");
  const auto& [marker, entry, incarnation, account, expiry, mac, suffix] =
      *parts;
  const std::string_view signed_part =
      key.substr(0, static_cast<std::size_t>(mac.data() - key.data()) - 1);
  if (!ConstantTimeEqual(mac, Mac(secret, signed_part)))
    return Invalid("the idempotency key's prefix was not issued here");
  if (!IsSuffix(suffix))
    return Invalid(
        "after its prefix an idempotency key needs 1 to 128 letters, digits, "
        "'.', '_' or '-'");
  const auto incarnation_number = ParseHex(incarnation);
  const auto expiry_ms = ParseHex(expiry);
  if (!incarnation_number || !expiry_ms)
    return Invalid("the idempotency key's prefix is damaged");
  return BoundKey{.entry = EntryId(std::string(entry)),
                  .incarnation = Incarnation(*incarnation_number),
                  .account = AccountId(std::string(account)),
                  .expiry = MonotonicTime(Milliseconds(*expiry_ms)),
                  .suffix = std::string(suffix),
                  .text = IdempotencyKey(std::string(key))};
}

}  // namespace carobshift
