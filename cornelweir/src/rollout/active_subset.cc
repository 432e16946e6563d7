#include "cornelweir/src/rollout/active_subset.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cornelweir::rollout {

std::vector<std::size_t> ActiveSubset(const std::vector<kernel::endpoint>& daemons,
                                      kernel::traffic_share share, std::uint64_t period) {
  std::vector<std::pair<std::uint64_t, std::size_t>> ranks;
  ranks.reserve(daemons.size());
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    const std::string& text = daemons[i].value();
    ranks.emplace_back(XXH3_64bits_withSeed(text.data(), text.size(), period), i);
  }
  const auto whole = static_cast<std::size_t>(kernel::kAllTraffic.value());
  const auto parts = daemons.size() * static_cast<std::size_t>(share.value());
  const std::size_t size = std::min((parts + whole - 1) / whole, daemons.size());
  std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(size), ranks.end());
  std::vector<std::size_t> subset;
  for (std::size_t i = 0; i < size; ++i) subset.push_back(ranks[i].second);
  return subset;
}

}  // namespace cornelweir::rollout
