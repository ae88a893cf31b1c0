// Encodes what instances tell and ask each other about streams, as payloads of
// datagrams.
//
//   std::string payload = EncodeStreamRecords(records);
//   Result<std::vector<StreamRecord>> records = DecodeStreamRecords(payload);
//
// Decoding returns kPeerRejected if the payload is incomplete or malformed.

#ifndef CAROBSHIFT_GATEWAY_STREAMS_STREAM_MESSAGES_H_
#define CAROBSHIFT_GATEWAY_STREAMS_STREAM_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carobshift/base/result.h"
#include "carobshift/gateway/streams/stream_directory.h"

namespace carobshift {

struct StreamQuery {
  Incarnation requester;
  // Returned with the answer.
  std::uint64_t number = 0;
  StreamKey key;
  // The service to which the route leads that continues the stream.
  SoleVersionQuestion question;
};

struct StreamAnswer {
  Incarnation from;
  std::uint64_t number = 0;
  StreamEvidence evidence;
  // See StreamLookup.
  std::optional<SoftwareVersion> sole_version;
};

// Records of the same beginning share its names, so that each takes 12 bytes.
[[nodiscard]] std::string EncodeStreamRecords(
    const std::vector<StreamRecord>& records);
[[nodiscard]] Result<std::vector<StreamRecord>> DecodeStreamRecords(
    std::string_view payload);

[[nodiscard]] std::string EncodeStreamQuery(const StreamQuery& query);
[[nodiscard]] Result<StreamQuery> DecodeStreamQuery(std::string_view payload);

[[nodiscard]] std::string EncodeStreamAnswer(const StreamAnswer& answer);
[[nodiscard]] Result<StreamAnswer> DecodeStreamAnswer(std::string_view payload);

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_STREAMS_STREAM_MESSAGES_H_
