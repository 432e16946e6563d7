#include "cornelweir/src/policy/validate.h"

#include "cornelweir/src/policy/policy_report.h"

namespace cornelweir::policy {

std::vector<std::string> Validate(const policy_table& table) {
  std::vector<std::string> errors;
  for (const finding& error : FindErrors(table)) {
    errors.push_back(error.place + ": " + error.message);
  }
  return errors;
}

}  // namespace cornelweir::policy
