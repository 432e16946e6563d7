#ifndef CORNELWEIR_SRC_ROUTING_WEIGHTED_ROUND_ROBIN_H_
#define CORNELWEIR_SRC_ROUTING_WEIGHTED_ROUND_ROBIN_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cornelweir::routing {

// Smooth weighted round robin over indexes: in any run of consecutive picks, not only on average,
// each index is picked in proportion to its weight.
class weighted_round_robin {
 public:
  // Skips the first start_offset picks of the cycle. With a random offset at each daemon the
  // proportions also hold over many daemons with few requests each.
  weighted_round_robin(std::vector<std::int64_t> weights, std::uint64_t start_offset);

  // Returns the index of the next pick. At least one weight must be positive.
  std::size_t Next();

  const std::vector<std::int64_t>& weights() const { return weights_; }

 private:
  std::vector<std::int64_t> weights_;
  // How far each index is behind its share, times the sum of the weights.
  std::vector<std::int64_t> credit_;
  std::int64_t sum_ = 0;
};

}  // namespace cornelweir::routing

#endif  // CORNELWEIR_SRC_ROUTING_WEIGHTED_ROUND_ROBIN_H_
