#ifndef CORNELWEIR_PLUGINS_WALL_CLOCK_H_
#define CORNELWEIR_PLUGINS_WALL_CLOCK_H_

#include <chrono>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::plugins {

// Return the time since 1970-01-01 UTC, for output to people or to other hosts. Decisions use the
// monotonic clock.
inline kernel::microseconds SinceEpoch() {
  return std::chrono::duration_cast<kernel::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

inline kernel::milliseconds SinceEpochMs() {
  return std::chrono::duration_cast<kernel::milliseconds>(SinceEpoch());
}

}  // namespace cornelweir::plugins

#endif  // CORNELWEIR_PLUGINS_WALL_CLOCK_H_
