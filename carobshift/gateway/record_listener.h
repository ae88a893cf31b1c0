// Keeps an instance that doesn't read the endpoints' stream of the log itself
// up to date by asking one that does, and answers those that ask this one.
//
//   RecordListener listener(loop, client, identity, operators, endpoints);
//   listener.OnTick();
//   if (const auto answer = listener.Answer(question)) Send(*answer);
//
// The operator's stream is read by each instance, in reads that wait long: it
// changes seldom, and a configuration may be larger than a reader's link can
// carry to all of its zone in time. A reader's answer tells how far it has
// read, so that an instance whose own read hangs notices, and brings what is
// small.
//
// What can go wrong, and what is done:
// - The reader dies, hangs, or the log turns it away. Its answers stop or tell
//   an old time; the next question goes to another reader.
// - No reader knows anything new enough. This instance reads the log itself,
//   from where the last answer ended, until an answer is new again. One would
//   otherwise notice requests sent to endpoints that have left.
// - A reader is behind another one that was asked before. Offsets are the
//   log's own, so what it tells is known already, and nothing is lost.
// - Somebody else answers. Answers carry a code that only an instance of this
//   deployment can make.

#ifndef CAROBSHIFT_GATEWAY_RECORD_LISTENER_H_
#define CAROBSHIFT_GATEWAY_RECORD_LISTENER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/gateway/keyed_follower.h"
#include "carobshift/gateway/query_service.h"
#include "carobshift/membership/member.h"
#include "carobshift/net/http_fetch.h"

namespace carobshift {

// Who this instance is among the others.
struct ListenerIdentity {
  MemberInfo self;
  // The instances that live.
  std::function<std::vector<MemberInfo>()> live;
  // Shared by the instances of a deployment.
  std::string secret;
};

class RecordListener {
 public:
  // Between two questions. With a reader's own pace a change is known within a
  // second, half of the time in which it must be.
  static constexpr Milliseconds kAskEvery{400};
  // Longest time since the log answered whoever was asked; beyond it this
  // instance reads for itself. A reader's reads end within half of it.
  static constexpr Milliseconds kTrust{1200};
  // Larger records aren't told in answers; whoever lacks one reads the log.
  static constexpr std::size_t kLargestTold = std::size_t{8} << 10;
  // How long a reader's read waits at the log for a record: short, since its
  // answer is what those that ask go by.
  static constexpr Milliseconds kReaderWait{400};
  // After another reader was turned to, before the nearest is asked again.
  static constexpr Milliseconds kStayAway{5000};

  RecordListener(EventLoop& loop,
                 HttpClient& client,
                 ListenerIdentity identity,
                 KeyedFollower& operators,
                 KeyedFollower& endpoints);

  // About every kTick.
  void OnTick();
  // Nothing if the question isn't one for changes.
  [[nodiscard]] std::optional<QueryAnswer> Answer(
      const HttpHead& question) const;

  // Whether another instance is asked.
  [[nodiscard]] bool listens() const { return listens_; }

 private:
  void TakeRole(const std::vector<MemberInfo>& readers);
  void Ask(const MemberInfo& reader);
  void OnAnswer(const MemberInfo& reader, const FetchOutcome& outcome);
  // The next question goes to another reader.
  void TurnAway(const MemberInfo& reader,
                const FetchOutcome& outcome,
                std::string_view reason);
  [[nodiscard]] bool IsFresh(const KeyedFollower& follower) const;
  // A reader has told of operator's records that aren't known here yet.
  [[nodiscard]] bool IsBehind() const { return told_end_ > operators_.next(); }
  // The path of the question, which only who knows the secret can write.
  [[nodiscard]] std::string Path() const;

  EventLoop& loop_;
  HttpClient& client_;
  ListenerIdentity identity_;
  KeyedFollower& operators_;
  KeyedFollower& endpoints_;
  HttpFetch fetch_;
  bool listens_ = false;
  MonotonicTime next_{};
  // How far any reader has read the operator's stream.
  LogOffset told_end_;
  // How many readers were turned away from, and when last.
  std::size_t turn_ = 0;
  std::size_t readers_ = 0;
  MonotonicTime turned_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_RECORD_LISTENER_H_
