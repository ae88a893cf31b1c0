#include "carobshift/lease/lease_record.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace carobshift {
namespace {

constexpr std::array<std::string_view, 3> kKindNames = {"acquire", "renew",
                                                        "release"};

std::optional<LeaseRecordKind> KindFromName(std::string_view name) {
  for (std::size_t i = 0; i < kKindNames.size(); ++i) {
    if (kKindNames[i] == name)
      return static_cast<LeaseRecordKind>(i);
  }
  return std::nullopt;
}

}  // namespace

std::string EncodeLeaseRecord(const LeaseRecord& record) {
  return nlohmann::json{
      {"kind", kKindNames[static_cast<std::size_t>(record.kind)]},
      {"holder", record.holder.value()},
      {"incarnation", record.incarnation.value()},
      {"attempt", record.attempt},
      {"read_up_to", record.read_up_to.value()},
      {"number", record.number.value()},
      {"duration_ms", record.duration.count()},
      {"address", record.address},
      {"note", record.note}}
      .dump();
}

Result<LeaseRecord> DecodeLeaseRecord(std::string_view payload) {
  try {
    const auto json = nlohmann::json::parse(payload);
    const auto kind = KindFromName(json.at("kind").get<std::string>());
    const auto duration = json.at("duration_ms").get<std::int64_t>();
    if (!kind || duration <= 0)
      return Error{ResultCode::kMalformedRequest, "not a lease record"};
    return LeaseRecord{
        .kind = *kind,
        .holder = EntryId(json.at("holder").get<std::string>()),
        .incarnation = Incarnation(json.at("incarnation").get<std::uint64_t>()),
        .attempt = json.at("attempt").get<std::uint64_t>(),
        .read_up_to = LogOffset(json.at("read_up_to").get<std::uint64_t>()),
        .number = FencingNumber(json.at("number").get<std::uint64_t>()),
        .duration = Milliseconds(duration),
        .address = json.value("address", ""),
        .note = json.value("note", "")};
  } catch (const nlohmann::json::exception& error) {
    return Error{ResultCode::kMalformedRequest, error.what()};
  }
}

void LeaseState::SkipTo(LogOffset first_retained) {
  known_from_ = std::max(known_from_, first_retained);
}

bool LeaseState::Apply(LogOffset offset, const LeaseRecord& record) {
  if (record.read_up_to < known_from_ ||
      (holding_ && last_counted_ >= record.read_up_to))
    return false;
  const bool by_holder =
      holding_ && holding_->held && holding_->incarnation == record.incarnation;
  if (record.kind != LeaseRecordKind::kAcquire) {
    // The first record that a reader finds may be a renewal whose acquiring
    // record has been dropped, possibly of a holder that was succeeded in the
    // dropped records. The successor's renewals carry a higher number. If they
    // were ignored, the successor would be displaced while it holds the lease.
    const bool by_successor = holding_ && record.number > holding_->number;
    if (holding_ && !by_holder && !by_successor)
      return false;
    holding_ = LeaseHolding{.holder = record.holder,
                            .incarnation = record.incarnation,
                            .number = record.number,
                            .duration = record.duration,
                            .held = record.kind == LeaseRecordKind::kRenew,
                            .address = record.address,
                            .note = record.note};
  } else {
    holding_ = LeaseHolding{.holder = record.holder,
                            .incarnation = record.incarnation,
                            .number = FencingNumber(offset.value()),
                            .duration = record.duration,
                            .held = true,
                            .address = record.address,
                            .note = record.note};
  }
  last_counted_ = offset;
  return true;
}

}  // namespace carobshift
