#include "carobshift/cache/import_check.h"

namespace carobshift {

ImportVerdict CheckImport(const BlockHandle& named,
                          const StoredObject& found,
                          CacheMutation mutation) {
  if (!found.sealed && mutation != CacheMutation::kNoSealCheck)
    return ImportVerdict::kNotSealed;
  if (found.generation != named.generation &&
      mutation != CacheMutation::kNoGenerationCheck) {
    return ImportVerdict::kOtherGeneration;
  }
  if (found.checksum != named.checksum &&
      mutation != CacheMutation::kNoChecksum) {
    return ImportVerdict::kOtherChecksum;
  }
  return ImportVerdict::kUsable;
}

}  // namespace carobshift
