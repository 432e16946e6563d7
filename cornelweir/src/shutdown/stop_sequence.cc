#include "cornelweir/src/shutdown/stop_sequence.h"

#include <algorithm>

#include "cornelweir/src/shutdown/limits.h"

namespace cornelweir::shutdown {

void stop_sequence::Begin(kernel::time_point now, kernel::time_point stop_at) {
  if (stopping()) return;
  phase_ = stop_phase::kLeaving;
  finish_at_ = stop_at - kLinkCloseReserve;
  // A short grace period leaves half of it to the requests taken until then.
  const kernel::microseconds left = std::max(finish_at_ - now, kernel::microseconds::zero());
  accept_until_ = now + std::min(kernel::microseconds(kReadinessPropagationTime), left / 2);
}

// Callers of a process that has none, and had none recently, learn that it is not ready before they
// send anything.
bool stop_sequence::IsUnused(kernel::time_point now, const stop_work& work) const {
  return !work.in_progress && !work.callers_connected &&
         now - work.last_request_at >= kReadinessPropagationTime;
}

stop_phase stop_sequence::Advance(kernel::time_point now, const stop_work& work) {
  switch (phase_) {
    case stop_phase::kLeaving:
      if (now >= accept_until_ || IsUnused(now, work)) phase_ = stop_phase::kDraining;
      break;
    case stop_phase::kDraining:
      if (now >= finish_at_ || (!work.in_progress && !work.callers_connected)) {
        phase_ = stop_phase::kClosing;
      }
      break;
    case stop_phase::kServing:
    case stop_phase::kClosing:
      break;
  }
  return phase_;
}

}  // namespace cornelweir::shutdown
