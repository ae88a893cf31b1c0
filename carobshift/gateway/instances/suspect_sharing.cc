#include "carobshift/gateway/instances/suspect_sharing.h"

#include <algorithm>
#include <cstdint>
#include <limits>

#include "carobshift/base/digest.h"
#include "carobshift/gateway/instances/datagram_archive.h"
#include "carobshift/gateway/streams/stream_owners.h"
#include "carobshift/telemetry/event_log.h"

namespace carobshift {
namespace {

std::uint32_t AgeOf(MonotonicTime time, MonotonicTime now) {
  const auto age = std::chrono::duration_cast<Milliseconds>(now - time).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      age, 0, std::numeric_limits<std::uint32_t>::max()));
}

MonotonicTime ReadTime(DatagramInput& archive, MonotonicTime now) {
  std::uint32_t age = 0;
  archive(age);
  return now - Milliseconds(age);
}

PartDigest ReadPart(DatagramInput& archive) {
  std::uint64_t part = 0;
  archive(part);
  return PartDigest(part);
}

PartVerdict ReadVerdict(DatagramInput& archive, MonotonicTime now) {
  PartVerdict verdict;
  std::uint8_t probes = 0;
  verdict.part = ReadPart(archive);
  archive(verdict.refused, verdict.confirmed, probes);
  verdict.probes = probes;
  verdict.first_crash = ReadTime(archive, now);
  verdict.refused_at = ReadTime(archive, now);
  verdict.sent = ReadTime(archive, now);
  return verdict;
}

void LogVerdict(const PartVerdict& verdict, std::string_view by) {
  if (!verdict.refused) {
    LogEvent(LogLevel::kInfo, "prompt_part_cleared",
             {{"part", verdict.part.value()}, {"by", by}});
    return;
  }
  LogEvent(LogLevel::kWarning, "prompt_part_refused",
           {{"part", verdict.part.value()},
            {"by", by},
            {"confirmed", verdict.confirmed},
            {"probes", verdict.probes}});
}

// Calls `send` with consecutive pieces of `all`, of at most `size`.
template <typename One, typename Send>
void ForEachPiece(const std::vector<One>& all,
                  std::size_t size,
                  const Send& send) {
  for (auto begin = all.begin(); begin != all.end();) {
    const auto left = static_cast<std::size_t>(all.end() - begin);
    const auto end = begin + static_cast<std::ptrdiff_t>(std::min(size, left));
    send(std::vector<One>(begin, end));
    begin = end;
  }
}

}  // namespace

std::string EncodePartCrash(const PartCrash& crash, MonotonicTime now) {
  return WriteDatagram([&](DatagramOutput& archive) {
    archive(crash.endpoint.value(), AgeOf(crash.at, now),
            static_cast<std::uint16_t>(crash.runs.size()));
    for (const PartRun& run : crash.runs)
      archive(run.part.value(), AgeOf(run.sent, now));
  });
}

Result<PartCrash> DecodePartCrash(std::string_view payload, MonotonicTime now) {
  return ReadDatagram<PartCrash>(
      payload, [now](DatagramInput& archive, PartCrash& crash) {
        std::uint64_t endpoint = 0;
        std::uint16_t count = 0;
        archive(endpoint);
        crash.endpoint = IncarnationDigest(endpoint);
        crash.at = ReadTime(archive, now);
        archive(count);
        for (std::uint16_t i = 0; i < count; ++i) {
          PartRun run;
          run.part = ReadPart(archive);
          run.sent = ReadTime(archive, now);
          crash.runs.push_back(run);
        }
      });
}

std::string EncodePartVerdicts(const std::vector<PartVerdict>& verdicts,
                               MonotonicTime now) {
  return WriteDatagram([&](DatagramOutput& archive) {
    archive(static_cast<std::uint16_t>(verdicts.size()));
    for (const PartVerdict& verdict : verdicts) {
      archive(verdict.part.value(), verdict.refused, verdict.confirmed,
              static_cast<std::uint8_t>(verdict.probes),
              AgeOf(verdict.first_crash, now), AgeOf(verdict.refused_at, now),
              AgeOf(verdict.sent, now));
    }
  });
}

