#include "cornelweir/src/quota/workspace_limit.h"

#include <algorithm>
#include <chrono>

#include "cornelweir/src/quota/limits.h"

namespace cornelweir::quota {

double workspace_limit::Capacity() const { return std::max(1.0, kernel::Requests(burst)); }

kernel::microseconds workspace_limit::TokenLifetime(const quota_limits& limits) const {
  using seconds = std::chrono::duration<double>;
  const double per_second = kernel::RequestsPerSecond(rate);
  const double in_window = per_second * seconds(limits.window).count() + kernel::Requests(burst);
  const seconds allowed(kLifetimeShare * (limits.overshoot * in_window + limits.slack) /
                        per_second);
  return std::chrono::duration_cast<kernel::microseconds>(
      std::min(allowed, seconds(kMaxTokenLifetime)));
}

}  // namespace cornelweir::quota
