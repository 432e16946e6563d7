#ifndef CORNELWEIR_SRC_POLICY_POLICY_DELTA_H_
#define CORNELWEIR_SRC_POLICY_POLICY_DELTA_H_

#include <optional>
#include <tuple>
#include <vector>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/policy/list_delta.h"
#include "cornelweir/src/policy/policy_table.h"

namespace cornelweir::policy {

// The difference between two policies. Most updates change a few of many routes, so the log and the
// updates sent to daemons carry deltas. The routes are members of the delta itself, as in the logs
// of earlier versions.
struct policy_delta : list_delta<route> {
  kernel::policy_version base;
  kernel::policy_version version;
  std::optional<std::vector<service>> services;
  std::optional<caller_limits> limits;
  list_delta<workspace> workspaces;

  static constexpr auto Fields() {
    return std::tuple_cat(std::tuple{kernel::field{"base", &policy_delta::base},
                                     kernel::field{"version", &policy_delta::version},
                                     kernel::field{"services", &policy_delta::services},
                                     kernel::field{"limits", &policy_delta::limits},
                                     kernel::field{"workspaces", &policy_delta::workspaces}},
                          list_delta<route>::Fields());
  }
  friend bool operator==(const policy_delta&, const policy_delta&) = default;
};

// The delta that turns the old table into the new one.
policy_delta Diff(const policy_table& old_table, const policy_table& new_table);

// Applies a delta. Empty if the delta has another base, refers to routes or workspaces that are not
// in the base, or has positions or an order that do not fit.
std::optional<policy_table> Apply(const policy_table& base, const policy_delta& delta);

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_POLICY_DELTA_H_
