#ifndef CORNELWEIR_SRC_POLICY_LIMITS_H_
#define CORNELWEIR_SRC_POLICY_LIMITS_H_

#include <cstddef>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::policy {

inline constexpr std::size_t kMaxRoutes = 20'000;
inline constexpr std::size_t kMaxServices = 2'000;
inline constexpr std::size_t kMaxSplitParts = 64;
inline constexpr std::size_t kMaxWorkspaces = 20'000;
inline constexpr std::size_t kMaxWorkspaceKeys = 64;
inline constexpr std::size_t kMaxKeyBytes = 512;
// Findings that a check of one policy reports at most: a malformed document may have millions.
inline constexpr std::size_t kMaxFindings = 1'000;
// Work that takes longer than this should run as an asynchronous job instead of keeping a caller
// waiting.
inline constexpr kernel::milliseconds kMaxTimeout{600'000};
// The latency objective of a route must be less than its timeout plus this.
inline constexpr kernel::milliseconds kMaxObjectiveExcess{60'000};

constexpr bool IsObjectiveTooLong(kernel::nanoseconds objective, kernel::nanoseconds timeout) {
  return objective >= timeout + kMaxObjectiveExcess;
}

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_LIMITS_H_
