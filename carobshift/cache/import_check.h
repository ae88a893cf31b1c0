// The rule for reading a stored object: what was named must be what is there,
// complete. Whoever serves or reads an object applies it before the first
// byte is used; the stand-ins for stores use it for pins and reads.
//
//   if (CheckImport(handle, found, options) != ImportVerdict::kUsable)
//     // recompute
//
// Without it, a handle that outlived its object would read whatever took its
// place: half of an export that is still being written, or another client
// account's blocks. One would notice as an answer computed from a foreign or
// broken context, with no error anywhere.

#ifndef CAROBSHIFT_CACHE_IMPORT_CHECK_H_
#define CAROBSHIFT_CACHE_IMPORT_CHECK_H_

#include <cstdint>

#include "carobshift/cache/mutation.h"
#include "carobshift/external/engine.h"

namespace carobshift {

// What a store has under an object's name now.
struct StoredObject {
  std::uint64_t generation = 0;
  std::uint64_t checksum = 0;
  BlockHash last_block;
  // Set once all bytes are written and summed.
  bool sealed = false;
};

enum class ImportVerdict {
  kUsable,
  kNotSealed,
  kOtherGeneration,
  kOtherChecksum,
};

// `mutation` is for tests only.
[[nodiscard]] ImportVerdict CheckImport(
    const BlockHandle& named,
    const StoredObject& found,
    CacheMutation mutation = CacheMutation::kNone);

}  // namespace carobshift

#endif  // CAROBSHIFT_CACHE_IMPORT_CHECK_H_
