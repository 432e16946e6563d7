#ifndef CORNELWEIR_SRC_POLICY_VALIDATE_H_
#define CORNELWEIR_SRC_POLICY_VALIDATE_H_

#include <string>
#include <vector>

#include "cornelweir/src/policy/policy_table.h"

namespace cornelweir::policy {

// Every reason why the table can't be enforced, each naming its place. Empty if it is valid.
std::vector<std::string> Validate(const policy_table& table);

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_VALIDATE_H_
