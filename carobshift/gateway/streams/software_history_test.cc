#include "carobshift/gateway/streams/software_history.h"

#include <catch2/catch.hpp>
#include <string>

namespace carobshift {
namespace {

const MonotonicTime kStart{Seconds(100)};
const ServiceName kService("llm");
constexpr Milliseconds kSpan{30'000};

EndpointRecord RecordOf(const std::string& software) {
  EndpointRecord record;
  record.id = EndpointId("e");
  record.service = kService;
  record.software = SoftwareVersion(software);
  return record;
}

struct Fixture {
  Fixture() {
    history.FollowFrom(kStart);
    history.OnListed(RecordOf("v1"), kStart);
  }
  [[nodiscard]] std::optional<SoftwareVersion> Sole(
      Milliseconds after_start) const {
    return history.SoleVersion(kService, kSpan, kStart + after_start);
  }
  SoftwareHistory history;
};

// Guards against "only one version" said by an instance that has just started,
// when a rollout may have ended shortly before.
TEST_CASE("one version counts as the only one after it was for long enough") {
  Fixture fixture;
  CHECK_FALSE(fixture.Sole(kSpan - Milliseconds(1)).has_value());
  CHECK(fixture.Sole(kSpan) == SoftwareVersion("v1"));
  CHECK_FALSE(
      fixture.history.SoleVersion(ServiceName("other"), kSpan, kStart + kSpan));
  CHECK_FALSE(fixture.history.SoleVersion(
      kService, SoftwareHistory::kKeepTime + Seconds(1),
      kStart + 2 * SoftwareHistory::kKeepTime));
}

// Guards against a stream of the old version that goes on at the new one as
// soon as the old one is gone.
TEST_CASE("a version that is gone counts for as long as its streams") {
  Fixture fixture;
  const MonotonicTime rollout = kStart + kSpan;
  fixture.history.OnListed(RecordOf("v2"), rollout);
  CHECK_FALSE(fixture.Sole(kSpan).has_value());
  fixture.history.OnUnlisted(RecordOf("v1"), rollout + Seconds(5));
  CHECK_FALSE(fixture.Sole(kSpan + Seconds(5) + kSpan - Milliseconds(1)));
  CHECK(fixture.Sole(kSpan + Seconds(5) + kSpan) == SoftwareVersion("v2"));
}

// Guards against "only one version" said while streams of a rollout that was
// rolled back are still under way.
TEST_CASE("a version that was rolled back counts for as long as its streams") {
  Fixture fixture;
  const MonotonicTime rollout = kStart + kSpan;
  fixture.history.OnListed(RecordOf("v2"), rollout);
  fixture.history.OnUnlisted(RecordOf("v1"), rollout + Seconds(2));
  fixture.history.OnListed(RecordOf("v1"), rollout + Seconds(4));
  fixture.history.OnUnlisted(RecordOf("v2"), rollout + Seconds(6));
  CHECK_FALSE(fixture.Sole(kSpan + Seconds(6) + kSpan - Milliseconds(1)));
  CHECK(fixture.Sole(kSpan + Seconds(6) + kSpan) == SoftwareVersion("v1"));
}

// Guards against "only one version" that is taken over from another instance
// although this one has read a different version, or has missed records.
TEST_CASE("what another instance says counts only without a gap") {
  Fixture fixture;
  SoftwareHistory& history = fixture.history;
  const MonotonicTime asked = kStart + SoftwareHistory::kMaxRecordAge;
  const auto learn = [&](const std::string& software, MonotonicTime time) {
    return history.OnLearned({kService, SoftwareVersion(software), kSpan, time},
                             time);
  };
  SECTION("it reaches back before the first record seen here") {
    CHECK_FALSE(history.MayLearn(kService, kSpan, asked - Milliseconds(1)));
    REQUIRE(history.MayLearn(kService, kSpan, asked));
    CHECK(learn("v1", asked));
    CHECK(history.SoleVersion(kService, kSpan, asked) == SoftwareVersion("v1"));
    CHECK_FALSE(history.SoleVersion(kService, kSpan + Milliseconds(1), asked));
    CHECK_FALSE(history.MayLearn(kService, kSpan, asked));
    // Other services are no better known.
    CHECK(history.MayLearn(ServiceName("other"), kSpan, asked));
    history.FollowFrom(asked);
    CHECK_FALSE(history.SoleVersion(kService, kSpan, asked + Seconds(5)));
  }
  SECTION("a question before the records were followed for long enough") {
    CHECK_FALSE(learn("v1", asked - Milliseconds(1)));
    CHECK_FALSE(history.SoleVersion(kService, kSpan, asked));
  }
  SECTION("another version than the one seen here") {
    learn("v2", asked);
    CHECK_FALSE(history.SoleVersion(kService, kSpan, asked));
  }
}

// Guards against a version that came and went while records were lost.
TEST_CASE("after a gap in the records the time counts anew") {
  Fixture fixture;
  fixture.history.FollowFrom(kStart + kSpan);
  CHECK_FALSE(fixture.Sole(kSpan + Seconds(1)).has_value());
  CHECK(fixture.Sole(2 * kSpan) == SoftwareVersion("v1"));
}

}  // namespace
}  // namespace carobshift
