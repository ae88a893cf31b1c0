#include "carobshift/membership/member.h"

namespace carobshift {

bool Supersedes(const MemberRecord& heard, const MemberRecord& known) {
  if (heard.info.version != known.info.version)
    return heard.info.version > known.info.version;
  if (heard.info.incarnation != known.info.incarnation)
    return heard.info.incarnation > known.info.incarnation;
  return heard.state > known.state;
}

}  // namespace carobshift
