// Checks a stored object before it is read: it must be the object that was
// named, and complete. Any component that serves or reads an object applies the
// check before it uses the first byte. Simulated stores apply it to pins and
// reads.
//
//   if (CheckImport(handle, found, options) != ImportVerdict::kUsable)
//     // recompute
//
// Without the check, a handle that outlived its object would read whatever
// replaced it: a partly written export or the blocks of another client account.
// The result would be an answer computed from corrupt context or from that of
// another account, without any error.

#ifndef CAROBSHIFT_CACHE_IMPORT_CHECK_H_
#define CAROBSHIFT_CACHE_IMPORT_CHECK_H_

#include <cstdint>

#include "carobshift/cache/mutation.h"
#include "carobshift/external/engine.h"

namespace carobshift {

// The object that a store currently holds under a name.
struct StoredObject {
  std::uint64_t generation = 0;
  std::uint64_t checksum = 0;
  BlockHash last_block;
  // True once all bytes are written and included in the checksum.
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
