#include "cornelweir/src/quota/workspace_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "cornelweir/src/quota/limits.h"

namespace cornelweir::quota {

using seconds = std::chrono::duration<double>;

namespace internal {

// Requests by which a window may exceed (rate x window + burst).
double AllowedOvershoot(const workspace_limit& limit, const quota_limits& limits) {
  const double in_window = kernel::RequestsPerSecond(limit.rate) * seconds(limits.window).count() +
                           kernel::Requests(limit.burst);
  return limits.overshoot * in_window + limits.slack;
}

}  // namespace internal

double workspace_limit::Capacity() const { return std::max(1.0, kernel::Requests(burst)); }

kernel::microseconds workspace_limit::TokenLifetime(const quota_limits& limits) const {
  const seconds allowed(kLifetimeShare * internal::AllowedOvershoot(*this, limits) /
                        kernel::RequestsPerSecond(rate));
  return std::chrono::duration_cast<kernel::microseconds>(
      std::min(allowed, seconds(kMaxTokenLifetime)));
}

std::int64_t workspace_limit::MaxReserve(const quota_limits& limits) const {
  return static_cast<std::int64_t>(
      std::floor(kReserveShare * internal::AllowedOvershoot(*this, limits)));
}

}  // namespace cornelweir::quota
