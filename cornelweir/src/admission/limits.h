#ifndef CORNELWEIR_SRC_ADMISSION_LIMITS_H_
#define CORNELWEIR_SRC_ADMISSION_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// One in so many admissions from the queue goes to a lower class even while a higher one waits.
// Callers choose the class themselves, so a strict order would let some tenants starve others.
inline constexpr std::int64_t kLowerClassTurn = 8;

// The lease of an announced upstream, after which every daemon that is connected has learned of a
// change to the membership.
inline constexpr kernel::microseconds kShareLease = std::chrono::seconds(5);
// Memberships of the last lease time that are remembered.
inline constexpr std::size_t kMaxRememberedMemberships = 16;

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_LIMITS_H_
