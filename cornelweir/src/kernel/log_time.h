#ifndef CORNELWEIR_SRC_KERNEL_LOG_TIME_H_
#define CORNELWEIR_SRC_KERNEL_LOG_TIME_H_

#include <cstdint>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/strong_id.h"

namespace cornelweir::kernel {

// A time stored in entries of the replicated log, in microseconds. Fields of replicated state use
// it instead of time_point, which has no meaning outside the host whose clock it came from.
using log_time = strong_id<struct log_time_tag, std::int64_t>;

constexpr log_time ToLogTime(time_point time) { return log_time(time.time_since_epoch().count()); }

constexpr time_point FromLogTime(log_time time) { return time_point(microseconds(time.value())); }

}  // namespace cornelweir::kernel

#endif  // CORNELWEIR_SRC_KERNEL_LOG_TIME_H_
