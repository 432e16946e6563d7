#ifndef CORNELWEIR_SRC_POLICY_POLICY_TABLE_H_
#define CORNELWEIR_SRC_POLICY_POLICY_TABLE_H_

#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/policy/caller_limits.h"
#include "cornelweir/src/policy/route.h"
#include "cornelweir/src/policy/service.h"

namespace cornelweir::policy {

// The complete policy that daemons enforce. It is versioned and replaced as a whole. Version 0 is
// the empty policy that holds until operators send the first one.
struct policy_table {
  kernel::policy_version version;
  std::vector<service> services;
  caller_limits limits;
  // In the order given by the operators.
  std::vector<route> routes;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"version", &policy_table::version},
                      kernel::field{"services", &policy_table::services},
                      kernel::field{"limits", &policy_table::limits},
                      kernel::field{"routes", &policy_table::routes}};
  }
  friend bool operator==(const policy_table&, const policy_table&) = default;
};

// A new route and its index in the new table.
struct inserted_route {
  std::int64_t position = 0;
  route added;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"at", &inserted_route::position},
                      kernel::field{"route", &inserted_route::added}};
  }
  friend bool operator==(const inserted_route&, const inserted_route&) = default;
};

// The difference between two policies. Most updates change a few of many routes, so the log and the
// updates sent to daemons carry deltas.
struct policy_delta {
  kernel::policy_version base;
  kernel::policy_version version;
  std::optional<std::vector<service>> services;
  std::optional<caller_limits> limits;
  // Keys of the routes of the base that are not in the new table.
  std::vector<route_key> removed;
  // New contents of routes that are in the base under the same key.
  std::vector<route> changed;
  // In ascending order of position.
  std::vector<inserted_route> inserted;
  // All keys in the new order, if routes that are in both tables change their order.
  std::optional<std::vector<route_key>> order;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"base", &policy_delta::base},
                      kernel::field{"version", &policy_delta::version},
                      kernel::field{"services", &policy_delta::services},
                      kernel::field{"limits", &policy_delta::limits},
                      kernel::field{"removed", &policy_delta::removed},
                      kernel::field{"changed", &policy_delta::changed},
                      kernel::field{"inserted", &policy_delta::inserted},
                      kernel::field{"order", &policy_delta::order}};
  }
  friend bool operator==(const policy_delta&, const policy_delta&) = default;
};

// The delta that turns the old table into the new one.
policy_delta Diff(const policy_table& old_table, const policy_table& new_table);

// Applies a delta. Empty if the delta has another base, refers to routes that are not in the base,
// or has positions or an order that do not fit.
std::optional<policy_table> Apply(const policy_table& base, const policy_delta& delta);

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_POLICY_TABLE_H_
