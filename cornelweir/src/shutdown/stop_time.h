#ifndef CORNELWEIR_SRC_SHUTDOWN_STOP_TIME_H_
#define CORNELWEIR_SRC_SHUTDOWN_STOP_TIME_H_

#include <algorithm>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/shutdown/limits.h"

namespace cornelweir::shutdown {

// When a process stops its loop at the latest, so that it ends within the grace period after the
// request to stop.
inline kernel::time_point StopTime(kernel::time_point requested_at, kernel::milliseconds grace) {
  return requested_at + std::max(grace - kExitReserve, kernel::milliseconds::zero());
}

}  // namespace cornelweir::shutdown

#endif  // CORNELWEIR_SRC_SHUTDOWN_STOP_TIME_H_
