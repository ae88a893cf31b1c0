// The checks of a declaration that reach across its fields: duplicates, names
// that nothing declares, dependency cycles.
//
//   CheckReferences(declaration, problems);

#ifndef CAROBSHIFT_CONFIG_INTERNAL_DECLARATION_CHECKS_H_
#define CAROBSHIFT_CONFIG_INTERNAL_DECLARATION_CHECKS_H_

#include "carobshift/config/declaration.h"
#include "carobshift/config/yaml_reader.h"

namespace carobshift {

// Entry i of each list of `declaration` was read from item i of the text's
// list of that name, and the places of all fields are known to `problems`.
void CheckReferences(const Declaration& declaration, YamlProblems& problems);

}  // namespace carobshift

#endif  // CAROBSHIFT_CONFIG_INTERNAL_DECLARATION_CHECKS_H_
