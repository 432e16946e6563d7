#include "cornelweir/src/distribution/relay_tree.h"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <utility>

#include "cornelweir/src/distribution/limits.h"
#include "cornelweir/src/membership/upstream_record.h"

namespace cornelweir::distribution {
namespace internal {

std::uint64_t HashOf(const std::string& text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace internal

std::vector<relay_candidate> RelayCandidates(const membership::member_history& members,
                                             const kernel::service_name& service) {
  std::vector<relay_candidate> candidates;
  for (const kernel::upstream_id& id : members.MembersOf(service)) {
    const membership::upstream_record& record = members.members().at(id);
    if (record.state >= membership::upstream_state::kDraining) continue;
    if (record.daemon_control.value().empty()) continue;
    candidates.push_back(relay_candidate{record.host, record.daemon_control});
  }
  return candidates;
}

relay_tree::relay_tree(std::vector<relay_candidate> candidates) {
  std::vector<std::pair<std::uint64_t, relay_candidate>> hashed;
  hashed.reserve(candidates.size());
  for (relay_candidate& candidate : candidates) {
    const std::uint64_t hash = internal::HashOf(candidate.host.value(), 0);
    hashed.emplace_back(hash, std::move(candidate));
  }
  std::sort(hashed.begin(), hashed.end(), [](const auto& left, const auto& right) {
    return std::tie(left.first, left.second.host, left.second.endpoint) <
           std::tie(right.first, right.second.host, right.second.endpoint);
  });
  for (auto& [hash, candidate] : hashed) {
    // Several upstreams may share one host and its daemon.
    if (!candidates_.empty() && candidates_.back().host == candidate.host) continue;
    candidates_.push_back(std::move(candidate));
  }
  std::size_t level_size = std::min(kRootsPerService, candidates_.size());
  std::size_t end = level_size;
  level_ends_.push_back(end);
  while (candidates_.size() - end > level_size * kTargetChildren) {
    const std::size_t remaining = candidates_.size() - end;
    const std::size_t required = (remaining + kTargetChildren) / (kTargetChildren + 1);
    level_size = std::min(level_size * kTargetChildren, required);
    end += level_size;
    level_ends_.push_back(end);
  }
}

bool relay_tree::IsRoot(const kernel::host_id& host) const {
  const auto end = candidates_.begin() + static_cast<std::ptrdiff_t>(level_ends_.front());
  return std::any_of(candidates_.begin(), end,
                     [&](const relay_candidate& candidate) { return candidate.host == host; });
}

bool relay_tree::Contains(const kernel::host_id& host) const {
  return std::any_of(candidates_.begin(), candidates_.end(),
                     [&](const relay_candidate& candidate) { return candidate.host == host; });
}

std::vector<kernel::endpoint> relay_tree::ParentsOf(const kernel::host_id& host) const {
  const auto found =
      std::find_if(candidates_.begin(), candidates_.end(),
                   [&](const relay_candidate& candidate) { return candidate.host == host; });
  const auto position = static_cast<std::size_t>(found - candidates_.begin());
  std::size_t begin = 0;
  std::size_t end = 0;
  for (const std::size_t level_end : level_ends_) {
    if (position < level_end) break;
    begin = end;
    end = level_end;
  }
  std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
  for (std::size_t index = begin; index < end; ++index) {
    const std::uint64_t seed = internal::HashOf(host.value(), 1);
    ranked.emplace_back(internal::HashOf(candidates_[index].host.value(), seed), index);
  }
  const std::size_t count = std::min(kMaxRedirectCandidates, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  std::vector<kernel::endpoint> parents;
  for (std::size_t index = 0; index < count; ++index) {
    parents.push_back(candidates_[ranked[index].second].endpoint);
  }
  return parents;
}

}  // namespace cornelweir::distribution
