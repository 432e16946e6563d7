#ifndef CORNELWEIR_SRC_POLICY_ROUTE_INDEX_H_
#define CORNELWEIR_SRC_POLICY_ROUTE_INDEX_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cornelweir/src/policy/policy_table.h"

namespace cornelweir::policy {

// Finds the route of a request. Refers to the table that it was built from, which must outlive it.
class route_index {
 public:
  route_index() = default;
  explicit route_index(const policy_table& table);

  // The route of this host with the longest path prefix that matches the path; null if none does.
  // The host is compared case-insensitively and without its port.
  const route* Match(std::string_view host, std::string_view path) const;

 private:
  // Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const route*>> hosts_;
};

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_ROUTE_INDEX_H_
