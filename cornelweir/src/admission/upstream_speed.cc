#include "cornelweir/src/admission/upstream_speed.h"

#include <algorithm>

#include "cornelweir/src/admission/limits.h"

namespace cornelweir::admission {

void upstream_speed::slow_average::Add(kernel::microseconds sample) {
  samples = std::min(samples + 1, kUsualRunTimeDivisor);
  mean += (sample - mean) / samples;
}

void upstream_speed::OnRun(const kernel::route_name& route, kernel::microseconds run_time) {
  slow_average& of_route = usual_by_route_[route];
  of_route.Add(run_time);
  usual_.Add(run_time);
  const std::int64_t percent =
      run_time.count() * 100 / std::max<std::int64_t>(of_route.mean.count(), 1);
  slowdown_percent_ += (percent - slowdown_percent_) / kSlowdownDivisor;
}

}  // namespace cornelweir::admission
