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

// How long requests hold a slot, before the first one has ended.
inline constexpr kernel::microseconds kAssumedRunTime = std::chrono::milliseconds(50);
// Weight of one run in the mean, as a divisor.
inline constexpr std::int64_t kRunTimeSmoothing = 16;
// A request with less than this part of the mean run time left is not worth starting.
inline constexpr std::int64_t kLeastRunTimePercent = 60;
// A request may be expected to end later than its objective by this part of the time from there to
// its deadline. The mean hides a long tail, and a late response is worth less than one elsewhere.
inline constexpr std::int64_t kLateSharePercent = 30;

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_LIMITS_H_
