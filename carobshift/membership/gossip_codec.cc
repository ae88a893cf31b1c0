#include "carobshift/membership/gossip_codec.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cstdint>
#include <exception>
#include <sstream>
#include <stdexcept>
#include <type_traits>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

constexpr std::size_t kHmacBytes = 32;
// Five texts of this size and the fixed fields still fit in one datagram.
// Longer ids and hosts are truncated when encoded.
constexpr std::size_t kMaxText = 128;

// Encoder and decoder share one description of each struct: Fields(archive,
// value) visits the fields in order. Strings and lists carry a one-byte length;
// cereal's own containers use eight bytes and would allocate whatever a
// corrupted length says.
template <typename Archive>
inline constexpr bool kIsReader = Archive::is_loading::value;

template <typename Archive>
void Number(Archive& archive, auto& value) {
  archive(value);
}

template <typename Archive>
void Text(Archive& archive, std::string& text) {
  auto size = static_cast<std::uint8_t>(std::min(text.size(), kMaxText));
  archive(size);
  if (size > kMaxText)
    throw std::length_error("text longer than 128 bytes");
  text.resize(size);
  archive(cereal::binary_data(text.data(), size));
}

template <typename Archive, typename Strong>
void StrongText(Archive& archive, Strong& id) {
  std::string text = id.value();
  Text(archive, text);
  if constexpr (kIsReader<Archive>)
    id = Strong(std::move(text));
}

template <typename Archive, typename Strong>
void StrongNumber(Archive& archive, Strong& id) {
  auto number = id.value();
  archive(number);
  if constexpr (kIsReader<Archive>)
    id = Strong(number);
}

template <typename Archive, typename Enum>
void EnumValue(Archive& archive, Enum& value, Enum last) {
  auto number = static_cast<std::uint8_t>(value);
  archive(number);
  if (number > static_cast<std::uint8_t>(last))
    throw std::out_of_range("unknown enumerator");
  value = static_cast<Enum>(number);
}

template <typename Archive>
void Fields(Archive& archive, MemberInfo& info) {
  StrongText(archive, info.id);
  StrongNumber(archive, info.incarnation);
  StrongNumber(archive, info.version);
  StrongText(archive, info.zone);
  Text(archive, info.host);
  Number(archive, info.gossip_port);
  Number(archive, info.peer_port);
  Number(archive, info.http_port);
  Number(archive, info.leaving);
}

template <typename Archive>
void Fields(Archive& archive, MemberRecord& record) {
  Fields(archive, record.info);
  EnumValue(archive, record.state, MemberState::kDead);
  StrongNumber(archive, record.config_version);
}

template <typename Archive>
void Fields(Archive& archive, Fact& fact) {
  EnumValue(archive, fact.kind, FactKind::kSuspectedRequest);
  Text(archive, fact.subject);
  Number(archive, fact.version.term);
  Number(archive, fact.version.counter);
  Number(archive, fact.active);
  auto milliseconds = static_cast<std::uint32_t>(fact.remaining.count());
  archive(milliseconds);
  fact.remaining = Milliseconds(milliseconds);
}

template <typename Archive, typename Item>
void List(Archive& archive, std::vector<Item>& items) {
  auto size = static_cast<std::uint8_t>(items.size());
  archive(size);
  items.resize(size);
  for (Item& item : items)
    Fields(archive, item);
}

template <typename Archive>
void Fields(Archive& archive, GossipMessage& message) {
  EnumValue(archive, message.kind, GossipKind::kChallengeReply);
  Fields(archive, message.sender);
  StrongNumber(archive, message.sender_config);
  Number(archive, message.sequence);
  Text(archive, message.to.host);
  Number(archive, message.to.port);
  Number(archive, message.number);
  StrongText(archive, message.target);
  List(archive, message.members);
  List(archive, message.facts);
}

template <typename Value>
std::string Serialize(Value value) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    Fields(archive, value);
  }
  return std::move(out).str();
}

}  // namespace

std::string EncodeGossip(const GossipMessage& message,
                         std::string_view secret) {
  std::string body = Serialize(message);
  return body + HmacSha256(secret, body);
}

Result<GossipMessage> DecodeGossip(std::string_view datagram,
                                   std::string_view secret) {
  if (datagram.size() > kMaxDatagramBytes || datagram.size() < kHmacBytes)
    return Error{ResultCode::kPeerRejected, "datagram of a wrong size"};
  const std::string_view body =
      datagram.substr(0, datagram.size() - kHmacBytes);
  const std::string_view mac = datagram.substr(body.size());
  if (!ConstantTimeEqual(HmacSha256(secret, body), mac))
    return Error{ResultCode::kPeerRejected, "datagram with a wrong HMAC"};
  try {
    std::istringstream in{std::string(body)};
    cereal::PortableBinaryInputArchive archive(in);
    GossipMessage message;
    Fields(archive, message);
    return message;
  } catch (const std::exception& error) {
    return Error{ResultCode::kMalformedRequest, error.what()};
  }
}

// The portable format starts with one byte that gives the byte order.
std::size_t EncodedSize(const MemberRecord& record) {
  constexpr std::size_t kFixed = 3 + 8 + 8 + 6 + 1 + 1 + 8;
  return kFixed + record.info.id.value().size() +
         record.info.zone.value().size() + record.info.host.size();
}

std::size_t EncodedSize(const Fact& fact) {
  constexpr std::size_t kFixed = 1 + 1 + 16 + 1 + 4;
  return kFixed + fact.subject.size();
}

}  // namespace carobshift
