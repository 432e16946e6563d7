#ifndef CORNELWEIR_SRC_QUARANTINE_LIMITS_H_
#define CORNELWEIR_SRC_QUARANTINE_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::quarantine {

inline constexpr kernel::microseconds kQuarantineTime = std::chrono::minutes(10);
// How long a crash counts against a fingerprint.
inline constexpr kernel::microseconds kSuspicionTime = std::chrono::hours(1);
// Fingerprints with at least one crash. Memory is a few hundred bytes each.
inline constexpr std::size_t kMaxSuspects = 10'000;
inline constexpr std::size_t kMaxQuarantined = 1'000;

// Crashes of different incarnations that are needed in any case.
inline constexpr std::size_t kMinCrashes = 2;
// Crashes that are enough whatever else was in progress. Bounds the damage of a request that
// always runs beside many others.
inline constexpr std::size_t kMaxCrashes = 4;
// A crash with n requests in progress is evidence of kFullEvidence / n against each of them.
inline constexpr std::int64_t kFullEvidence = 1'000;
// Two crashes are enough if at most 8 requests were in progress at each.
inline constexpr std::int64_t kQuarantineEvidence = kFullEvidence / 4;

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_LIMITS_H_
