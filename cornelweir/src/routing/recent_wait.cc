#include "cornelweir/src/routing/recent_wait.h"

#include <cmath>

#include "cornelweir/src/routing/limits.h"

namespace cornelweir::routing {

void recent_wait::Add(kernel::microseconds wait, kernel::microseconds age) {
  const double weight = std::exp(-std::chrono::duration<double>(age) /
                                 std::chrono::duration<double>(kServiceWaitLifetime));
  weighted_sum_us_ += weight * static_cast<double>(wait.count());
  weight_ += weight;
}

kernel::microseconds recent_wait::Mean() const {
  if (weight_ < kMinServiceWaitWeight) return {};
  return kernel::microseconds(std::llround(weighted_sum_us_ / weight_));
}

}  // namespace cornelweir::routing
