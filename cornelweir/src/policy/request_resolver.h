#ifndef CORNELWEIR_SRC_POLICY_REQUEST_RESOLVER_H_
#define CORNELWEIR_SRC_POLICY_REQUEST_RESOLVER_H_

#include <cstdint>
#include <memory>
#include <string_view>

#include "cornelweir/src/policy/policy_table.h"
#include "cornelweir/src/policy/route_index.h"
#include "cornelweir/src/policy/workspace_index.h"

namespace cornelweir::policy {

// What a policy says of a request. The pointers refer to the policy.
struct resolved_request {
  enum class kind : std::uint8_t {
    kRouted,
    // The request needs the key of a workspace and has none. It is rejected before the route is
    // looked at, so that callers without a key can't find out which routes exist.
    kUnauthenticated,
    kNoRoute,
  };

  kind outcome = kind::kNoRoute;
  const policy::route* route = nullptr;
  // Null if the request has no key of a workspace and needs none.
  const policy::workspace* workspace = nullptr;

  // The priority of the workspace, if it has one, or else of the route. Requires a route.
  std::int32_t priority() const {
    return workspace != nullptr && workspace->priority ? *workspace->priority : route->priority;
  }
};

// Finds the route and workspace of requests in one policy.
class request_resolver {
 public:
  // See workspace_index for the seed.
  request_resolver(std::shared_ptr<const policy_table> table, std::uint64_t seed);

  // An empty key means that the request has none.
  resolved_request Resolve(std::string_view host, std::string_view path,
                           std::string_view key) const;
  const std::shared_ptr<const policy_table>& table() const { return table_; }

 private:
  std::shared_ptr<const policy_table> table_;
  route_index routes_;
  workspace_index workspaces_;
};

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_REQUEST_RESOLVER_H_
