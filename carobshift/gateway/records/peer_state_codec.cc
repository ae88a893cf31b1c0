#include "carobshift/gateway/records/peer_state_codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <sstream>

#include "carobshift/base/digest.h"

namespace carobshift {
namespace {

// Far above the size of a real deployment, and far below what would exhaust
// memory.
constexpr std::uint32_t kMaxRecords = 100'000;
constexpr std::uint32_t kMaxText = 16U << 20;

void WriteText(cereal::PortableBinaryOutputArchive& archive,
               const std::string& text) {
  archive(static_cast<std::uint32_t>(text.size()));
  archive(cereal::binary_data(text.data(), text.size()));
}

std::string ReadText(cereal::PortableBinaryInputArchive& archive) {
  std::uint32_t size = 0;
  archive(size);
  if (size > kMaxText)
    throw cereal::Exception("text exceeds the size limit");
  std::string text(size, '\0');
  archive(cereal::binary_data(text.data(), size));
  return text;
}

void WriteRecords(cereal::PortableBinaryOutputArchive& archive,
                  const std::vector<KeyedRecord>& records) {
  archive(static_cast<std::uint32_t>(records.size()));
  for (const KeyedRecord& record : records) {
    WriteText(archive, record.key);
    archive(record.offset.value(), record.value.has_value());
    if (record.value)
      WriteText(archive, *record.value);
  }
}

std::vector<KeyedRecord> ReadRecords(
    cereal::PortableBinaryInputArchive& archive) {
  std::uint32_t count = 0;
  archive(count);
  if (count > kMaxRecords)
    throw cereal::Exception("record count exceeds the limit");
  std::vector<KeyedRecord> records;
  for (std::uint32_t i = 0; i < count; ++i) {
    KeyedRecord record;
    std::uint64_t offset = 0;
    bool present = false;
    record.key = ReadText(archive);
    archive(offset, present);
    record.offset = LogOffset(offset);
    if (present)
      record.value = ReadText(archive);
    records.push_back(std::move(record));
  }
  return records;
}

void WriteChanges(cereal::PortableBinaryOutputArchive& archive,
                  const StreamChanges& changes) {
  WriteRecords(archive, changes.records);
  archive(changes.next.value(), changes.end.value(),
          static_cast<std::int64_t>(changes.age.count()),
          static_cast<std::int64_t>(changes.records_age.count()));
}

StreamChanges ReadChanges(cereal::PortableBinaryInputArchive& archive) {
  StreamChanges changes;
  changes.records = ReadRecords(archive);
  std::uint64_t next = 0;
  std::uint64_t end = 0;
  std::int64_t age = 0;
  std::int64_t records_age = 0;
  archive(next, end, age, records_age);
  if (age < 0 || records_age < 0)
    throw cereal::Exception("negative age");
  changes.next = LogOffset(next);
  changes.end = LogOffset(end);
  changes.age = Milliseconds(age);
  changes.records_age = Milliseconds(records_age);
  return changes;
}

}  // namespace

std::string EncodePeerState(const PeerState& state, const std::string& secret) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    WriteRecords(archive, state.operator_records);
    WriteRecords(archive, state.endpoint_records);
    archive(state.next.operators.value(), state.next.endpoints.value());
  }
  return PrependMac(out.str(), secret);
}

Result<PeerState> DecodePeerState(std::string_view bytes,
                                  const std::string& secret) {
  const auto body = VerifyAndStripMac(bytes, secret);
  if (!body)
    return Error{ResultCode::kPeerRejected, "peer state not authenticated"};
  PeerState state;
  try {
    std::istringstream in{std::string(*body)};
    cereal::PortableBinaryInputArchive archive(in);
    state.operator_records = ReadRecords(archive);
    state.endpoint_records = ReadRecords(archive);
    std::uint64_t operators = 0;
    std::uint64_t endpoints = 0;
    archive(operators, endpoints);
    state.next = {LogOffset(operators), LogOffset(endpoints)};
  } catch (const std::exception& e) {
    return Error{ResultCode::kPeerRejected, e.what()};
  }
  return state;
}

std::string EncodePeerChanges(const PeerChanges& changes,
                              const std::string& secret) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    WriteChanges(archive, changes.operators);
    WriteChanges(archive, changes.endpoints);
  }
  return PrependMac(out.str(), secret);
}

Result<PeerChanges> DecodePeerChanges(std::string_view bytes,
                                      const std::string& secret) {
  const auto body = VerifyAndStripMac(bytes, secret);
  if (!body)
    return Error{ResultCode::kPeerRejected, "peer changes not authenticated"};
  PeerChanges changes;
  try {
    std::istringstream in{std::string(*body)};
    cereal::PortableBinaryInputArchive archive(in);
    changes.operators = ReadChanges(archive);
    changes.endpoints = ReadChanges(archive);
  } catch (const std::exception& e) {
    return Error{ResultCode::kPeerRejected, e.what()};
  }
  return changes;
}

}  // namespace carobshift
