// Disables one safety mechanism of this package at a time, so that the fuzz
// tests can verify that they detect its absence. For tests only: every options
// struct defaults to kNone.
//
//   DirectoryOptions options;
//   options.mutation = CacheMutation::kNoGapDetection;

#ifndef CAROBSHIFT_CACHE_MUTATION_H_
#define CAROBSHIFT_CACHE_MUTATION_H_

namespace carobshift {

enum class CacheMutation {
  kNone,
  kNoSealCheck,
  kNoGenerationCheck,
  kNoChecksum,
  kNoNamespaceInChain,
  kNoGapDetection,
  kNoPin,
};

}  // namespace carobshift

#endif  // CAROBSHIFT_CACHE_MUTATION_H_
