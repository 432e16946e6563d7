#ifndef CORNELWEIR_SRC_POLICY_VALIDATE_H_
#define CORNELWEIR_SRC_POLICY_VALIDATE_H_

#include <string>
#include <vector>

#include "cornelweir/src/policy/policy_table.h"

namespace cornelweir::policy {

// Returns a message for each error in the table, with the part of the policy that it is about.
// Empty if the table is valid.
std::vector<std::string> Validate(const policy_table& table);

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_VALIDATE_H_
