#include "cornelweir/src/admission/credit_window.h"

#include <algorithm>
#include <utility>

namespace cornelweir::admission {

// Only the lowest delay of an interval counts: every grant waits if the link has a queue all the
// time, while a sender that pauses delays single grants.
void credit_window::OnArrived(kernel::microseconds delay, bool link_was_busy,
                              kernel::time_point now) {
  base_delay_ = std::min(base_delay_.value_or(delay), delay);
  if (!link_was_busy) return;
  if (!interval_delay_) interval_start_ = now;
  interval_delay_ = std::min(interval_delay_.value_or(delay), delay);
  if (now - interval_start_ < kCreditAdjustInterval) return;
  Adjust(*std::exchange(interval_delay_, std::nullopt) - *base_delay_);
}

void credit_window::Adjust(kernel::microseconds queue_time) {
  *base_delay_ += queue_time / kBaseDelayRiseDivisor;
  if (queue_time < kMinLinkQueueTime) {
    time_ = std::min(time_ * 5 / 4, kMaxCreditFactor * kCreditTime);
  } else if (queue_time > kMaxLinkQueueTime) {
    time_ = std::max(time_ * 4 / 5, kCreditTime);
  }
}

}  // namespace cornelweir::admission
