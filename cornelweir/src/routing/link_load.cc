#include "cornelweir/src/routing/link_load.h"

#include <chrono>
#include <cmath>

namespace cornelweir::routing {
namespace internal {

// Time constant by which a reported backlog is assumed to shrink. A host with a backlog gets no
// bodies from this daemon, and so might not report that the backlog is gone.
constexpr double kBacklogDecaySeconds = 1.0;

}  // namespace internal

kernel::microseconds ExpectedTransferTime(const link_load& load, std::size_t body_bytes) {
  if (load.bytes_per_second <= 0) return {};
  const double age = std::chrono::duration<double>(load.report_age).count();
  const double backlog =
      static_cast<double>(load.missing_bytes) * std::exp(-age / internal::kBacklogDecaySeconds) +
      static_cast<double>(load.announced_since_report);
  constexpr double kMicrosecondsPerSecond = 1e6;
  return kernel::microseconds(static_cast<std::int64_t>(
      (backlog + static_cast<double>(body_bytes)) * kMicrosecondsPerSecond /
      static_cast<double>(load.bytes_per_second)));
}

}  // namespace cornelweir::routing
