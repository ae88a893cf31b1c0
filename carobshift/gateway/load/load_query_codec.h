// Encodes load updates, queries and answers between instances as payloads of
// datagrams.
//
//   std::string payload = EncodeLoadUpdate(update);
//   Result<LoadUpdate> update = DecodeLoadUpdate(payload);
//
// Decoding returns kPeerRejected if the payload is incomplete or malformed.

#ifndef CAROBSHIFT_GATEWAY_LOAD_LOAD_QUERY_CODEC_H_
#define CAROBSHIFT_GATEWAY_LOAD_LOAD_QUERY_CODEC_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/result.h"
#include "carobshift/gateway/load/load_aggregator.h"

namespace carobshift {

struct LoadQuery {
  Incarnation requester;
  // Returned with the answer.
  std::uint64_t number = 0;
  // Hashes of the endpoints' ids.
  std::vector<std::uint64_t> endpoints;
};

struct LoadAnswer {
  std::uint64_t number = 0;
  // Load of all instances but the requester, by the hash of the endpoint's id.
  std::map<std::uint64_t, EndpointLoad> loads;
};

[[nodiscard]] std::string EncodeLoadUpdate(const LoadUpdate& update);
[[nodiscard]] Result<LoadUpdate> DecodeLoadUpdate(std::string_view payload);

[[nodiscard]] std::string EncodeLoadQuery(const LoadQuery& query);
[[nodiscard]] Result<LoadQuery> DecodeLoadQuery(std::string_view payload);

[[nodiscard]] std::string EncodeLoadAnswer(const LoadAnswer& answer);
[[nodiscard]] Result<LoadAnswer> DecodeLoadAnswer(std::string_view payload);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_LOAD_LOAD_QUERY_CODEC_H_
