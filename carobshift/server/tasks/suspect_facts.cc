#include "carobshift/server/tasks/suspect_facts.h"

#include <algorithm>
#include <charconv>

#include "carobshift/membership/fact_table.h"

namespace carobshift {

std::vector<Fact> SuspectFacts(const std::vector<SuspectRecord>& records) {
  std::vector<Fact> facts;
  for (const SuspectRecord& record : records) {
    Fact fact;
    fact.kind = FactKind::kSuspectedRequest;
    fact.subject = std::to_string(record.fingerprint.value());
    fact.version.counter =
        2 * static_cast<std::uint64_t>(std::max(0, record.crashes)) +
        (record.convicted ? 1 : 0);
    fact.remaining = FactTable::kMaxLife - record.age;
    if (fact.remaining > Milliseconds(0))
      facts.push_back(std::move(fact));
  }
  return facts;
}

std::vector<SuspectRecord> SuspectsOf(const std::vector<Fact>& facts) {
  std::vector<SuspectRecord> records;
  for (const Fact& fact : facts) {
    std::uint64_t fingerprint = 0;
    const char* end = fact.subject.data() + fact.subject.size();
    const auto parsed = std::from_chars(fact.subject.data(), end, fingerprint);
    if (parsed.ec != std::errc() || parsed.ptr != end)
      continue;
    records.push_back({.fingerprint = ContentFingerprint(fingerprint),
                       .crashes = static_cast<int>(std::min<std::uint64_t>(
                           fact.version.counter / 2, 1000)),
                       .convicted = fact.version.counter % 2 == 1,
                       .age = FactTable::kMaxLife - fact.remaining});
  }
  return records;
}

}  // namespace carobshift
