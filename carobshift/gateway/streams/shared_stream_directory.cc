#include "carobshift/gateway/streams/shared_stream_directory.h"

#include <algorithm>
#include <string>
#include <utility>

#include "carobshift/gateway/streams/stream_owners.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

constexpr Milliseconds kExpiryInterval{1000};

}  // namespace

SharedStreamDirectory::SharedStreamDirectory(EventLoop& loop,
                                             LocalInstance instance,
                                             PeerDatagrams& datagrams,
                                             Metrics& metrics)
    : loop_(loop),
      instance_(std::move(instance)),
      datagrams_(datagrams),
      metrics_(metrics) {
  datagrams_.SetHandler(PeerDatagramKind::kStreamRecords,
                        [this](std::string_view bytes) { OnRecords(bytes); });
  datagrams_.SetHandler(PeerDatagramKind::kStreamQuery,
                        [this](std::string_view bytes) { OnQuery(bytes); });
  datagrams_.SetHandler(PeerDatagramKind::kStreamAnswer,
                        [this](std::string_view bytes) { OnAnswer(bytes); });
}

SharedStreamDirectory::~SharedStreamDirectory() {
  for (const auto& [number, lookup] : lookups_)
    loop_.CancelTimer(lookup.timer);
}

void SharedStreamDirectory::OnTick() {
  members_ = instance_.live();
  if (loop_.now() < next_expiry_)
    return;
  next_expiry_ = loop_.now() + kExpiryInterval;
  table_.Expire(loop_.now());
}

std::vector<MemberInfo> SharedStreamDirectory::Others() const {
  std::vector<MemberInfo> others = members_;
  std::erase_if(others, [this](const MemberInfo& member) {
    return member.incarnation == instance_.self;
  });
  return others;
}

const MemberInfo* SharedStreamDirectory::FindMember(
    Incarnation incarnation) const {
  const auto found = std::find_if(members_.begin(), members_.end(),
                                  [incarnation](const MemberInfo& member) {
                                    return member.incarnation == incarnation;
                                  });
  return found == members_.end() ? nullptr : &*found;
}

void SharedStreamDirectory::Publish(const StreamRecord& record) {
  table_.Put(record, loop_.now());
  const std::string payload = EncodeStreamRecords({record});
  for (const MemberInfo& owner :
       StreamOwners(record.key, Others(), kStreamOwners)) {
    datagrams_.SendTo(owner.peer_address(), PeerDatagramKind::kStreamRecords,
                      payload);
  }
}

void SharedStreamDirectory::SendAll(const NetAddress& address,
                                    const std::vector<StreamRecord>& records) {
  for (std::size_t i = 0; i < records.size(); i += kMaxRecordsPerDatagram) {
    const auto first = records.begin() + static_cast<std::ptrdiff_t>(i);
    const auto count = std::min(kMaxRecordsPerDatagram, records.size() - i);
    datagrams_.SendTo(address, PeerDatagramKind::kStreamRecords,
                      EncodeStreamRecords(
                          {first, first + static_cast<std::ptrdiff_t>(count)}));
  }
}

void SharedStreamDirectory::HandOver() {
  members_ = instance_.live();
  const std::vector<MemberInfo> others = Others();
  const std::vector<StreamRecord> records = table_.All(loop_.now());
  std::map<NetAddress, std::vector<StreamRecord>> by_owner;
  for (const StreamRecord& record : records) {
    for (const MemberInfo& owner :
         StreamOwners(record.key, others, kStreamOwners))
      by_owner[owner.peer_address()].push_back(record);
  }
  for (const auto& [address, records_of_owner] : by_owner)
    SendAll(address, records_of_owner);
  LogEvent(LogLevel::kInfo, "stream_records_handed_over",
           {{"records", records.size()}, {"instances", others.size()}});
}

void SharedStreamDirectory::OnRecords(std::string_view payload) {
  const auto records = DecodeStreamRecords(payload);
  if (!records.ok()) {
    LogEvent(LogLevel::kWarning, "stream_records_unreadable",
             {{"reason", records.error().message}});
    return;
  }
  for (const StreamRecord& record : records.value())
    table_.Put(record, loop_.now());
}

void SharedStreamDirectory::Find(StreamKey key,
                                 const SoleVersionQuestion& question,
                                 Done done) {
  const StreamEvidence known = table_.Find(key, loop_.now());
  if (known.beginning() || known.contradictory()) {
    Report(done, {known.beginning(), StreamSource::kOwnTable});
    return;
  }
  StartLookup(key, question,
              [this, done = std::move(done)](const StreamLookup& lookup) {
                Report(done, lookup);
              });
}

void SharedStreamDirectory::FindSoleVersion(const SoleVersionQuestion& question,
                                            SoleVersionDone done) {
  StartLookup(NextUnusedKey(), question,
              [this, done = std::move(done)](const StreamLookup& lookup) {
                done(lookup.sole_version, loop_.now());
              });
}

StreamKey SharedStreamDirectory::NextUnusedKey() const {
  return StreamKeyOf(std::nullopt,
                     RequestId(std::to_string(instance_.self.value()) + '/' +
                               std::to_string(last_number_)));
}

