// How the stand-in engine moves blocks to and from a store: an object holds
// its block hashes and as many filler bytes as the blocks' KV cache would take.
//
//   ExportOutcome outcome = StoreBlocks(chain, request, crash);
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
  // The handle's JSON, once sealed.
  nlohmann::json handle;
};

// `request` is the body of POST /exports. Ends the process after half of the
// object if `crash` says so.
[[nodiscard]] ExportOutcome StoreBlocks(const std::vector<BlockHash>& chain,
                                        const nlohmann::json& request,
                                        const std::function<bool()>& crash);

// Empty unless the object is whole, of the handle's checksum, and ends with
// the handle's last block.
[[nodiscard]] std::vector<BlockHash> FetchBlocks(
    const nlohmann::json& handle,
    const std::string& store_address);

}  // namespace carobshift

#endif  // TESTING_ENGINE_TRANSFER_H_
