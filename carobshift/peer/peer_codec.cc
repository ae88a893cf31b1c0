#include "carobshift/peer/peer_codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <exception>
#include <sstream>
#include <type_traits>

namespace carobshift {
namespace {

using Reader = cereal::PortableBinaryInputArchive;
using Writer = cereal::PortableBinaryOutputArchive;

// FieldWriter and FieldReader encode and decode message fields. VisitFields
// lists the fields of each message once for both directions.
class FieldWriter {
 public:
  explicit FieldWriter(Writer& archive) : archive_(archive) {}

  template <typename Number>
  requires std::is_arithmetic_v<Number>
  void operator()(const Number& number) { archive_(number); }
  void operator()(const std::string& text) { archive_(text); }
  template <typename Tag, typename Rep>
  void operator()(const StrongType<Tag, Rep>& id) {
    (*this)(id.value());
  }
  void operator()(const Milliseconds& duration) {
    archive_(static_cast<std::int64_t>(duration.count()));
  }
  void operator()(const WallTime& time) { (*this)(time.time_since_epoch()); }
  void operator()(const CallRoute& route) {
    archive_(static_cast<std::uint8_t>(route));
  }

 private:
  Writer& archive_;
};

class FieldReader {
 public:
  FieldReader(Reader& archive, std::size_t max_bytes)
      : archive_(archive), max_bytes_(max_bytes) {}

  template <typename Number>
  requires std::is_arithmetic_v<Number>
  void operator()(Number& number) { archive_(number); }
  // cereal would allocate any length that the input specifies.
  void operator()(std::string& text) {
    cereal::size_type size = 0;
    archive_(cereal::make_size_tag(size));
    if (size > max_bytes_)
      throw cereal::Exception("a text is longer than its message");
    text.resize(size);
    archive_(cereal::binary_data(text.data(), size));
  }
  template <typename Tag, typename Rep>
  void operator()(StrongType<Tag, Rep>& id) {
    Rep value{};
    (*this)(value);
    id = StrongType<Tag, Rep>(std::move(value));
  }
  void operator()(Milliseconds& duration) {
    std::int64_t count = 0;
    archive_(count);
    duration = Milliseconds(count);
  }
  void operator()(WallTime& time) {
    Milliseconds since{};
    (*this)(since);
    time = WallTime(since);
  }
  void operator()(CallRoute& route) {
    std::uint8_t number = 0;
    archive_(number);
    if (number > static_cast<std::uint8_t>(CallRoute::kChat))
      throw cereal::Exception("unknown route");
    route = static_cast<CallRoute>(number);
  }

 private:
  Reader& archive_;
  std::size_t max_bytes_;
};

template <typename Fields, typename Message>
void VisitFields(Fields& fields, Message& message) requires
    std::is_same_v<std::remove_const_t<Message>, ForwardCall> {
  fields(message.request);
  fields(message.route);
  fields(message.service);
  fields(message.account);
  fields(message.key);
  fields(message.key_created);
  fields(message.owner);
  fields(message.body);
  fields(message.content_type);
  fields(message.time_left);
  fields(message.priority);
  fields(message.conversation);
  fields(message.not_repeatable);
}

template <typename Fields, typename Message>
void VisitFields(Fields& fields, Message& message) requires
    std::is_same_v<std::remove_const_t<Message>, QueryOutcome> {
  fields(message.account);
  fields(message.key);
}

template <typename Fields, typename Message>
void VisitFields(Fields&, Message&) requires
    std::is_same_v<std::remove_const_t<Message>, FetchConfig> {}

template <typename Fields, typename Message>
void VisitFields(Fields& fields, Message& message) requires
    std::is_same_v<std::remove_const_t<Message>, CallReply> {
  fields(message.http_status);
  fields(message.content_type);
  fields(message.body);
  fields(message.retry_after);
}

template <typename Fields, typename Message>
void VisitFields(Fields& fields, Message& message) requires
    std::is_same_v<std::remove_const_t<Message>, ConfigReply> {
  fields(message.checkpoint);
}

template <typename Variant>
std::string Encode(const Variant& message) {
  std::ostringstream out;
  Writer archive(out);
  archive(static_cast<std::uint8_t>(message.index()));
  FieldWriter fields(archive);
  std::visit([&](const auto& typed) { VisitFields(fields, typed); }, message);
  return out.str();
}

// Decodes the alternative with number `index`.
template <typename Variant, std::size_t I = 0>
Variant ReadAlternative(std::size_t index, FieldReader& fields) {
  if constexpr (I < std::variant_size_v<Variant>) {
    if (index != I)
      return ReadAlternative<Variant, I + 1>(index, fields);
    std::variant_alternative_t<I, Variant> message;
    VisitFields(fields, message);
    return message;
  } else {
    throw cereal::Exception("unknown message");
  }
}

template <typename Variant>
Result<Variant> Decode(std::string_view bytes) {
  // cereal throws on corrupt input.
  try {
    std::istringstream in{std::string(bytes)};
    Reader archive(in);
    std::uint8_t index = 0;
    archive(index);
    FieldReader fields(archive, bytes.size());
    return ReadAlternative<Variant>(index, fields);
  } catch (const std::exception&) {
    return Error{ResultCode::kPeerRejected, "a peer's message is damaged"};
  }
}

}  // namespace

std::string EncodePeerRequest(const PeerRequest& request) {
  return Encode(request);
}

std::string EncodePeerReply(const PeerReply& reply) {
  return Encode(reply);
}

Result<PeerRequest> DecodePeerRequest(std::string_view bytes) {
  return Decode<PeerRequest>(bytes);
}

Result<PeerReply> DecodePeerReply(std::string_view bytes) {
  return Decode<PeerReply>(bytes);
}

}  // namespace carobshift
