#include "cornelweir/src/table/configuration.h"

#include <set>

namespace cornelweir::table {

std::vector<row_change> DeltaBetween(const row_map& from, const row_map& to) {
  std::vector<row_change> delta;
  auto old_row = from.begin();
  auto new_row = to.begin();
  while (old_row != from.end() || new_row != to.end()) {
    const bool removed =
        new_row == to.end() || (old_row != from.end() && old_row->first < new_row->first);
    const bool added =
        old_row == from.end() || (new_row != to.end() && new_row->first < old_row->first);
    if (removed) {
      delta.push_back(row_change{old_row->first, std::nullopt});
      ++old_row;
      continue;
    }
    if (added || !(old_row->second == new_row->second)) {
      delta.push_back(row_change{new_row->first, new_row->second});
    }
    if (!added) ++old_row;
    ++new_row;
  }
  return delta;
}

void ApplyDelta(const std::vector<row_change>& delta, row_map& rows) {
  for (const row_change& change : delta) {
    if (change.content) {
      rows.insert_or_assign(change.key, *change.content);
    } else {
      rows.erase(change.key);
    }
  }
}

bool IsClosed(const row_map& rows) {
  for (const auto& [key, content] : rows) {
    if (const auto* service = std::get_if<service_row>(&content)) {
      if (FindRow<limit_row>(rows, KeyOf(service->limit)) == nullptr) return false;
      if (FindRow<wait_row>(rows, KeyOf(service->wait)) == nullptr) return false;
    } else if (std::holds_alternative<split_row>(content)) {
      if (FindRow<service_row>(rows, KeyOf(SplitService(key))) == nullptr) return false;
    } else if (const auto* route = std::get_if<route_row>(&content)) {
      if (FindRow<service_row>(rows, KeyOf(route->service)) == nullptr) return false;
    }
  }
  return true;
}

row_map ScopeOf(const row_map& rows, const kernel::service_name& service) {
  row_map scope;
  const auto* own = FindRow<service_row>(rows, KeyOf(service));
  if (own == nullptr) return scope;
  std::set<kernel::service_name> services{service};
  services.insert(own->calls.begin(), own->calls.end());
  for (const kernel::service_name& name : services) {
    const auto* row = FindRow<service_row>(rows, KeyOf(name));
    if (row == nullptr) continue;
    scope.emplace(KeyOf(name), *row);
    for (const row_key& referred : {KeyOf(row->limit), KeyOf(row->wait)}) {
      if (const auto found = rows.find(referred); found != rows.end()) scope.insert(*found);
    }
    const row_key first_split{row_kind::kSplit, name.value() + "/"};
    for (auto split = rows.lower_bound(first_split); split != rows.end(); ++split) {
      if (split->first.kind != row_kind::kSplit || SplitService(split->first) != name) break;
      scope.insert(*split);
    }
  }
  for (auto route = rows.lower_bound(row_key{row_kind::kRoute, ""}); route != rows.end(); ++route) {
    if (services.contains(std::get<route_row>(route->second).service)) scope.insert(*route);
  }
  return scope;
}

}  // namespace cornelweir::table
