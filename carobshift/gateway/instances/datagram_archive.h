// Writes and reads the payloads of datagrams between instances, in cereal's
// portable binary format.
//
//   std::string payload = WriteDatagram(
//       [&](DatagramOutput& archive) { archive(number); });
//   Result<Message> message = ReadDatagram<Message>(
//       payload, [](DatagramInput& archive, Message& message) {
//         archive(message.number);
//       });

#ifndef CAROBSHIFT_GATEWAY_INSTANCES_DATAGRAM_ARCHIVE_H_
#define CAROBSHIFT_GATEWAY_INSTANCES_DATAGRAM_ARCHIVE_H_

#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <sstream>
#include <string>
#include <string_view>

#include "carobshift/base/result.h"

namespace carobshift {

using DatagramOutput = cereal::PortableBinaryOutputArchive;
using DatagramInput = cereal::PortableBinaryInputArchive;

template <typename Write>
[[nodiscard]] std::string WriteDatagram(const Write& write) {
  std::ostringstream out;
  {
    DatagramOutput archive(out);
    write(archive);
  }
  return out.str();
}

// Returns kPeerRejected if `read` throws, which cereal does at the end of the
// payload.
template <typename Message, typename Read>
[[nodiscard]] Result<Message> ReadDatagram(std::string_view payload,
                                           const Read& read) {
  Message message;
  try {
    std::istringstream in{std::string(payload)};
    DatagramInput archive(in);
    read(archive, message);
  } catch (const std::exception& e) {
    return Error{ResultCode::kPeerRejected, e.what()};
  }
  return message;
}

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_INSTANCES_DATAGRAM_ARCHIVE_H_
