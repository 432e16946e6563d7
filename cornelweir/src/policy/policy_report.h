#ifndef CORNELWEIR_SRC_POLICY_POLICY_REPORT_H_
#define CORNELWEIR_SRC_POLICY_POLICY_REPORT_H_

#include <string>
#include <vector>

#include "cornelweir/src/policy/finding.h"
#include "cornelweir/src/policy/policy_table.h"

namespace cornelweir::policy {

// Where an element is in a policy, as findings and comparisons state it.
std::string PlaceOf(const service& entry);
std::string PlaceOf(const route& entry);
std::string PlaceOf(const workspace& entry);

// The errors for which control hosts refuse the policy, at most kMaxFindings. Empty if it is valid.
std::vector<finding> FindErrors(const policy_table& table);

// Parts of the policy that never match or have no effect, and limits that contradict each other.
std::vector<finding> FindWarnings(const policy_table& table);

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_POLICY_REPORT_H_
