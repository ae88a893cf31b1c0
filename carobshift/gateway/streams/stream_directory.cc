#include "carobshift/gateway/streams/stream_directory.h"

namespace carobshift {

std::string_view StreamSourceName(StreamSource source) {
  switch (source) {
    case StreamSource::kUnknown:
      return "unknown";
    case StreamSource::kOwnTable:
      return "own_table";
    case StreamSource::kPeer:
      return "peer";
    case StreamSource::kHandoff:
      return "handoff";
    case StreamSource::kSoleVersion:
      return "sole_version";
  }
  return "unknown";
}

}  // namespace carobshift
