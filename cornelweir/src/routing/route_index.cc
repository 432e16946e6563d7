#include "cornelweir/src/routing/route_index.h"

#include <variant>

#include "cornelweir/src/table/limits.h"
#include "cornelweir/src/table/row_key.h"

namespace cornelweir::routing {
namespace internal {

std::string_view WithoutTrailingSlash(std::string_view path) {
  while (path.ends_with('/')) path.remove_suffix(1);
  return path;
}

}  // namespace internal

route_index::route_index(const table::row_map& rows) {
  for (const auto& [key, content] : rows) {
    const auto* route = std::get_if<table::route_row>(&content);
    if (route == nullptr) continue;
    const auto* service = table::FindRow<table::service_row>(rows, table::KeyOf(route->service));
    if (service == nullptr) continue;
    const auto* limit = table::FindRow<table::limit_row>(rows, table::KeyOf(service->limit));
    const auto* wait = table::FindRow<table::wait_row>(rows, table::KeyOf(service->wait));
    if (limit == nullptr || wait == nullptr) continue;
    // Of prefixes that differ only in trailing slashes, the route that is first by name wins, so
    // that all daemons agree.
    routes_.try_emplace(std::string(internal::WithoutTrailingSlash(route->path_prefix)),
                        route_match{kernel::route_name(key.name), *route, *limit, *wait});
  }
}

const route_match* route_index::Find(std::string_view path) const {
  if (!path.starts_with('/')) return nullptr;
  path = path.substr(0, path.find_first_of("?#"));
  // No prefix is longer than this. Cutting the path bounds the number of lookups for long paths.
  if (path.size() > table::kMaxPathPrefixBytes) {
    path = path.substr(0, path.substr(0, table::kMaxPathPrefixBytes + 1).rfind('/'));
  }
  path = internal::WithoutTrailingSlash(path);
  while (true) {
    const auto found = routes_.find(path);
    if (found != routes_.end()) return &found->second;
    if (path.empty()) return nullptr;
    path = path.substr(0, path.rfind('/'));
  }
}

}  // namespace cornelweir::routing
