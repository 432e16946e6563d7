#ifndef CORNELWEIR_SRC_POLICY_DEPLOYMENT_REPORT_H_
#define CORNELWEIR_SRC_POLICY_DEPLOYMENT_REPORT_H_

#include <vector>

#include "cornelweir/src/policy/finding.h"
#include "cornelweir/src/policy/policy_table.h"
#include "cornelweir/src/policy/service_state.h"

namespace cornelweir::policy {

// Warnings about a policy in view of the upstreams that run: workspace limits that together exceed
// the rate limits of the services, and running rollouts to a version without upstreams. At most
// kMaxFindings.
std::vector<finding> FindDeploymentWarnings(const policy_table& table,
                                            const std::vector<service_state>& services);

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_DEPLOYMENT_REPORT_H_
