#include "carobshift/admission/entry_share.h"

#include <catch2/catch.hpp>
#include <string>

namespace carobshift {
namespace {

const EndpointId kEndpoint("engine-0");
const MonotonicTime kStart{Seconds(1000)};
constexpr Milliseconds kTarget{590};

TEST_CASE("the limit follows the wait inside the endpoint") {
  ConcurrencyLimit limit({.initial = 16}, kTarget);
  MonotonicTime now = kStart;
  for (int i = 0; i < 40; ++i) {
    now += Milliseconds(50);
    limit.OnFirstToken(Milliseconds(900), Milliseconds(100), 16, now);
  }
  const double after_waits = limit.limit();
  CHECK(after_waits < 10);
  for (int i = 0; i < 40; ++i) {
    now += Milliseconds(50);
    limit.OnFirstToken(Milliseconds(150), Milliseconds(100), limit.limit(),
                       now);
  }
  CHECK(limit.limit() > after_waits + 4);
}

TEST_CASE("an unused limit doesn't grow") {
  ConcurrencyLimit limit({.initial = 16}, kTarget);
  MonotonicTime now = kStart;
  for (int i = 0; i < 100; ++i) {
    now += Milliseconds(50);
    limit.OnFirstToken(Milliseconds(110), Milliseconds(100), 3, now);
  }
  CHECK(limit.limit() == Approx(16));
}

constexpr int kEndpoints = 4;

EndpointId Endpoint(int number) {
  return EndpointId("engine-" + std::to_string(number));
}

EntryShare ShareOf(int entries) {
  EntryShare share({.initial = 21}, kTarget);
  std::vector<EndpointId> ids;
  for (int i = 0; i < kEndpoints; ++i)
    ids.push_back(Endpoint(i));
  share.SetEndpoints(ids);
  share.SetEntries(entries);
  return share;
}

int Own(const EntryShare& share) {
  int own = 0;
  for (int i = 0; i < kEndpoints; ++i)
    own += share.OwnInProgress(Endpoint(i));
  return own;
}

// Dispatches as many requests as the allowance permits, in rotation over the
// endpoints.
void Fill(EntryShare* share) {
  while (Own(*share) + 1 <= share->Allowance())
    share->OnDispatch(Endpoint(Own(*share) % kEndpoints));
}

// Each endpoint reports the requests that all entries have in progress there.
void Report(std::vector<EntryShare>* entries) {
  for (int i = 0; i < kEndpoints; ++i) {
    int total = 0;
    for (const EntryShare& entry : *entries)
      total += entry.OwnInProgress(Endpoint(i));
    for (EntryShare& entry : *entries)
      entry.OnReport(Endpoint(i), total);
  }
}

TEST_CASE("entries that see the same free slots don't fill them twice") {
  std::vector<EntryShare> entries(7, ShareOf(7));
  Report(&entries);
  int total = 0;
  for (EntryShare& entry : entries) {
    Fill(&entry);
    total += Own(entry);
  }
  CHECK(total == kEndpoints * 21);
}

TEST_CASE("one busy entry takes what the idle ones leave, and gives it back") {
  std::vector<EntryShare> entries(7, ShareOf(7));
  EntryShare& busy = entries.front();
  for (int report = 0; report < 16; ++report) {
    Report(&entries);
    Fill(&busy);
  }
  // Nine tenths, less the loss from rounding down to whole requests.
  CHECK(Own(busy) >= 0.9 * kEndpoints * 21 - 2);

  // When the other entries become busy, each has its floor at once, and the
  // first reduces its requests in proportion.
  for (std::size_t i = 1; i < entries.size(); ++i) {
    Fill(&entries[i]);
    CHECK(Own(entries[i]) >= kEndpoints * 21 / 7);
  }
  const double before = busy.Allowance();
  Report(&entries);
  CHECK(busy.Allowance() < 0.65 * before);
}

TEST_CASE("a leaving endpoint counts for nothing, but its work is known") {
  EntryShare share = ShareOf(1);
  share.OnDispatch(kEndpoint);
  share.SetEndpoints({});
  CHECK(share.Allowance() == 0);
  CHECK(share.OwnInProgress(kEndpoint) == 1);
  share.OnEnd(kEndpoint, false, kStart);
  CHECK(share.LimitOf(kEndpoint) == 0);
}

}  // namespace
}  // namespace carobshift
