#ifndef CORNELWEIR_SRC_ADMISSION_CREDIT_WINDOW_H_
#define CORNELWEIR_SRC_ADMISSION_CREDIT_WINDOW_H_

#include <optional>

#include "cornelweir/src/admission/transfer_limits.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// How long the bytes that a host has granted may take its link. kCreditTime keeps the link busy if
// senders answer at once. The time grows while grants arrive without waiting for others on the
// link, because the network or the senders delay them, and shrinks when they wait too long.
class credit_window {
 public:
  // Records the arrival of a whole grant of at least kMinGrantBytes. delay is the time since it was
  // given; link_was_busy is whether much of what may be on the way was on the way then.
  void OnArrived(kernel::microseconds delay, bool link_was_busy, kernel::time_point now);
  // Records that nothing more is expected now.
  void OnIdle() { interval_delay_.reset(); }

  kernel::microseconds time() const { return time_; }
  // Time from a grant to its arrival without others on the link; zero if unknown.
  kernel::microseconds base_delay() const {
    return base_delay_.value_or(kernel::microseconds::zero());
  }

 private:
  void Adjust(kernel::microseconds queue_time);

  kernel::microseconds time_ = kCreditTime;
  // The lowest delay of a grant. That of the first one, on an idle link, has no queue in it.
  std::optional<kernel::microseconds> base_delay_;
  // The lowest delay since interval_start_ of a grant on a busy link.
  std::optional<kernel::microseconds> interval_delay_;
  kernel::time_point interval_start_;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_CREDIT_WINDOW_H_
