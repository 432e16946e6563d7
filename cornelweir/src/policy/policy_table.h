#ifndef CORNELWEIR_SRC_POLICY_POLICY_TABLE_H_
#define CORNELWEIR_SRC_POLICY_POLICY_TABLE_H_

#include <tuple>
#include <vector>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/policy/caller_limits.h"
#include "cornelweir/src/policy/route.h"
#include "cornelweir/src/policy/service.h"
#include "cornelweir/src/policy/workspace.h"

namespace cornelweir::policy {

// The complete policy that daemons enforce. It is versioned and replaced as a whole. Version 0 is
// the empty policy that holds until operators send the first one.
struct policy_table {
  kernel::policy_version version;
  std::vector<service> services;
  caller_limits limits;
  // In the order given by the operators. Without workspaces, callers need no key.
  std::vector<workspace> workspaces;
  // In the order given by the operators.
  std::vector<route> routes;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"version", &policy_table::version},
                      kernel::field{"services", &policy_table::services},
                      kernel::field{"limits", &policy_table::limits},
                      kernel::field{"workspaces", &policy_table::workspaces},
                      kernel::field{"routes", &policy_table::routes}};
  }
  friend bool operator==(const policy_table&, const policy_table&) = default;
};

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_POLICY_TABLE_H_
