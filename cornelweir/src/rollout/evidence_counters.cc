#include "cornelweir/src/rollout/evidence_counters.h"

#include "cornelweir/src/rollout/limits.h"

namespace cornelweir::rollout {

void evidence_counters::Restart(kernel::time_point now) {
  routes_.clear();
  started_at_ = now;
}

void evidence_counters::Record(const kernel::route_name& route, run_end end,
                               kernel::microseconds run_time, bool warming_up,
                               kernel::time_point now) {
  if (end == run_end::kBroken) {
    // The end of one upstream process breaks all of its connections. That is one fault.
    const bool repeated = last_broken_at_ && now - *last_broken_at_ < kSameFaultTime;
    last_broken_at_ = now;
    if (repeated) return;
  }
  const auto found = routes_.find(route);
  if (found == routes_.end() && routes_.size() >= kMaxCountedRoutes) return;
  route_evidence& counted = found != routes_.end() ? found->second : routes_[route];
  ++counted.responses;
  if (end != run_end::kSuccess) ++counted.failures;
  const bool measured = end == run_end::kSuccess || end == run_end::kTimeout;
  if (measured && !warming_up) counted.run_times.Add(run_time);
}

}  // namespace cornelweir::rollout
