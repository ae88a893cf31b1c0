#include "carobshift/config/acceptance.h"

#include <catch2/catch.hpp>

#include "carobshift/config/checkpoint_planner.h"

namespace carobshift {
namespace {

constexpr char kText[] = "format: 1\n";
constexpr char kBlindText[] = "format: 1\nallow_blind_writes: true\n";

// A log with one stream that drops old records on demand.
class TestLog {
 public:
  LogOffset Append(const ConfigRecord& record) {
    return AppendRaw(EncodeConfigRecord(record).value());
  }
  LogOffset AppendRaw(std::string payload) {
    records_.push_back({LogOffset(records_.size()), std::move(payload)});
    return records_.back().offset;
  }
  LogOffset Edit(const std::string& id,
                 std::optional<std::uint64_t> base,
                 const std::string& text = kText) {
    EditRecord edit{EditId(id), std::nullopt, text};
    if (base)
      edit.base = ConfigVersion(*base);
    return Append(edit);
  }
  void DropBelow(std::uint64_t offset) { first_ = offset; }

  // Reads to the end of the log with `fold`.
  std::vector<EditDecision> Feed(ConfigStateMachine& fold) const {
    std::vector<EditDecision> all;
    LogOffset before;
    do {
      before = fold.next();
      const auto from = std::max(first_, before.value());
      LogBatch batch{LogOffset(first_), LogOffset(records_.size()), {}};
      batch.records.assign(records_.begin() + static_cast<long>(from),
                           records_.end());
      const auto some = fold.OnBatch(batch);
      all.insert(all.end(), some.begin(), some.end());
    } while (fold.next() != before);
    return all;
  }

