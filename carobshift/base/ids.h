// The ids that cross package borders. An id that only one package uses is
// declared there.
//
//   EndpointId endpoint("engine-3");

#ifndef CAROBSHIFT_BASE_IDS_H_
#define CAROBSHIFT_BASE_IDS_H_

#include <cstdint>
#include <string>

#include "carobshift/base/strong_type.h"

namespace carobshift {

// A client account as the declaration names it.
using AccountId = StrongType<struct AccountIdTag, std::string>;
// A declared service: a model service or a plain one.
using ServiceName = StrongType<struct ServiceNameTag, std::string>;
// A model engine or a plain service process, as the instance list names it.
using EndpointId = StrongType<struct EndpointIdTag, std::string>;
// A KV cache store instance.
using StoreId = StrongType<struct StoreIdTag, std::string>;
// An entry instance; stable across restarts of its process.
using EntryId = StrongType<struct EntryIdTag, std::string>;
// One life of an entry process. Random, never reused.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
using ZoneName = StrongType<struct ZoneNameTag, std::string>;
using RegionName = StrongType<struct RegionNameTag, std::string>;
using ModelName = StrongType<struct ModelNameTag, std::string>;
using WeightVersion = StrongType<struct WeightVersionTag, std::string>;
// Weight versions that count upwards, where the platform numbers them.
using WeightNumber = StrongType<struct WeightNumberTag, std::uint64_t>;
using AdapterName = StrongType<struct AdapterNameTag, std::string>;
// One caller request as received by an entry; shown in answers and logs.
using RequestId = StrongType<struct RequestIdTag, std::string>;
// Chosen by the caller; meaningful only within its client account.
using ConversationId = StrongType<struct ConversationIdTag, std::string>;
using IdempotencyKey = StrongType<struct IdempotencyKeyTag, std::string>;
// The n-th try of one request, counted from 1.
using AttemptNumber = StrongType<struct AttemptNumberTag, std::uint32_t>;
// Position of a record in one stream of the platform's log, from 0.
using LogOffset = StrongType<struct LogOffsetTag, std::uint64_t>;
// The offset of the lease record that entitles its writer to give orders.
using FencingNumber = StrongType<struct FencingNumberTag, std::uint64_t>;
// An operator's edit of the declaration, unique per `config publish`.
using EditId = StrongType<struct EditIdTag, std::string>;
// The log offset at which a declaration was accepted.
using ConfigVersion = StrongType<struct ConfigVersionTag, std::uint64_t>;

}  // namespace carobshift

#endif  // CAROBSHIFT_BASE_IDS_H_
