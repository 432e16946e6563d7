#ifndef PROGRAMS_CORNELWEIRCTL_LIMITS_H_
#define PROGRAMS_CORNELWEIRCTL_LIMITS_H_

#include <chrono>
#include <cstddef>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::ctl {

// A table of 100,000 rows takes about 20 MB as JSON.
inline constexpr std::size_t kMaxReplyBytes = std::size_t{1} << 26;
inline constexpr kernel::milliseconds kAttemptTimeout{5'000};
// An election takes up to 1 s. The waits between 6 rounds add up to 5.75 s at most, half of that on
// average.
inline constexpr int kRounds = 6;
inline constexpr kernel::milliseconds kFirstWait{250};
inline constexpr kernel::milliseconds kLongestWait{2'000};
inline constexpr kernel::milliseconds kWatchInterval{500};
inline constexpr kernel::milliseconds kWatchTimeout{60'000};
inline constexpr kernel::milliseconds kTopInterval{1'000};

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_LIMITS_H_
