#ifndef CORNELWEIR_SRC_LOOP_LIMITS_H_
#define CORNELWEIR_SRC_LOOP_LIMITS_H_

#include <chrono>

namespace cornelweir::loop {

// If the process has no free file descriptors, accept fails immediately each time; the delay keeps
// the loop from spinning until some are released.
inline constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

}  // namespace cornelweir::loop

#endif  // CORNELWEIR_SRC_LOOP_LIMITS_H_
