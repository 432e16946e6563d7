#include "cornelweir/src/policy/policy_delta.h"

#include <utility>

namespace cornelweir::policy {

policy_delta Diff(const policy_table& old_table, const policy_table& new_table) {
  policy_delta delta;
  delta.base = old_table.version;
  delta.version = new_table.version;
  if (old_table.services != new_table.services) delta.services = new_table.services;
  if (old_table.limits != new_table.limits) delta.limits = new_table.limits;
  delta.workspaces = DiffLists(old_table.workspaces, new_table.workspaces);
  static_cast<list_delta<route>&>(delta) = DiffLists(old_table.routes, new_table.routes);
  return delta;
}

std::optional<policy_table> Apply(const policy_table& base, const policy_delta& delta) {
  if (delta.base != base.version) return std::nullopt;
  auto workspaces = ApplyList(base.workspaces, delta.workspaces);
  auto routes = ApplyList<route>(base.routes, delta);
  if (!workspaces || !routes) return std::nullopt;
  policy_table result;
  result.version = delta.version;
  result.services = delta.services ? *delta.services : base.services;
  result.limits = delta.limits ? *delta.limits : base.limits;
  result.workspaces = *std::move(workspaces);
  result.routes = *std::move(routes);
  return result;
}

}  // namespace cornelweir::policy
