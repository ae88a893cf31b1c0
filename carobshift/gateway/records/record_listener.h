// RecordListener keeps an instance up to date that does not read the endpoints'
// stream of the log itself. It queries an instance that does (a reader), and
// answers the queries of other instances.
//
//   RecordListener listener(loop, client, identity, operators, endpoints);
//   listener.OnTick();
//   if (const auto answer = listener.Answer(query)) Send(*answer);
//
// Every instance reads the operator's stream itself, by long-poll reads: the
// stream changes rarely, and a configuration may be too large for a reader's
// link to deliver to its whole availability zone in time. A reader's answer
// includes small records and states how far the reader has read, so that an
// instance detects when its own read hangs.
//
// Failures and how they are handled:
// - The reader dies, hangs, or is refused by the log. Its answers stop or
//   report an old time, and the next query goes to another reader.
// - No reader has current data. This instance reads the log itself, from the
//   end of the last answer, until an answer is current again. Otherwise
//   requests would be sent to endpoints that have left.
// - A reader is behind one that was queried before. Offsets are the log's own,
//   so its records are already known and nothing is lost.
// - A reader has read its snapshot after this instance's last answer, as it
//   started or as the log had dropped records, or this instance was frozen for
//   long. The reader doesn't know what was removed in between, and an endpoint
//   that has left would be kept; it declines to answer.
// - An unauthorized process answers. Answers carry an authentication code that
//   only an instance of this deployment can produce.

#ifndef CAROBSHIFT_GATEWAY_RECORDS_RECORD_LISTENER_H_
#define CAROBSHIFT_GATEWAY_RECORDS_RECORD_LISTENER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/gateway/query_service.h"
#include "carobshift/gateway/records/keyed_follower.h"
#include "carobshift/gateway/records/peer_state_codec.h"
#include "carobshift/membership/member.h"
#include "carobshift/net/http_fetch.h"

namespace carobshift {

// This instance's identity among the members.
struct ListenerIdentity {
  MemberInfo self;
  // Returns the live instances.
  std::function<std::vector<MemberInfo>()> live;
  // Secret shared by the instances of a deployment.
  std::string secret;
};

class RecordListener {
 public:
  // Interval between two queries. Together with a reader's own poll interval a
  // change is known within a second, half of the time in which it must be.
  static constexpr Milliseconds kQueryInterval{400};
  // Maximum time since the log answered the reader. Beyond it this instance
  // reads the log itself. A reader's reads end within half of it.
  static constexpr Milliseconds kMaxAnswerAge{1200};
  // Larger records are omitted from answers; an instance that lacks one reads
  // the log.
  static constexpr std::size_t kMaxRecordBytes = std::size_t{8} << 10;
  // How long a reader's read waits at the log for a record. Short, since
  // listeners judge the reader by the age of its answer.
  static constexpr Milliseconds kReaderPollWait{400};
  // After a switch to another reader, the nearest one is queried again after
  // this time.
  static constexpr Milliseconds kPreferredReaderRetry{5000};

  RecordListener(EventLoop& loop,
                 HttpClient& client,
                 ListenerIdentity identity,
                 KeyedFollower& operators,
                 KeyedFollower& endpoints);

  // Call about every kTick.
  void OnTick();
  // Answers a query for changes; returns nullopt for any other query.
  [[nodiscard]] std::optional<QueryAnswer> Answer(const HttpHead& query) const;

  // Returns whether this instance queries a reader.
  [[nodiscard]] bool is_listener() const { return is_listener_; }

 private:
  void UpdateRole(const std::vector<MemberInfo>& readers);
  void QueryReader(const MemberInfo& reader);
  void OnAnswer(const MemberInfo& reader, const FetchOutcome& outcome);
  void ApplyChanges(KeyedFollower& follower, const StreamChanges& changes);
  // Sends the next query to another reader.
  void SwitchReader(const MemberInfo& reader,
                    const FetchOutcome& outcome,
                    std::string_view reason);
  [[nodiscard]] bool IsFresh(const KeyedFollower& follower) const;
  // Returns whether a reader has reported operator records that are not known
  // here yet.
  [[nodiscard]] bool IsBehind() const {
    return reader_end_ > operators_.next();
  }
  // Path of the query. It contains an HMAC, so only holders of the secret can
  // produce it.
  [[nodiscard]] std::string Path() const;

  EventLoop& loop_;
  HttpClient& client_;
  ListenerIdentity identity_;
  KeyedFollower& operators_;
  KeyedFollower& endpoints_;
  HttpFetch fetch_;
  bool is_listener_ = false;
  MonotonicTime next_query_time_{};
  MonotonicTime query_sent_at_{};
  // How far any reader has read the operator's stream.
  LogOffset reader_end_;
  // Number of switches between readers, and the time of the last one.
  std::size_t switches_ = 0;
  std::size_t reader_count_ = 0;
  MonotonicTime last_switch_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_RECORDS_RECORD_LISTENER_H_
