#include "cornelweir/src/policy/policy_table.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace cornelweir::policy {
namespace {

// A route_key that refers to the strings of a route instead of copying them.
using key_view = std::pair<std::string_view, std::string_view>;
using route_index_by_key = std::map<key_view, const route*>;

key_view ViewOf(const route& keyed) { return {keyed.host, keyed.path_prefix}; }
key_view ViewOf(const route_key& key) { return {key.host, key.path_prefix}; }

route_index_by_key IndexOf(const std::vector<route>& routes) {
  route_index_by_key index;
  for (const route& entry : routes) index[ViewOf(entry)] = &entry;
  return index;
}

std::vector<route_key> KeysOf(const std::vector<route>& routes) {
  std::vector<route_key> keys;
  keys.reserve(routes.size());
  for (const route& entry : routes) keys.push_back(KeyOf(entry));
  return keys;
}

// Sorts routes into the order of the keys. Returns false, and changes nothing, if the keys are not
// as many as the routes or one of them is unknown.
bool Reorder(std::vector<route>& routes, const std::vector<route_key>& order) {
  const route_index_by_key index = IndexOf(routes);
  if (order.size() != routes.size()) return false;
  std::vector<route> ordered;
  ordered.reserve(order.size());
  for (const route_key& key : order) {
    const auto found = index.find(ViewOf(key));
    if (found == index.end()) return false;
    ordered.push_back(*found->second);
  }
  routes = std::move(ordered);
  return true;
}

}  // namespace

policy_delta Diff(const policy_table& old_table, const policy_table& new_table) {
  policy_delta delta;
  delta.base = old_table.version;
  delta.version = new_table.version;
  if (old_table.services != new_table.services) delta.services = new_table.services;
  if (old_table.limits != new_table.limits) delta.limits = new_table.limits;
  const route_index_by_key before = IndexOf(old_table.routes);
  const route_index_by_key after = IndexOf(new_table.routes);
  // The routes that are in both tables, in the order of each table.
  std::vector<key_view> kept_before;
  std::vector<key_view> kept_after;
  for (const route& old_route : old_table.routes) {
    if (after.contains(ViewOf(old_route))) {
      kept_before.push_back(ViewOf(old_route));
    } else {
      delta.removed.push_back(KeyOf(old_route));
    }
  }
  for (std::size_t i = 0; i < new_table.routes.size(); ++i) {
    const route& new_route = new_table.routes[i];
    const auto found = before.find(ViewOf(new_route));
    if (found == before.end()) {
      delta.inserted.push_back({static_cast<std::int64_t>(i), new_route});
      continue;
    }
    kept_after.push_back(ViewOf(new_route));
    if (*found->second != new_route) delta.changed.push_back(new_route);
  }
  if (kept_before != kept_after) delta.order = KeysOf(new_table.routes);
  return delta;
}

std::optional<policy_table> Apply(const policy_table& base, const policy_delta& delta) {
  if (delta.base != base.version) return std::nullopt;
  policy_table result;
  result.version = delta.version;
  result.services = delta.services ? *delta.services : base.services;
  result.limits = delta.limits ? *delta.limits : base.limits;
  result.routes.reserve(base.routes.size() + delta.inserted.size());
  std::set<key_view> removed;
  for (const route_key& key : delta.removed) removed.insert(ViewOf(key));
  route_index_by_key changed = IndexOf(delta.changed);
  auto inserted = delta.inserted.begin();
  // Appends the inserted routes whose position is the current end of the result.
  const auto insert_at_end = [&] {
    while (inserted != delta.inserted.end() &&
           inserted->position == static_cast<std::int64_t>(result.routes.size())) {
      result.routes.push_back(inserted->added);
      ++inserted;
    }
  };
  for (const route& base_route : base.routes) {
    if (removed.erase(ViewOf(base_route)) > 0) continue;
    insert_at_end();
    const auto found = changed.find(ViewOf(base_route));
    if (found == changed.end()) {
      result.routes.push_back(base_route);
    } else {
      result.routes.push_back(*found->second);
      changed.erase(found);
    }
  }
  insert_at_end();
  if (!removed.empty() || !changed.empty() || inserted != delta.inserted.end()) return std::nullopt;
  if (delta.order && !Reorder(result.routes, *delta.order)) return std::nullopt;
  return result;
}

}  // namespace cornelweir::policy
