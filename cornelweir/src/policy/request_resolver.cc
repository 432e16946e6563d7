#include "cornelweir/src/policy/request_resolver.h"

#include <utility>

namespace cornelweir::policy {

request_resolver::request_resolver(std::shared_ptr<const policy_table> table, std::uint64_t seed)
    : table_(std::move(table)), routes_(*table_), workspaces_(*table_, seed) {}

resolved_request request_resolver::Resolve(std::string_view host, std::string_view path,
                                           std::string_view key) const {
  using kind = resolved_request::kind;
  resolved_request resolved;
  resolved.route = routes_.Match(host, path);
  if (!table_->workspaces.empty()) {
    if (!key.empty()) resolved.workspace = workspaces_.Find(key);
    const bool needs_key = resolved.route == nullptr || !resolved.route->public_access;
    if (needs_key && resolved.workspace == nullptr) {
      resolved.outcome = kind::kUnauthenticated;
      return resolved;
    }
  }
  if (resolved.route != nullptr) resolved.outcome = kind::kRouted;
  return resolved;
}

}  // namespace cornelweir::policy
