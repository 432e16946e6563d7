#ifndef CORNELWEIR_SRC_ADMISSION_RATE_LIMITER_H_
#define CORNELWEIR_SRC_ADMISSION_RATE_LIMITER_H_

#include <cstdint>
#include <optional>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// Spaces the starts of requests so that they keep within a rate. Time without starts is credited up
// to kRateCreditTime, so that requests that arrive at random need not wait for each other. The
// starts in any period are at most one more than the rate allows in that period and the credit.
class rate_limiter {
 public:
  // Sets the rate, or removes the limit. The first rate after none begins without credit. Rates
  // below kMinRate count as kMinRate.
  void SetRate(std::optional<kernel::request_rate> rate, kernel::time_point now);
  const std::optional<kernel::request_rate>& rate() const { return rate_; }

  // The time until the given number of further requests may have started; zero without a limit.
  kernel::microseconds WaitFor(std::int64_t requests, kernel::time_point now) const;
  void OnStart(kernel::time_point now);

 private:
  // The mean time between two starts. Requires a rate.
  kernel::microseconds Interval() const;

  std::optional<kernel::request_rate> rate_;
  // The end of the time that the requests started so far take up at the rate.
  kernel::time_point paid_until_;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_RATE_LIMITER_H_
