#ifndef CORNELWEIR_SRC_LOOP_STOP_TIME_H_
#define CORNELWEIR_SRC_LOOP_STOP_TIME_H_

#include <algorithm>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::loop {

// Reserved at the end of the grace period for the current callback, the log and the exit of the
// process: a tenth of a processor runs 40 ms of them in this time.
inline constexpr kernel::milliseconds kExitReserve{400};

// When a process stops its loop at the latest, so that it ends within the grace period after the
// request to stop.
inline kernel::time_point StopTime(kernel::time_point requested_at, kernel::milliseconds grace) {
  return requested_at + std::max(grace - kExitReserve, kernel::milliseconds::zero());
}

}  // namespace cornelweir::loop

#endif  // CORNELWEIR_SRC_LOOP_STOP_TIME_H_
