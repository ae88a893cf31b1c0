#include "carobshift/membership/gossip_codec.h"

#include <catch2/catch.hpp>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

constexpr char kSecret[] = "shared";

GossipMessage SampleMessage() {
  GossipMessage message;
  message.kind = GossipKind::kAck;
  message.sender = {.id = EntryId("entry-1"),
                    .incarnation = Incarnation(77),
                    .version = MemberVersion(1000),
                    .zone = ZoneName("rkv-a"),
                    .host = "127.0.0.1",
                    .gossip_port = 7001,
                    .peer_port = 7002,
                    .http_port = 7003,
                    .leaving = true};
  message.sender_config = ConfigVersion(5);
  message.sequence = 9;
  message.to = {"127.0.0.1", 7101};
  message.target = EntryId("entry-2");
  message.members.push_back({.info = message.sender,
                             .state = MemberState::kSuspect,
                             .config_version = ConfigVersion(4)});
  message.facts.push_back({.kind = FactKind::kEndpointDraining,
                           .subject = "engine-3",
                           .version = {.term = 8, .counter = 2},
                           .active = true,
                           .remaining = Milliseconds(30000)});
  return message;
}

TEST_CASE("a datagram decodes to what was encoded") {
  const GossipMessage sent = SampleMessage();
  const Result<GossipMessage> received =
      DecodeGossip(EncodeGossip(sent, kSecret), kSecret);
  REQUIRE(received.ok());
  CHECK(received.value().sender == sent.sender);
  CHECK(received.value().sender_config == sent.sender_config);
  CHECK(received.value().sequence == sent.sequence);
  CHECK(received.value().to == sent.to);
  CHECK(received.value().members == sent.members);
  CHECK(received.value().facts == sent.facts);
}

// An attacker on the network sends its own datagrams or modifies one in
// transit. If they were accepted, callers would be sent to the attacker's
// address.
TEST_CASE("forged and changed datagrams are refused") {
  const std::string datagram = EncodeGossip(SampleMessage(), kSecret);
  CHECK(DecodeGossip(EncodeGossip(SampleMessage(), "other"), kSecret)
            .error()
            .code == ResultCode::kPeerRejected);
  for (std::size_t i = 0; i < datagram.size(); ++i) {
    std::string changed = datagram;
    changed[i] = static_cast<char>(changed[i] ^ 1);
    CHECK_FALSE(DecodeGossip(changed, kSecret).ok());
  }
  CHECK_FALSE(DecodeGossip("", kSecret).ok());
  CHECK_FALSE(DecodeGossip(std::string(4000, 'x'), kSecret).ok());
}

// A peer of another release, or a faulty one, signs a body that does not
// decode. Decoding must not crash or allocate memory for the lengths that the
// body claims.
TEST_CASE("signed bodies that do not decode are refused") {
  const std::string datagram = EncodeGossip(SampleMessage(), kSecret);
  const std::string body = datagram.substr(0, datagram.size() - 32);
  for (std::size_t size = 0; size < body.size(); ++size) {
    const std::string cut = body.substr(0, size);
    CHECK_FALSE(DecodeGossip(cut + HmacSha256(kSecret, cut), kSecret).ok());
  }
}

TEST_CASE("sizes used for filling are those of the encoding") {
  GossipMessage message = SampleMessage();
  const std::size_t before = EncodeGossip(message, kSecret).size();
  message.members.push_back(message.members.front());
  message.facts.push_back(message.facts.front());
  CHECK(EncodeGossip(message, kSecret).size() - before ==
        EncodedSize(message.members.front()) +
            EncodedSize(message.facts.front()));
}

}  // namespace
}  // namespace carobshift
