#include "carobshift/membership/member.h"

namespace carobshift {

bool Supersedes(const MemberRecord& received, const MemberRecord& known) {
  if (received.info.version != known.info.version)
    return received.info.version > known.info.version;
  if (received.info.incarnation != known.info.incarnation)
    return received.info.incarnation > known.info.incarnation;
  return received.state > known.state;
}

}  // namespace carobshift
