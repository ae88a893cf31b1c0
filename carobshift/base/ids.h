// Identifier types shared by several packages. An identifier used by one
// package only is declared in that package.
//
//   EndpointId endpoint("engine-3");

#ifndef CAROBSHIFT_BASE_IDS_H_
#define CAROBSHIFT_BASE_IDS_H_

#include <cstdint>
#include <string>

#include "carobshift/base/strong_type.h"

namespace carobshift {

// A client account, by its name in the declaration.
using AccountId = StrongType<struct AccountIdTag, std::string>;
// A service of the declaration: a model service or a plain one.
using ServiceName = StrongType<struct ServiceNameTag, std::string>;
// A model engine or a plain service process, by its name in the instance list.
using EndpointId = StrongType<struct EndpointIdTag, std::string>;
// A KV cache store instance.
using StoreId = StrongType<struct StoreIdTag, std::string>;
// An entry instance; stable across restarts of its process.
using EntryId = StrongType<struct EntryIdTag, std::string>;
// One run of an entry process. A random number that is never reused.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
using ZoneName = StrongType<struct ZoneNameTag, std::string>;
using RegionName = StrongType<struct RegionNameTag, std::string>;
using ModelName = StrongType<struct ModelNameTag, std::string>;
using WeightVersion = StrongType<struct WeightVersionTag, std::string>;
// Version number of a model's weights that the platform increments.
using WeightNumber = StrongType<struct WeightNumberTag, std::uint64_t>;
// Version of the software that an endpoint runs, not of its weights. Versions
// have no order; they are only compared for equality.
using SoftwareVersion = StrongType<struct SoftwareVersionTag, std::string>;
using AdapterName = StrongType<struct AdapterNameTag, std::string>;
// One caller's request as received by an entry; appears in replies and logs.
using RequestId = StrongType<struct RequestIdTag, std::string>;
// Chosen by the caller; meaningful only within its client account.
using ConversationId = StrongType<struct ConversationIdTag, std::string>;
using IdempotencyKey = StrongType<struct IdempotencyKeyTag, std::string>;
// Number of an attempt within one request, starting at 1.
using AttemptNumber = StrongType<struct AttemptNumberTag, std::uint32_t>;
// Offset of a record in one stream of the platform's log, starting at 0.
using LogOffset = StrongType<struct LogOffsetTag, std::uint64_t>;
// Fencing token: the log offset of the lease record that makes its writer the
// lease holder. Endpoints that check it reject orders with a lower number.
using FencingNumber = StrongType<struct FencingNumberTag, std::uint64_t>;
// An operator's edit of the declaration; unique per `config publish`.
using EditId = StrongType<struct EditIdTag, std::string>;
// The log offset at which a declaration was accepted.
using ConfigVersion = StrongType<struct ConfigVersionTag, std::uint64_t>;

}  // namespace carobshift

#endif  // CAROBSHIFT_BASE_IDS_H_
