#include "cornelweir/src/kernel/nearest_name.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace cornelweir::kernel {
namespace internal {

// Bounds the quadratic cost of EditDistance(); no known name is longer.
constexpr std::size_t kMaxComparedBytes = 128;

// Returns the Levenshtein distance; keeps one row of the distance table in memory.
std::size_t EditDistance(std::string_view source, std::string_view target) {
  std::vector<std::size_t> row(target.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < source.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < target.size(); ++j) {
      const std::size_t substitution_cost = diagonal + (source[i] == target[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({substitution_cost, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

}  // namespace internal

std::string_view NearestName(std::string_view unknown,
                             const std::vector<std::string_view>& known_names) {
  if (unknown.size() > internal::kMaxComparedBytes) return {};
  std::string_view nearest_name;
  std::size_t min_distance = unknown.size();
  for (const std::string_view name : known_names) {
    const std::size_t distance = internal::EditDistance(unknown, name);
    if (distance >= min_distance || distance * 2 > std::max(unknown.size(), name.size())) continue;
    min_distance = distance;
    nearest_name = name;
  }
  return nearest_name;
}

}  // namespace cornelweir::kernel
