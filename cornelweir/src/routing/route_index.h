#ifndef CORNELWEIR_SRC_ROUTING_ROUTE_INDEX_H_
#define CORNELWEIR_SRC_ROUTING_ROUTE_INDEX_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cornelweir/src/routing/route_match.h"
#include "cornelweir/src/table/configuration.h"

namespace cornelweir::routing {

// Finds the route of a path in one version of the table.
class route_index {
 public:
  route_index() = default;
  explicit route_index(const table::row_map& rows);

  // The route with the longest prefix that ends at a segment boundary of the path: the prefix
  // "/forms" matches "/forms" and "/forms/7" but not "/formsheet". Trailing slashes of a prefix and
  // the query or fragment of the path are ignored. Null if no route matches.
  const route_match* Find(std::string_view path) const;

  std::size_t size() const { return routes_.size(); }

 private:
  struct string_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };

  std::unordered_map<std::string, route_match, string_hash, std::equal_to<>> routes_;
};

}  // namespace cornelweir::routing

#endif  // CORNELWEIR_SRC_ROUTING_ROUTE_INDEX_H_
