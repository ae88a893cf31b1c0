#include "carobshift/gateway/instances/peer_choice.h"

#include <catch2/catch.hpp>
#include <string>

namespace carobshift {
namespace {

struct Traits {
  bool has_config = true;
  bool leaving = false;
  MemberState state = MemberState::kAlive;
};

MemberRecord Member(const std::string& id, const Traits& traits) {
  MemberRecord record;
  record.info.id = EntryId(id);
  record.info.leaving = traits.leaving;
  record.state = traits.state;
  record.config_version = ConfigVersion(traits.has_config ? 7 : 0);
  return record;
}

std::vector<std::string> Ids(const std::vector<MemberInfo>& members) {
  std::vector<std::string> ids;
  for (const MemberInfo& member : members)
    ids.push_back(member.id.value());
  return ids;
}

using Expected = std::vector<std::string>;

const EntryId kSelf("m");

TEST_CASE("an instance that is leaving is asked for what it knows") {
  // The log is unreachable while instances are restarted in turn. Those that
  // stay have just started and have no configuration. If only they were asked,
  // every caller would be refused until the log is back.
  const std::vector<MemberRecord> members = {
      Member("m", {.has_config = false}), Member("b", {.has_config = false}),
      Member("a", {.leaving = true}), Member("z", {.leaving = true})};
  CHECK(Ids(SelectSyncPeers(members, kSelf)) == Expected{"a", "z"});
}

TEST_CASE("all live peers are asked if none is known to have a configuration") {
  // Gossip about a peer's configuration arrives seconds after the
  // configuration. Until then a peer that has one would not be asked.
  const std::vector<MemberRecord> members = {
      Member("m", {.has_config = false}), Member("c", {.has_config = false}),
      Member("b", {.has_config = false, .state = MemberState::kDead}),
      Member("a", {.has_config = false, .leaving = true})};
  CHECK(Ids(SelectSyncPeers(members, kSelf)) == Expected{"a", "c"});
}

TEST_CASE("a dead instance that knew is not asked") {
  // Each call to a dead instance would end only with its timeout.
  const std::vector<MemberRecord> members = {
      Member("m", {.has_config = false}),
      Member("a", {.state = MemberState::kDead}), Member("b", {})};
  CHECK(Ids(SelectSyncPeers(members, kSelf)) == Expected{"b"});
}

TEST_CASE("the last instance that knows stays until it has told somebody") {
  // All instances are stopped at once while the log is unreachable. If each
  // shuts down as soon as its requests are answered, no instance with a
  // configuration is left, and callers are refused until the log is back.
  std::vector<MemberRecord> members = {Member("m", {.leaving = true}),
                                       Member("p", {.leaving = true}),
                                       Member("q", {.has_config = false})};
  CHECK(MustDelayShutdown(members, kSelf, /*log_unreachable=*/true));
  SECTION("one is enough: if all stayed, none would start again") {
    CHECK_FALSE(
        MustDelayShutdown(members, EntryId("p"), /*log_unreachable=*/true));
  }
  SECTION("it goes as soon as one that stays knows") {
    members.push_back(Member("r", {}));
    CHECK_FALSE(MustDelayShutdown(members, kSelf, /*log_unreachable=*/true));
  }
  SECTION("it goes if whoever starts can read the log") {
    CHECK_FALSE(MustDelayShutdown(members, kSelf, /*log_unreachable=*/false));
  }
  SECTION("a dead instance that stayed doesn't count") {
    members.push_back(Member("r", {.state = MemberState::kDead}));
    CHECK(MustDelayShutdown(members, kSelf, /*log_unreachable=*/true));
  }
}

TEST_CASE("an instance without others ends like always") {
  // No other instance could fetch the configuration, and none would start
  // before this one has shut down.
  CHECK_FALSE(MustDelayShutdown({Member("m", {.leaving = true})}, kSelf,
                                /*log_unreachable=*/true));
}

}  // namespace
}  // namespace carobshift
