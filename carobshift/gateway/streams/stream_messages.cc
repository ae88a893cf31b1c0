#include "carobshift/gateway/streams/stream_messages.h"

#include <cereal/types/string.hpp>
#include <map>
#include <optional>
#include <utility>

#include "carobshift/gateway/instances/datagram_archive.h"

namespace carobshift {
namespace {

void WriteBeginning(DatagramOutput& archive, const StreamBeginning& beginning) {
  archive(beginning.service.value(), beginning.software.value());
}

StreamBeginning ReadBeginning(DatagramInput& archive) {
  std::string service;
  std::string software;
  archive(service, software);
  return {ServiceName(service), SoftwareVersion(software)};
}

void WriteRecord(DatagramOutput& archive, const StreamRecord& record) {
  archive(record.key.value(), static_cast<std::uint32_t>(record.life.count()));
}

StreamRecord ReadRecord(DatagramInput& archive,
                        const StreamBeginning& beginning) {
  std::uint64_t key = 0;
  std::uint32_t life = 0;
  archive(key, life);
  return {StreamKey(key), beginning, Milliseconds(life)};
}

}  // namespace

std::string EncodeStreamRecords(const std::vector<StreamRecord>& records) {
  std::map<std::pair<ServiceName, SoftwareVersion>,
           std::vector<const StreamRecord*>>
      groups;
  for (const StreamRecord& record : records) {
    const StreamBeginning& beginning = record.beginning;
    groups[{beginning.service, beginning.software}].push_back(&record);
  }
  return WriteDatagram([&groups](DatagramOutput& archive) {
    archive(static_cast<std::uint16_t>(groups.size()));
    for (const auto& [beginning, group] : groups) {
      WriteBeginning(archive, {beginning.first, beginning.second});
      archive(static_cast<std::uint16_t>(group.size()));
      for (const StreamRecord* record : group)
        WriteRecord(archive, *record);
    }
  });
}

Result<std::vector<StreamRecord>> DecodeStreamRecords(
    std::string_view payload) {
  return ReadDatagram<std::vector<StreamRecord>>(
      payload, [](DatagramInput& archive, std::vector<StreamRecord>& records) {
        std::uint16_t groups = 0;
        archive(groups);
        for (std::uint16_t group = 0; group < groups; ++group) {
          const StreamBeginning beginning = ReadBeginning(archive);
          std::uint16_t size = 0;
          archive(size);
          for (std::uint16_t i = 0; i < size; ++i)
            records.push_back(ReadRecord(archive, beginning));
        }
      });
}

std::string EncodeStreamQuery(const StreamQuery& query) {
  return WriteDatagram([&query](DatagramOutput& archive) {
    archive(query.requester.value(), query.number, query.key.value(),
            query.question.service.value(),
            static_cast<std::uint32_t>(query.question.span.count()));
  });
}

Result<StreamQuery> DecodeStreamQuery(std::string_view payload) {
  return ReadDatagram<StreamQuery>(
      payload, [](DatagramInput& archive, StreamQuery& query) {
        std::uint64_t requester = 0;
        std::uint64_t key = 0;
        std::string service;
        std::uint32_t span = 0;
        archive(requester, query.number, key, service, span);
        query.requester = Incarnation(requester);
        query.key = StreamKey(key);
        query.question = {ServiceName(service), Milliseconds(span)};
      });
}

std::string EncodeStreamAnswer(const StreamAnswer& answer) {
  return WriteDatagram([&answer](DatagramOutput& archive) {
    const std::optional<StreamBeginning> beginning =
        answer.evidence.beginning();
    archive(answer.from.value(), answer.number, answer.evidence.contradictory(),
            beginning.has_value(), answer.sole_version.has_value());
    if (beginning)
      WriteBeginning(archive, *beginning);
    if (answer.sole_version)
      archive(answer.sole_version->value());
  });
}

Result<StreamAnswer> DecodeStreamAnswer(std::string_view payload) {
  return ReadDatagram<StreamAnswer>(
      payload, [](DatagramInput& archive, StreamAnswer& answer) {
        std::uint64_t from = 0;
        bool contradictory = false;
        bool known = false;
        bool sole = false;
        archive(from, answer.number, contradictory, known, sole);
        answer.from = Incarnation(from);
        if (contradictory)
          answer.evidence = StreamEvidence::Contradictory();
        if (known)
          answer.evidence.Merge(ReadBeginning(archive));
        if (sole) {
          std::string software;
          archive(software);
          answer.sole_version = SoftwareVersion(software);
        }
      });
}

}  // namespace carobshift
