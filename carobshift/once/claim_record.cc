#include "carobshift/once/claim_record.h"

#include <exception>
#include <nlohmann/json.hpp>

namespace carobshift {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxPayloadBytes = 256 * 1024;

Json ToJson(const Claim& claim) {
  return {{"n", claim.number},
          {"account", claim.key.account.value()},
          {"key", claim.key.key.value()},
          {"print", claim.fingerprint.value()},
          {"created", claim.created.time_since_epoch().count()}};
}

Json ToJson(const ClaimRelease& release) {
  return {{"n", release.number},
          {"account", release.key.account.value()},
          {"key", release.key.key.value()}};
}

AccountKey KeyFrom(const Json& json) {
  return {AccountId(json.at("account").get<std::string>()),
          IdempotencyKey(json.at("key").get<std::string>())};
}

Claim ClaimFrom(const Json& json) {
  return {
      .number = json.at("n").get<std::uint64_t>(),
      .key = KeyFrom(json),
      .fingerprint = RequestFingerprint(json.at("print").get<std::uint64_t>()),
      .created =
          WallTime(Milliseconds(json.at("created").get<Milliseconds::rep>()))};
}

ClaimRelease ReleaseFrom(const Json& json) {
  return {.number = json.at("n").get<std::uint64_t>(), .key = KeyFrom(json)};
}

ClaimBatch BatchFrom(const Json& json) {
  ClaimBatch batch;
  batch.entry = EntryId(json.at("entry").get<std::string>());
  batch.incarnation = Incarnation(json.at("incarnation").get<std::uint64_t>());
  for (const Json& release : json.at("releases"))
    batch.releases.push_back(ReleaseFrom(release));
  for (const Json& claim : json.at("claims"))
    batch.claims.push_back(ClaimFrom(claim));
  return batch;
}

Error Malformed(const char* why) {
  return {ResultCode::kMalformedRequest, why};
}

}  // namespace

std::string EncodeClaimBatch(const ClaimBatch& batch) {
  Json json = {{"entry", batch.entry.value()},
               {"incarnation", batch.incarnation.value()},
               {"releases", Json::array()},
               {"claims", Json::array()}};
  for (const ClaimRelease& release : batch.releases)
    json["releases"].push_back(ToJson(release));
  for (const Claim& claim : batch.claims)
    json["claims"].push_back(ToJson(claim));
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ClaimBatch> DecodeClaimBatch(std::string_view payload) {
  if (payload.size() > kMaxPayloadBytes)
    return Malformed("the claim record is too large");
  const Json json = Json::parse(payload, nullptr, false);
  if (json.is_discarded())
    return Malformed("the claim record is no JSON");
  // nlohmann::json throws on a field of the wrong type.
  try {
    ClaimBatch batch = BatchFrom(json);
    if (batch.claims.size() + batch.releases.size() > kMaxClaimBatch)
      return Malformed("the claim record holds too many claims");
    return batch;
  } catch (const std::exception&) {
    return Malformed("a field of the claim record is missing or wrong");
  }
}

}  // namespace carobshift
