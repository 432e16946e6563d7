#include "cornelweir/src/kernel/nearest_name.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace cornelweir::kernel {
namespace internal {

// Bounds the quadratic cost of the comparison; no known name is longer.
constexpr std::size_t kMaxComparedBytes = 128;

// Levenshtein distance with one row of the table in memory.
std::size_t EditDistance(std::string_view from, std::string_view to) {
  std::vector<std::size_t> row(to.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < from.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < to.size(); ++j) {
      const std::size_t substituted = diagonal + (from[i] == to[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({substituted, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

}  // namespace internal

std::string_view NearestName(std::string_view misspelt,
                             const std::vector<std::string_view>& known) {
  if (misspelt.size() > internal::kMaxComparedBytes) return {};
  std::string_view nearest;
  std::size_t least = misspelt.size();
  for (const std::string_view name : known) {
    const std::size_t distance = internal::EditDistance(misspelt, name);
    if (distance >= least || distance * 2 > std::max(misspelt.size(), name.size())) continue;
    least = distance;
    nearest = name;
  }
  return nearest;
}

}  // namespace cornelweir::kernel
