// Asks for the present load of a few endpoints before work is placed, and tells
// the keepers of their tallies (load_tally.h) what this instance has running.
//
//   LoadScout scout(loop, identity, datagrams, book);
//   scout.OnTick();
//   if (scout.active())
//     scout.Ask(endpoints, [](const auto& told) { PlaceAmong(told); });
//
// What can go wrong: the keeper is dead, suspended or slow, or a datagram is
// lost. The work is placed after kLongestWait among those that were told of
// until then; the time is felt by nobody. An endpoint that nobody tells of is
// left out, since it would seem to have no work.

#ifndef CAROBSHIFT_GATEWAY_LOAD_SCOUT_H_
#define CAROBSHIFT_GATEWAY_LOAD_SCOUT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "carobshift/gateway/load_book.h"
#include "carobshift/gateway/load_tally.h"
#include "carobshift/gateway/peer_datagrams.h"
#include "carobshift/net/event_loop.h"

namespace carobshift {

// Who this instance is among the others.
struct ScoutIdentity {
  Incarnation self;
  // The instances that live.
  std::function<std::vector<MemberInfo>()> live;
};

class LoadScout {
 public:
  // Up to as many instances report to each other often enough.
  static constexpr std::size_t kMostReporters = 12;
  // A round trip between zones takes some milliseconds, and an instance with an
  // eighth of a processor answers within as many again.
  static constexpr Milliseconds kLongestWait{15};

  LoadScout(EventLoop& loop,
            ScoutIdentity identity,
            PeerDatagrams& datagrams,
            LoadBook& book);
  ~LoadScout();
  LoadScout(const LoadScout&) = delete;
  LoadScout& operator=(const LoadScout&) = delete;

  // About every kTick.
  void OnTick();
  // Whether so many instances live that asking is worth it.
  [[nodiscard]] bool active() const { return members_.size() > kMostReporters; }
  // Gets the endpoints that keepers have told of, in the order of the question.
  using Done = std::function<void(const std::vector<EndpointId>& told)>;

  // Calls `done` when all keepers have answered, or after kLongestWait; at once
  // if there is nobody to ask. What they tell is in the book by then.
  void Ask(const std::vector<EndpointId>& endpoints, Done done);

 private:
  struct Question {
    std::vector<EndpointId> endpoints;
    // Hashes of those that have not been answered.
    std::set<std::uint64_t> open;
    Done done;
    TimerId timer;
  };

  void OnChanged(const EndpointId& endpoint);
  void SendUpdate(std::uint64_t endpoint, const EndpointLoad& load);
  void RepeatUpdates();
  void OnUpdate(std::string_view payload);
  void OnQuestion(std::string_view payload);
  void OnAnswer(std::string_view payload);
  void Finish(std::uint64_t number);

  EventLoop& loop_;
  ScoutIdentity identity_;
  PeerDatagrams& datagrams_;
  LoadBook& book_;
  LoadTally tally_;
  std::vector<MemberInfo> members_;
  std::uint64_t sequence_ = 0;
  std::uint64_t last_question_ = 0;
  std::map<std::uint64_t, Question> questions_;
  MonotonicTime next_repeat_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_LOAD_SCOUT_H_
