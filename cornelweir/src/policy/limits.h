#ifndef CORNELWEIR_SRC_POLICY_LIMITS_H_
#define CORNELWEIR_SRC_POLICY_LIMITS_H_

#include <cstddef>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::policy {

inline constexpr std::size_t kMaxRoutes = 20'000;
inline constexpr std::size_t kMaxServices = 2'000;
inline constexpr std::size_t kMaxSplitParts = 64;
// A caller that is kept waiting longer than this is better served by a job of its own.
inline constexpr kernel::milliseconds kMaxTimeout{600'000};
// An objective may lie this far above the timeout of its route, less one millisecond.
inline constexpr kernel::milliseconds kMaxObjectiveExcess{60'000};

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_LIMITS_H_
