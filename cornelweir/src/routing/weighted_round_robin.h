#ifndef CORNELWEIR_SRC_ROUTING_WEIGHTED_ROUND_ROBIN_H_
#define CORNELWEIR_SRC_ROUTING_WEIGHTED_ROUND_ROBIN_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cornelweir::routing {

// Picks positions in turn such that each gets its weight's share of any run of picks, not only on
// average as chance would give (smooth weighted round robin).
class weighted_round_robin {
 public:
  // Each daemon starts elsewhere in the cycle, so that few requests at many daemons add up to the
  // shares, too.
  weighted_round_robin(std::vector<std::int64_t> weights, std::uint64_t start);

  // The position of the next pick. At least one weight must be positive.
  std::size_t Next();

  const std::vector<std::int64_t>& weights() const { return weights_; }

 private:
  std::vector<std::int64_t> weights_;
  std::vector<std::int64_t> credit_;
  std::int64_t sum_ = 0;
};

}  // namespace cornelweir::routing

#endif  // CORNELWEIR_SRC_ROUTING_WEIGHTED_ROUND_ROBIN_H_