Result<std::vector<PartVerdict>> DecodePartVerdicts(std::string_view payload,
                                                    MonotonicTime now) {
  return ReadDatagram<std::vector<PartVerdict>>(
      payload,
      [now](DatagramInput& archive, std::vector<PartVerdict>& verdicts) {
        std::uint16_t count = 0;
        archive(count);
        for (std::uint16_t i = 0; i < count; ++i)
          verdicts.push_back(ReadVerdict(archive, now));
      });
}

SuspectSharing::SuspectSharing(EventLoop& loop,
                               const Cluster& cluster,
                               PeerDatagrams& datagrams,
                               PartSuspects& suspects)
    : loop_(loop),
      cluster_(cluster),
      datagrams_(datagrams),
      suspects_(suspects) {
  suspects_.SetOwnerRank([this](PartDigest part) { return OwnerRank(part); });
  datagrams_.SetHandler(
      PeerDatagramKind::kPartCrash,
      [this](std::string_view payload) { OnCrashDatagram(payload); });
  datagrams_.SetHandler(
      PeerDatagramKind::kPartVerdict,
      [this](std::string_view payload) { OnVerdictDatagram(payload); });
}

std::size_t SuspectSharing::OwnerRank(PartDigest part) const {
  const std::vector<MemberInfo> owners = StreamOwners(
      StreamKey(part.value()), cluster_.Live(), PartSuspects::kOwners);
  const auto self =
      std::find_if(owners.begin(), owners.end(), [this](const auto& owner) {
        return owner.id == cluster_.membership().self().id;
      });
  return static_cast<std::size_t>(self - owners.begin());
}

void SuspectSharing::OnCrash(const PartCrash& crash) {
  ForEachPiece(crash.runs, kMaxRunsPerDatagram, [&](std::vector<PartRun> runs) {
    const PartCrash piece{crash.endpoint, crash.at, std::move(runs)};
    datagrams_.SendToOthers(PeerDatagramKind::kPartCrash,
                            {EncodePartCrash(piece, loop_.now())});
  });
}

void SuspectSharing::Publish() {
  const std::vector<PartVerdict> verdicts = suspects_.TakeVerdicts();
  for (const PartVerdict& verdict : verdicts)
    LogVerdict(verdict, "self");
  Send(verdicts);
}

void SuspectSharing::Send(const std::vector<PartVerdict>& verdicts) {
  ForEachPiece(verdicts, kMaxVerdictsPerDatagram,
               [&](const std::vector<PartVerdict>& piece) {
                 datagrams_.SendToOthers(
                     PeerDatagramKind::kPartVerdict,
                     {EncodePartVerdicts(piece, loop_.now())});
               });
}

void SuspectSharing::OnTick() {
  Publish();
  if (suspects_.refuses_none() || loop_.now() < next_repeat_)
    return;
  next_repeat_ = loop_.now() + kRepeatInterval;
  Send(suspects_.OwnVerdicts());
}

void SuspectSharing::OnCrashDatagram(std::string_view payload) {
  const Result<PartCrash> crash = DecodePartCrash(payload, loop_.now());
  if (!crash.ok()) {
    LogEvent(LogLevel::kWarning, "part_crash_unreadable",
             {{"reason", crash.error().message}});
    return;
  }
  suspects_.OnCrash(crash.value(), loop_.now());
  Publish();
}

void SuspectSharing::OnVerdictDatagram(std::string_view payload) {
  const auto verdicts = DecodePartVerdicts(payload, loop_.now());
  if (!verdicts.ok()) {
    LogEvent(LogLevel::kWarning, "part_verdict_unreadable",
             {{"reason", verdicts.error().message}});
    return;
  }
  for (const PartVerdict& verdict : verdicts.value()) {
    if (suspects_.OnPeerVerdict(verdict))
      LogVerdict(verdict, "peer");
  }
  Publish();
}

}  // namespace carobshift