void SharedStreamDirectory::StartLookup(StreamKey key,
                                        const SoleVersionQuestion& question,
                                        Done done) {
  const bool alone = Others().empty() && instance_.stopping().empty();
  if (lookups_.size() >= kMaxLookups || (alone && !IsJoining())) {
    done({});
    return;
  }
  const std::uint64_t number = ++last_number_;
  Lookup& lookup = lookups_[number];
  lookup.key = key;
  lookup.question = question;
  lookup.done = std::move(done);
  AskOwners(number, lookup);
}

void SharedStreamDirectory::SetRoundTimer(std::uint64_t number,
                                          Lookup& lookup,
                                          Milliseconds time) {
  loop_.CancelTimer(lookup.timer);
  lookup.timer = loop_.AddTimer(loop_.now() + time,
                                [this, number] { OnRoundOver(number); });
}

void SharedStreamDirectory::AskOwners(std::uint64_t number, Lookup& lookup) {
  lookup.asked_further = false;
  SetRoundTimer(number, lookup, kOwnerTime);
  Ask(number, lookup, StreamOwners(lookup.key, Others(), kStreamOwners));
}

void SharedStreamDirectory::AskFurther(std::uint64_t number, Lookup& lookup) {
  lookup.asked_further = true;
  SetRoundTimer(number, lookup, kFurtherTime);
  Ask(number, lookup, FurtherInstances(lookup.key));
}

std::vector<MemberInfo> SharedStreamDirectory::FurtherInstances(
    StreamKey key) const {
  std::vector<MemberInfo> further =
      StreamOwners(key, Others(), kStreamOwners + kFurtherInstances);
  further.erase(further.begin(),
                further.begin() + static_cast<std::ptrdiff_t>(
                                      std::min(kStreamOwners, further.size())));
  const std::vector<MemberInfo> stopping = instance_.stopping();
  further.insert(further.end(), stopping.begin(), stopping.end());
  return further;
}

void SharedStreamDirectory::Ask(std::uint64_t number,
                                Lookup& lookup,
                                const std::vector<MemberInfo>& instances) {
  const std::string query =
      EncodeStreamQuery({instance_.self, number, lookup.key, lookup.question});
  for (const MemberInfo& instance : instances) {
    lookup.unanswered.insert(instance.incarnation);
    datagrams_.SendTo(instance.peer_address(), PeerDatagramKind::kStreamQuery,
                      query);
  }
}

void SharedStreamDirectory::OnRoundOver(std::uint64_t number) {
  const auto found = lookups_.find(number);
  if (found == lookups_.end())
    return;
  Lookup& lookup = found->second;
  if (IsSettled(lookup)) {
    Finish(number);
    return;
  }
  if (!lookup.asked_further) {
    AskFurther(number, lookup);
    // A joining instance lets the time pass before it asks again.
    if (lookup.unanswered.empty() && !IsJoining())
      Finish(number);
    return;
  }
  if (IsJoining())
    AskOwners(number, lookup);
  else
    Finish(number);
}

void SharedStreamDirectory::Finish(std::uint64_t number) {
  const auto found = lookups_.find(number);
  const Lookup lookup = std::move(found->second);
  lookups_.erase(found);
  loop_.CancelTimer(lookup.timer);
  StreamLookup result;
  result.beginning = lookup.evidence.beginning();
  if (result.beginning)
    result.source = StreamSource::kPeer;
  if (lookup.sole_versions.size() == 1)
    result.sole_version = *lookup.sole_versions.begin();
  lookup.done(result);
}

void SharedStreamDirectory::Report(const Done& done,
                                   const StreamLookup& lookup) {
  metrics_.Add("carobshift_stream_lookups_total",
               {{"source", StreamSourceName(lookup.source)}}, 1);
  done(lookup);
}

void SharedStreamDirectory::OnQuery(std::string_view payload) {
  const Result<StreamQuery> decoded = DecodeStreamQuery(payload);
  if (!decoded.ok())
    return;
  const StreamQuery& query = decoded.value();
  const MemberInfo* const requester = FindMember(query.requester);
  if (requester == nullptr)
    return;
  StreamAnswer answer{instance_.self, query.number,
                      table_.Find(query.key, loop_.now()), std::nullopt};
  if (sole_version_of_)
    answer.sole_version = sole_version_of_(query.question);
  datagrams_.SendTo(requester->peer_address(), PeerDatagramKind::kStreamAnswer,
                    EncodeStreamAnswer(answer));
}

void SharedStreamDirectory::OnAnswer(std::string_view payload) {
  const Result<StreamAnswer> answer = DecodeStreamAnswer(payload);
  if (!answer.ok())
    return;
  const std::uint64_t number = answer.value().number;
  const auto found = lookups_.find(number);
  if (found == lookups_.end() ||
      found->second.unanswered.erase(answer.value().from) == 0)
    return;
  found->second.evidence.Merge(answer.value().evidence);
  if (answer.value().sole_version)
    found->second.sole_versions.insert(*answer.value().sole_version);
  if (found->second.unanswered.empty() && !WaitsToAskAgain(found->second))
    OnRoundOver(number);
}

}  // namespace carobshift
