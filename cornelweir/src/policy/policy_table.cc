#include "cornelweir/src/policy/policy_table.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace cornelweir::policy {
namespace {

// A route's key without a copy of its text.
using key_view = std::pair<std::string_view, std::string_view>;
using route_index_by_key = std::map<key_view, const route*>;

key_view ViewOf(const route& of) { return {of.host, of.path_prefix}; }
key_view ViewOf(const route_key& of) { return {of.host, of.path_prefix}; }

route_index_by_key IndexOf(const std::vector<route>& routes) {
  route_index_by_key index;
  for (const route& listed : routes) index[ViewOf(listed)] = &listed;
  return index;
}

std::vector<route_key> KeysOf(const std::vector<route>& routes) {
  std::vector<route_key> keys;
  keys.reserve(routes.size());
  for (const route& listed : routes) keys.push_back(KeyOf(listed));
  return keys;
}

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

policy_delta Diff(const policy_table& from, const policy_table& to) {
  policy_delta delta;
  delta.base = from.version;
  delta.version = to.version;
  if (from.services != to.services) delta.services = to.services;
  if (from.limits != to.limits) delta.limits = to.limits;
  const route_index_by_key before = IndexOf(from.routes);
  const route_index_by_key after = IndexOf(to.routes);
  // The routes that stay, in the order of each table.
  std::vector<key_view> kept_before;
  std::vector<key_view> kept_after;
  for (const route& old : from.routes) {
    if (after.contains(ViewOf(old))) {
      kept_before.push_back(ViewOf(old));
    } else {
      delta.removed.push_back(KeyOf(old));
    }
  }
  for (std::size_t i = 0; i < to.routes.size(); ++i) {
    const route& wanted = to.routes[i];
    const auto found = before.find(ViewOf(wanted));
    if (found == before.end()) {
      delta.inserted.push_back({static_cast<std::int64_t>(i), wanted});
      continue;
    }
    kept_after.push_back(ViewOf(wanted));
    if (*found->second != wanted) delta.changed.push_back(wanted);
  }
  if (kept_before != kept_after) delta.order = KeysOf(to.routes);
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
  const auto insert_due = [&] {
    while (inserted != delta.inserted.end() &&
           inserted->position == static_cast<std::int64_t>(result.routes.size())) {
      result.routes.push_back(inserted->added);
      ++inserted;
    }
  };
  for (const route& kept : base.routes) {
    if (removed.erase(ViewOf(kept)) > 0) continue;
    insert_due();
    const auto found = changed.find(ViewOf(kept));
    if (found == changed.end()) {
      result.routes.push_back(kept);
    } else {
      result.routes.push_back(*found->second);
      changed.erase(found);
    }
  }
  insert_due();
  if (!removed.empty() || !changed.empty() || inserted != delta.inserted.end()) return std::nullopt;
  if (delta.order && !Reorder(result.routes, *delta.order)) return std::nullopt;
  return result;
}

}  // namespace cornelweir::policy
