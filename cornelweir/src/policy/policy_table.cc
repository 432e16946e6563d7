#include "cornelweir/src/policy/policy_table.h"

#include <cstddef>
#include <map>
#include <utility>

namespace cornelweir::policy {
namespace {

using position_index = std::map<route_key, std::size_t>;

position_index IndexOf(const std::vector<route>& routes) {
  position_index index;
  for (std::size_t i = 0; i < routes.size(); ++i) index.emplace(KeyOf(routes[i]), i);
  return index;
}

std::vector<route_key> KeysOf(const std::vector<route>& routes) {
  std::vector<route_key> keys;
  keys.reserve(routes.size());
  for (const route& listed : routes) keys.push_back(KeyOf(listed));
  return keys;
}

bool Reorder(std::vector<route>& routes, const std::vector<route_key>& order) {
  const position_index index = IndexOf(routes);
  if (order.size() != routes.size()) return false;
  std::vector<route> ordered;
  ordered.reserve(order.size());
  for (const route_key& key : order) {
    const auto found = index.find(key);
    if (found == index.end()) return false;
    ordered.push_back(std::move(routes[found->second]));
  }
  routes = std::move(ordered);
  return true;
}

}  // namespace

policy_delta Diff(const policy_table& from, const policy_table& to) {
  policy_delta delta;
  delta.base = from.version;
  delta.version = to.version;
  if (from.services != to.services) delta.services = to.services;
  if (from.limits != to.limits) delta.limits = to.limits;
  const position_index before = IndexOf(from.routes);
  const position_index after = IndexOf(to.routes);
  std::vector<route_key> natural;
  for (const route& old : from.routes) {
    if (after.contains(KeyOf(old))) {
      natural.push_back(KeyOf(old));
    } else {
      delta.removed.push_back(KeyOf(old));
    }
  }
  for (const route& wanted : to.routes) {
    const auto found = before.find(KeyOf(wanted));
    if (found == before.end()) natural.push_back(KeyOf(wanted));
    if (found == before.end() || from.routes[found->second] != wanted) {
      delta.changed.push_back(wanted);
    }
  }
  if (natural != KeysOf(to.routes)) delta.order = KeysOf(to.routes);
  return delta;
}

std::optional<policy_table> Apply(const policy_table& base, const policy_delta& delta) {
  if (delta.base != base.version) return std::nullopt;
  policy_table result;
  result.version = delta.version;
  result.services = delta.services ? *delta.services : base.services;
  result.limits = delta.limits ? *delta.limits : base.limits;
  position_index removed;
  for (const route_key& key : delta.removed) removed.emplace(key, 0);
  for (const route& kept : base.routes) {
    if (removed.erase(KeyOf(kept)) == 0) result.routes.push_back(kept);
  }
  if (!removed.empty()) return std::nullopt;
  const position_index index = IndexOf(result.routes);
  for (const route& changed : delta.changed) {
    const auto found = index.find(KeyOf(changed));
    if (found == index.end()) {
      result.routes.push_back(changed);
    } else {
      result.routes[found->second] = changed;
    }
  }
  if (delta.order && !Reorder(result.routes, *delta.order)) return std::nullopt;
  return result;
}

}  // namespace cornelweir::policy
