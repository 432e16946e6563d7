#include "cornelweir/src/routing/weighted_round_robin.h"

#include <numeric>
#include <utility>

namespace cornelweir::routing {

weighted_round_robin::weighted_round_robin(std::vector<std::int64_t> weights,
                                           std::uint64_t start_offset)
    : weights_(std::move(weights)),
      credit_(weights_.size(), 0),
      sum_(std::accumulate(weights_.begin(), weights_.end(), std::int64_t{0})) {
  if (sum_ <= 0) return;
  const auto skipped = static_cast<std::int64_t>(start_offset % static_cast<std::uint64_t>(sum_));
  for (std::int64_t i = 0; i < skipped; ++i) Next();
}

std::size_t weighted_round_robin::Next() {
  std::size_t best = 0;
  for (std::size_t i = 0; i < weights_.size(); ++i) {
    credit_[i] += weights_[i];
    if (credit_[i] > credit_[best]) best = i;
  }
  credit_[best] -= sum_;
  return best;
}

}  // namespace cornelweir::routing