 private:
  std::vector<LogRecord> records_;
  std::uint64_t first_ = 0;
};

std::uint64_t Version(const ConfigStateMachine& fold) {
  return fold.in_force() ? fold.in_force()->version.value() : 999;
}

}  // namespace

// Guards against a lost update: two operators publish edits of the same version
// at the same time. If both were accepted, the second would silently revert the
// first.
TEST_CASE("of two edits on one base the first wins and the other is told") {
  TestLog log;
  log.Edit("first", {});
  log.Edit("anna", 0);
  log.Edit("bert", 0);
  ConfigStateMachine fold;
  const auto decisions = log.Feed(fold);
  REQUIRE(decisions.size() == 3);
  CHECK(decisions[1].outcome == EditOutcome::kAccepted);
  CHECK(decisions[2].outcome == EditOutcome::kLostRace);
  CHECK(decisions[2].winner == EditId("anna"));
  CHECK(Version(fold) == 1);
}

TEST_CASE("a blind write needs a declaration that allows it") {
  TestLog log;
  log.Edit("first", {});
  log.Edit("blind", {});
  log.Edit("open", 0, kBlindText);
  log.Edit("blind again", {});
  ConfigStateMachine fold;
  const auto decisions = log.Feed(fold);
  CHECK(decisions[1].outcome == EditOutcome::kBaseMissing);
  CHECK(decisions[1].reason.find("accepted is version 0") != std::string::npos);
  CHECK(decisions[3].outcome == EditOutcome::kAccepted);
}

// A publisher loses the reply to its append and sends the record again, or
// another writer appends malformed records. Entries must neither stop nor
// diverge.
TEST_CASE("duplicates, invalid texts and rubbish are recorded and skipped") {
  TestLog log;
  log.Edit("first", {}, kBlindText);
  log.Edit("second", {}, kBlindText);
  log.Edit("first", {}, kBlindText);
  log.Edit("bad", 1, "format: 9");
  log.AppendRaw("{{{{");
  log.AppendRaw(R"({"kind":"edit","edit":7,"text":"x"})");
  log.AppendRaw(
      R"({"kind":"checkpoint","next":99,"checkpoint":0,"recent":[]})");
  ConfigStateMachine fold;
  const auto decisions = log.Feed(fold);
  REQUIRE(decisions.size() == 6);
  CHECK(decisions[2].outcome == EditOutcome::kDuplicate);
  CHECK(decisions[3].outcome == EditOutcome::kInvalid);
  CHECK(decisions[3].reason.find("line 1, column 9: format") !=
        std::string::npos);
  CHECK(decisions[4].outcome == EditOutcome::kMalformed);
  CHECK(decisions[5].reason.find("field edit") != std::string::npos);
  CHECK(Version(fold) == 1);
}

// Guards against a late reader that picks the wrong edit. The log keeps records
// for a limited time, so an entry that starts later sees only a suffix: of two
// edits that raced for a base, the winner has been dropped and the loser is
// still there.
TEST_CASE("a fold that starts past the dropped prefix comes to the same end") {
  TestLog log;
  log.Edit("first", {});
  ConfigStateMachine lagging;
  log.Feed(lagging);
  const CheckpointRecord stale{lagging.state()};
  log.Edit("winner", 0);
  log.Edit("loser", 0);
  ConfigStateMachine full;
  log.Feed(full);
  log.Append(stale);
  log.Append(CheckpointRecord{full.state()});
  log.Edit("later", 1);
  log.DropBelow(2);
  log.Feed(full);
  ConfigStateMachine fresh;
  const auto decisions = log.Feed(fresh);
  CHECK(decisions[0].outcome == EditOutcome::kUndecided);
  CHECK(Version(full) == 5);
  CHECK(Version(fresh) == 5);
  CHECK(fresh.state().accepted == full.state().accepted);
}

// Guards against the outdated state of a peer that was paused for minutes.
TEST_CASE("a peer's state is taken only if it has read further") {
  TestLog log;
  log.Edit("first", {});
  ConfigStateMachine lagging;
  log.Feed(lagging);
  log.Edit("second", 0);
  ConfigStateMachine fold;
  log.Feed(fold);
  CHECK_FALSE(fold.OnPeerState(lagging.state()));
  CHECK(Version(fold) == 1);
  CHECK(lagging.OnPeerState(fold.state()));
  CHECK(Version(lagging) == 1);
  CHECK(lagging.next() == fold.next());
}

// The log is down for longer than its retention, and no entry had read the last
// records before the outage. The log then no longer shows what is accepted;
// without a reset no further edit could be decided.
TEST_CASE("after an unreadable gap one reset wins, for all alike") {
  TestLog log;
  log.Edit("first", {});
  ConfigStateMachine a;
  ConfigStateMachine b;
  log.Feed(a);
  log.Feed(b);
  log.Edit("read by nobody", 0);
  log.Edit("seen, undecided", 0);
  log.DropBelow(2);
  log.Feed(a);
  log.Feed(b);
  CHECK(a.has_gap());
  log.Append(ResetRecord{a.state(), LogOffset(2)});
  log.Append(ResetRecord{b.state(), LogOffset(2)});
  log.Feed(a);
  log.Feed(b);
  ConfigStateMachine fresh;
  log.Feed(fresh);
  CHECK(Version(a) == 3);
  CHECK(Version(b) == 3);
  CHECK(Version(fresh) == 3);
  CHECK(a.in_force()->edit == EditId("first"));
}

TEST_CASE("a checkpoint is due at a third of the retention, by one entry") {
  TestLog log;
  log.Edit("first", {});
  ConfigStateMachine fold;
  log.Feed(fold);
  CheckpointPlanner planner({.retention = Seconds(300)});
  const MonotonicTime start{};
  const auto plan = [&](MonotonicTime now) {
    return planner.Plan(fold, LogOffset(0), now, 0.5).has_value();
  };
  CHECK_FALSE(plan(start));
  CHECK(plan(start + Milliseconds(2500)));
  CHECK_FALSE(plan(start + Milliseconds(2600)));
  log.Append(CheckpointRecord{fold.state()});
  log.Feed(fold);
  CHECK_FALSE(plan(start + Seconds(4)));
  CHECK_FALSE(plan(start + Seconds(103)));
  CHECK_FALSE(plan(start + Seconds(104)));
  CHECK(plan(start + Seconds(107)));
}

}  // namespace carobshift
