#ifndef CORNELWEIR_SRC_QUARANTINE_LIMITS_H_
#define CORNELWEIR_SRC_QUARANTINE_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::quarantine {

inline constexpr kernel::microseconds kQuarantineTime = std::chrono::minutes(10);
// How long a crash counts against a request. Longer than a quarantine, so that a request that is
// sent again after its quarantine needs only one more crash.
inline constexpr kernel::microseconds kSuspicionTime = std::chrono::hours(1);
// Requests with at least one crash. Memory is about 400 bytes each.
inline constexpr std::size_t kMaxSuspects = 10'000;
inline constexpr std::size_t kMaxQuarantined = 1'000;
// Requests of one crash that are looked at. Upstreams have 6 to 20 slots.
inline constexpr std::size_t kMaxReportedRequests = 256;

// Crashes of different incarnations that are needed in any case.
inline constexpr std::size_t kMinCrashes = 2;
// Crashes that are enough whatever else was in progress. Bounds the damage of a request that
// always runs beside the same others.
inline constexpr std::size_t kMaxCrashes = 4;
// Crashes remembered per request, so that a late copy of a report does not count again.
inline constexpr std::size_t kRememberedCrashes = 16;
// A crash with n requests in progress is evidence of kFullEvidence / n against each of them.
inline constexpr std::int64_t kFullEvidence = 1'000;
// Two crashes are enough if at most 8 requests were in progress at each.
inline constexpr std::int64_t kQuarantineEvidence = kFullEvidence / 4;

// A request that completed on an upstream within this time is no suspect when the upstream
// crashes. Short, so that a request that has become harmful is soon reported.
inline constexpr kernel::microseconds kCompletionMemory = std::chrono::seconds(10);
// Completed requests that are remembered; a power of two.
inline constexpr std::size_t kRememberedCompletions = 1'024;

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_LIMITS_H_
