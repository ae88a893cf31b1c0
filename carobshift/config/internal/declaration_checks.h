// Checks of a declaration that involve several fields: duplicate names,
// references to undeclared names, dependency cycles.
//
//   CheckReferences(declaration, problems);

#ifndef CAROBSHIFT_CONFIG_INTERNAL_DECLARATION_CHECKS_H_
#define CAROBSHIFT_CONFIG_INTERNAL_DECLARATION_CHECKS_H_

#include "carobshift/config/declaration.h"
#include "carobshift/config/yaml_reader.h"

namespace carobshift {

// Item i of each list in `declaration` must come from item i of the list of the
// same name in the text, and `problems` must know the positions of all fields.
void CheckReferences(const Declaration& declaration, YamlProblems& problems);

}  // namespace carobshift

#endif  // CAROBSHIFT_CONFIG_INTERNAL_DECLARATION_CHECKS_H_
