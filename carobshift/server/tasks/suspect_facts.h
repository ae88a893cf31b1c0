// Crash suspects as facts of the gossip, and back.
//
//   membership.PublishFacts(SuspectFacts(load.ExportSuspects(now)), now);
//   load.MergeSuspects(SuspectsOf(facts), now);

#ifndef CAROBSHIFT_SERVER_TASKS_SUSPECT_FACTS_H_
#define CAROBSHIFT_SERVER_TASKS_SUSPECT_FACTS_H_

#include <vector>

#include "carobshift/membership/member.h"
#include "carobshift/retry/crash_suspects.h"

namespace carobshift {

// A fact's version grows with the crashes and the conviction; what remains of
// its life says how long ago the last crash was.
[[nodiscard]] std::vector<Fact> SuspectFacts(
    const std::vector<SuspectRecord>& records);

// Skips facts whose subject is no fingerprint.
[[nodiscard]] std::vector<SuspectRecord> SuspectsOf(
    const std::vector<Fact>& facts);

}  // namespace carobshift

#endif  // CAROBSHIFT_SERVER_TASKS_SUSPECT_FACTS_H_
