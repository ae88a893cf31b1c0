#include "carobshift/gateway/load/load_query_codec.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <sstream>

namespace carobshift {
namespace {

using Output = cereal::PortableBinaryOutputArchive;
using Input = cereal::PortableBinaryInputArchive;

template <typename Write>
std::string Written(const Write& write) {
  std::ostringstream out;
  {
    Output archive(out);
    write(archive);
  }
  return out.str();
}

template <typename Message, typename Read>
Result<Message> ReadFrom(std::string_view payload, const Read& read) {
  Message message;
  try {
    std::istringstream in{std::string(payload)};
    Input archive(in);
    read(archive, message);
  } catch (const std::exception& e) {
    return Error{ResultCode::kPeerRejected, e.what()};
  }
  return message;
}

void WriteLoad(Output& archive, const EndpointLoad& load) {
  archive(static_cast<std::uint32_t>(std::max(0.0, load.tokens)),
          static_cast<std::uint16_t>(std::max(0.0, load.requests)),
          static_cast<std::uint32_t>(std::max(0.0, load.prefill_tokens)));
}

EndpointLoad ReadLoad(Input& archive) {
  std::uint32_t tokens = 0;
  std::uint16_t requests = 0;
  std::uint32_t prefill_tokens = 0;
  archive(tokens, requests, prefill_tokens);
  return {static_cast<double>(tokens), static_cast<double>(requests),
          static_cast<double>(prefill_tokens)};
}

}  // namespace

std::string EncodeLoadUpdate(const LoadUpdate& update) {
  return Written([&update](Output& archive) {
    archive(update.sender.value(), update.sequence, update.endpoint);
    WriteLoad(archive, update.load);
  });
}

Result<LoadUpdate> DecodeLoadUpdate(std::string_view payload) {
  return ReadFrom<LoadUpdate>(payload, [](Input& archive, LoadUpdate& update) {
    std::uint64_t sender = 0;
    archive(sender, update.sequence, update.endpoint);
    update.sender = Incarnation(sender);
    update.load = ReadLoad(archive);
  });
}

std::string EncodeLoadQuery(const LoadQuery& query) {
  return Written([&query](Output& archive) {
    archive(query.requester.value(), query.number,
            static_cast<std::uint16_t>(query.endpoints.size()));
    for (const std::uint64_t endpoint : query.endpoints)
      archive(endpoint);
  });
}

Result<LoadQuery> DecodeLoadQuery(std::string_view payload) {
  return ReadFrom<LoadQuery>(payload, [](Input& archive, LoadQuery& query) {
    std::uint64_t requester = 0;
    std::uint16_t count = 0;
    archive(requester, query.number, count);
    query.requester = Incarnation(requester);
    for (std::uint16_t i = 0; i < count; ++i) {
      std::uint64_t endpoint = 0;
      archive(endpoint);
      query.endpoints.push_back(endpoint);
    }
  });
}

std::string EncodeLoadAnswer(const LoadAnswer& answer) {
  return Written([&answer](Output& archive) {
    archive(answer.number, static_cast<std::uint16_t>(answer.loads.size()));
    for (const auto& [endpoint, load] : answer.loads) {
      archive(endpoint);
      WriteLoad(archive, load);
    }
  });
}

Result<LoadAnswer> DecodeLoadAnswer(std::string_view payload) {
  return ReadFrom<LoadAnswer>(payload, [](Input& archive, LoadAnswer& answer) {
    std::uint16_t count = 0;
    archive(answer.number, count);
    for (std::uint16_t i = 0; i < count; ++i) {
      std::uint64_t endpoint = 0;
      archive(endpoint);
      answer.loads[endpoint] = ReadLoad(archive);
    }
  });
}

}  // namespace carobshift
