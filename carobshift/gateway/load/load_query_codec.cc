#include "carobshift/gateway/load/load_query_codec.h"

#include <algorithm>

#include "carobshift/gateway/instances/datagram_archive.h"
#include "carobshift/gateway/load/endpoint_load_codec.h"

namespace carobshift {

std::string EncodeLoadUpdate(const LoadUpdate& update) {
  return WriteDatagram([&update](DatagramOutput& archive) {
    archive(update.sender.value(), update.sequence, update.endpoint);
    WriteEndpointLoad(archive, update.load);
  });
}

Result<LoadUpdate> DecodeLoadUpdate(std::string_view payload) {
  return ReadDatagram<LoadUpdate>(
      payload, [](DatagramInput& archive, LoadUpdate& update) {
        std::uint64_t sender = 0;
        archive(sender, update.sequence, update.endpoint);
        update.sender = Incarnation(sender);
        update.load = ReadEndpointLoad(archive);
      });
}

std::string EncodeLoadQuery(const LoadQuery& query) {
  return WriteDatagram([&query](DatagramOutput& archive) {
    archive(query.requester.value(), query.number,
            static_cast<std::uint16_t>(query.endpoints.size()));
    for (const std::uint64_t endpoint : query.endpoints)
      archive(endpoint);
  });
}

Result<LoadQuery> DecodeLoadQuery(std::string_view payload) {
  return ReadDatagram<LoadQuery>(payload,
                                 [](DatagramInput& archive, LoadQuery& query) {
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
  return WriteDatagram([&answer](DatagramOutput& archive) {
    archive(answer.number, static_cast<std::uint16_t>(answer.loads.size()));
    for (const auto& [endpoint, load] : answer.loads) {
      archive(endpoint);
      WriteEndpointLoad(archive, load);
    }
  });
}

Result<LoadAnswer> DecodeLoadAnswer(std::string_view payload) {
  return ReadDatagram<LoadAnswer>(
      payload, [](DatagramInput& archive, LoadAnswer& answer) {
        std::uint16_t count = 0;
        archive(answer.number, count);
        for (std::uint16_t i = 0; i < count; ++i) {
          std::uint64_t endpoint = 0;
          archive(endpoint);
          answer.loads[endpoint] = ReadEndpointLoad(archive);
        }
      });
}

}  // namespace carobshift
