// StoreClient is the interface to KV cache stores. Engines and stores transfer
// block data directly; entries only pin and drop objects and read the status.
//
//   Status pinned = store.Pin(address, handle, Seconds(10));
//
// Implementations are thread-safe; calls block.

#ifndef CAROBSHIFT_EXTERNAL_STORE_H_
#define CAROBSHIFT_EXTERNAL_STORE_H_

#include <cstdint>

#include "carobshift/base/net_address.h"
#include "carobshift/base/result.h"
#include "carobshift/base/units.h"
#include "carobshift/external/engine.h"

namespace carobshift {

struct StoreStatus {
  std::uint64_t generation = 0;
  Bytes used = 0;
  Bytes capacity = 0;
  Bytes link_bytes_in = 0;
  Bytes link_bytes_out = 0;
};

class StoreClient {
 public:
  virtual ~StoreClient() = default;

  virtual Result<StoreStatus> FetchStatus(const NetAddress& store) = 0;

  // Protects the object from being dropped for `duration`. Returns
  // kBlockRejected if the object is gone, not sealed, or of another generation
  // or checksum.
  virtual Status Pin(const NetAddress& store,
                     const BlockHandle& handle,
                     Milliseconds duration) = 0;

  // Frees an object. Returns kBlockRejected if it is pinned.
  virtual Status Drop(const NetAddress& store, const BlockHandle& handle) = 0;
};

}  // namespace carobshift

#endif  // CAROBSHIFT_EXTERNAL_STORE_H_
