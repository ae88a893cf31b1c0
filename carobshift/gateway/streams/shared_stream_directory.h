// A StreamDirectory over all instances. The record of a stream is kept by the
// instance that began it and by its owners (stream_owners.h).
//
//   SharedStreamDirectory directory(loop, instance, datagrams, metrics);
//   directory.OnTick();
//   directory.HandOver();   // at a planned stop
//
// Load pattern: an instance is killed, and its callers take some hundred
// streams up at all others within a few milliseconds. Telling all instances of
// each stream would grow with the square of their number; asking them only when
// a stream is taken up would find nobody who knows it, as the instance that
// began it is gone. So each stream costs kStreamOwners datagrams, which leave
// before its first event does, and a lookup costs a question to each of the
// owners. Records aren't collected for a common datagram: those of one instance
// go to different owners, so that few would share one, and they would be late.
//
// Failures and how they are handled:
// - A record or an answer is lost. Each stream has kStreamOwners + 1 records.
// - Instances differ in their view of the members, or owners are gone. If no
//   owner knows the stream, the next kFurtherInstances in their order are
//   asked, and those that are being stopped as planned.
// - Owners are dead or slow. What is known after kOwnerTime and kFurtherTime
//   counts. Without any answer the stream is unknown, which is never taken for
//   "began anywhere".
// - This instance has just started and doesn't know the others yet, while
//   callers return to it whose streams broke as it was killed: for kJoinTime
//   after its start it asks again until it knows.
// - All instances that held a record are gone: unknown.
// - An instance stops as planned: its records go to the owners of an order
//   without it.
//
// Thread-compatible.

#ifndef CAROBSHIFT_GATEWAY_STREAMS_SHARED_STREAM_DIRECTORY_H_
#define CAROBSHIFT_GATEWAY_STREAMS_SHARED_STREAM_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "carobshift/gateway/instances/local_instance.h"
#include "carobshift/gateway/instances/peer_datagrams.h"
#include "carobshift/gateway/streams/stream_directory.h"
#include "carobshift/gateway/streams/stream_messages.h"
#include "carobshift/gateway/streams/stream_table.h"
#include "carobshift/net/event_loop.h"
#include "carobshift/telemetry/metrics.h"

namespace carobshift {

class SharedStreamDirectory : public StreamDirectory {
 public:
  // Keeps a datagram below the size at which networks fragment it.
  static constexpr std::size_t kMaxRecordsPerDatagram = 64;
  // A round trip between zones takes some milliseconds, and a busy instance
  // answers within as many again.
  static constexpr Milliseconds kOwnerTime{30};
  static constexpr Milliseconds kFurtherTime{70};
  static constexpr std::size_t kFurtherInstances = 9;
  // By then an instance that has started knows the others.
  static constexpr Milliseconds kJoinTime{1500};
  // Beyond this number of lookups at one time, a stream counts as unknown at
  // once.
  static constexpr std::size_t kMaxLookups = 1024;

  SharedStreamDirectory(EventLoop& loop,
                        LocalInstance instance,
                        PeerDatagrams& datagrams,
                        Metrics& metrics);
  ~SharedStreamDirectory() override;
  SharedStreamDirectory(const SharedStreamDirectory&) = delete;
  SharedStreamDirectory& operator=(const SharedStreamDirectory&) = delete;

  void Publish(const StreamRecord& record) override;
  void Find(StreamKey key,
            const SoleVersionQuestion& question,
            Done done) override;
  void FindSoleVersion(const SoleVersionQuestion& question,
                       SoleVersionDone done) override;
  // Sets what this instance can say of a service's only version.
  using SoleVersionSource =
      std::function<std::optional<SoftwareVersion>(const SoleVersionQuestion&)>;
  void SetSoleVersionSource(SoleVersionSource source) {
    sole_version_of_ = std::move(source);
  }

  // Call about every Membership::kTick.
  void OnTick();
  // Sends all records to the owners among the other live instances.
  void HandOver();
  [[nodiscard]] const StreamTable& table() const { return table_; }

 private:
  struct Lookup {
    StreamKey key;
    SoleVersionQuestion question;
    // Instances that were asked and have not answered.
    std::set<Incarnation> unanswered;
    StreamEvidence evidence;
    std::set<SoftwareVersion> sole_versions;
    // The instances after the owners have been asked too.
    bool asked_further = false;
    Done done;
    TimerId timer;
  };

  void SendAll(const NetAddress& address,
               const std::vector<StreamRecord>& records);
  // Asks others, if there are any. May call `done` at once.
  void StartLookup(StreamKey key,
                   const SoleVersionQuestion& question,
                   Done done);
  // Returns a key of no stream. Its owners are other instances each time.
  [[nodiscard]] StreamKey NextUnusedKey() const;
  // Counts the lookup and passes on its result.
  void Report(const Done& done, const StreamLookup& lookup);
  // Returns the live instances other than this one.
  [[nodiscard]] std::vector<MemberInfo> Others() const;
  // Returns the instances that are asked after the owners of `key`.
  [[nodiscard]] std::vector<MemberInfo> FurtherInstances(StreamKey key) const;
  void Ask(std::uint64_t number,
           Lookup& lookup,
           const std::vector<MemberInfo>& instances);
  // Begins a round: asks the owners, or the instances after them.
  void AskOwners(std::uint64_t number, Lookup& lookup);
  void AskFurther(std::uint64_t number, Lookup& lookup);
  // All that were asked have answered, or their time is over.
  void OnRoundOver(std::uint64_t number);
  void SetRoundTimer(std::uint64_t number, Lookup& lookup, Milliseconds time);
  // Whether all that were asked don't know, and the next round isn't due yet.
  [[nodiscard]] bool WaitsToAskAgain(const Lookup& lookup) const {
    return lookup.asked_further && !IsSettled(lookup) && IsJoining();
  }
  [[nodiscard]] static bool IsSettled(const Lookup& lookup) {
    return lookup.evidence.beginning() || lookup.evidence.contradictory() ||
           !lookup.sole_versions.empty();
  }
  // Whether another round may find what this one didn't.
  [[nodiscard]] bool IsJoining() const {
    return loop_.now() - started_ < kJoinTime;
  }
  void Finish(std::uint64_t number);
  void OnRecords(std::string_view payload);
  void OnQuery(std::string_view payload);
  void OnAnswer(std::string_view payload);
  [[nodiscard]] const MemberInfo* FindMember(Incarnation incarnation) const;

  EventLoop& loop_;
  const LocalInstance instance_;
  PeerDatagrams& datagrams_;
  Metrics& metrics_;
  SoleVersionSource sole_version_of_;
  StreamTable table_;
  // As of the last tick.
  std::vector<MemberInfo> members_;
  const MonotonicTime started_ = loop_.now();
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, Lookup> lookups_;
  MonotonicTime next_expiry_{};
};

}  // namespace carobshift

#endif  // CAROBSHIFT_GATEWAY_STREAMS_SHARED_STREAM_DIRECTORY_H_
