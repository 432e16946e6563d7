#include "cornelweir/src/policy/route_index.h"

#include <algorithm>

#include "cornelweir/src/policy/host_key.h"

namespace cornelweir::policy {

route_index::route_index(const policy_table& table) {
  for (const route& entry : table.routes) hosts_[HostKey(entry.host)].push_back(&entry);
  for (auto& [host, routes] : hosts_) {
    std::stable_sort(routes.begin(), routes.end(), [](const route* left, const route* right) {
      return left->path_prefix.size() > right->path_prefix.size();
    });
  }
}

const route* route_index::Match(std::string_view host, std::string_view path) const {
  const auto found = hosts_.find(HostKey(host));
  if (found == hosts_.end()) return nullptr;
  for (const route* candidate : found->second) {
    if (path.starts_with(candidate->path_prefix)) return candidate;
  }
  return nullptr;
}

}  // namespace cornelweir::policy
