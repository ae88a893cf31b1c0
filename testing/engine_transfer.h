// Transfers KV cache blocks between the stand-in engine and a KV store. A
// stored object consists of its block hashes and as many filler bytes as the KV
// cache of the blocks would take.
//
//   ExportOutcome outcome = StoreBlocks(chain, request, should_crash);
//   std::vector<BlockHash> chain = FetchBlocks(handle, store_address);

#ifndef TESTING_ENGINE_TRANSFER_H_
#define TESTING_ENGINE_TRANSFER_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "carobshift/base/result_code.h"
#include "carobshift/cache/block_chain.h"

namespace carobshift {

struct ExportOutcome {
  std::optional<ResultCode> error;
  // The JSON form of the block handle, set once the object is sealed.
  nlohmann::json handle;
};

// Exports `chain` to the store that `request`, the body of POST /exports,
// names. If `should_crash` returns true, the process exits after half of the
// object is written.
[[nodiscard]] ExportOutcome StoreBlocks(
    const std::vector<BlockHash>& chain,
    const nlohmann::json& request,
    const std::function<bool()>& should_crash);

// Reads an exported object. Returns an empty chain unless the object is
// complete, matches the checksum of the handle, and ends with its last block.
[[nodiscard]] std::vector<BlockHash> FetchBlocks(
    const nlohmann::json& handle,
    const std::string& store_address);

}  // namespace carobshift

#endif  // TESTING_ENGINE_TRANSFER_H_
