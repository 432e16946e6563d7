#include "cornelweir/src/admission/rate_limiter.h"

#include <algorithm>

#include "cornelweir/src/admission/limits.h"

namespace cornelweir::admission {

void rate_limiter::SetRate(std::optional<kernel::request_rate> rate, kernel::time_point now) {
  if (rate) rate = std::max(*rate, kMinRate);
  if (!rate_) paid_until_ = now + kRateCreditTime;
  rate_ = rate;
}

kernel::microseconds rate_limiter::Interval() const {
  // A rate of one thousandth is one request in 1000 s.
  return kernel::microseconds(std::chrono::seconds(1'000)) / rate_->value();
}

kernel::microseconds rate_limiter::WaitFor(std::int64_t requests, kernel::time_point now) const {
  if (!rate_) return kernel::microseconds::zero();
  const kernel::time_point last_start =
      std::max(paid_until_, now) + Interval() * (requests - 1) - kRateCreditTime;
  return std::max(last_start - now, kernel::microseconds::zero());
}

void rate_limiter::OnStart(kernel::time_point now) {
  if (rate_) paid_until_ = std::max(paid_until_, now) + Interval();
}

}  // namespace cornelweir::admission
