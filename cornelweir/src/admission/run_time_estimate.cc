#include "cornelweir/src/admission/run_time_estimate.h"

#include <algorithm>

#include "cornelweir/src/admission/limits.h"

namespace cornelweir::admission {

void run_time_estimate::AddSample(kernel::microseconds sample, kernel::time_point now) {
  updated_at_ = now;
  if (mean_.count() == 0) {
    mean_ = sample;
    deviation_ = sample / 4;
    return;
  }
  const kernel::microseconds distance = sample - mean_;
  mean_ += distance / kRunTimeMeanDivisor;
  deviation_ += (std::chrono::abs(distance) - deviation_) / kRunTimeDeviationDivisor;
}

void run_time_estimate::OnCompleted(kernel::microseconds run_time, kernel::time_point now) {
  AddSample(std::max(run_time, kernel::microseconds(1)), now);
}

// A run that was given up before the mean run time had passed tells nothing about the run time.
void run_time_estimate::OnTimeout(kernel::microseconds elapsed, kernel::time_point now) {
  if (elapsed > mean_) AddSample(elapsed, now);
}

kernel::microseconds run_time_estimate::Safe(kernel::microseconds time_limit,
                                             kernel::time_point now) const {
  const std::int64_t halvings =
      std::clamp<std::int64_t>((now - updated_at_) / kDeviationHalfLife, 0, 30);
  const kernel::microseconds spread = deviation_ * kSafeDeviations / (std::int64_t{1} << halvings);
  return std::min(mean_ + spread, time_limit * kMaxSafeRunTimePercent / 100);
}

}  // namespace cornelweir::admission
