#ifndef CORNELWEIR_SRC_OUTCOME_LIMITS_H_
#define CORNELWEIR_SRC_OUTCOME_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::outcome {

// Time that a hop keeps for the response's way back: a round trip between failure domains is 3 ms
// in the reference deployments.
inline constexpr kernel::microseconds kHopReserve = std::chrono::milliseconds(3);
// A hop keeps at most this part of the remaining time, so that a short deadline survives many hops.
inline constexpr std::int64_t kHopReserveDivisor = 10;

// The window over which a retry budget counts, and its resolution.
inline constexpr kernel::microseconds kRetryWindow = std::chrono::seconds(10);
inline constexpr kernel::microseconds kRetryBucket = std::chrono::seconds(1);
inline constexpr std::size_t kRequestBuckets = kRetryWindow / kRetryBucket;
// One bucket more than for requests: a retry is counted for at least the window, a request for at
// most the window. The budget therefore holds for every exact window.
inline constexpr std::size_t kRetryBuckets = kRequestBuckets + 1;
// Retries may be this part of the requests in the window.
inline constexpr std::int64_t kRequestsPerRetry = 10;
// Retries in a window that need no requests, so that a service with little traffic has some.
inline constexpr std::int64_t kRetryFloor = 3;

// Attempts of one request at one entry daemon, the first included.
inline constexpr int kMaxAttempts = 3;

// The part of a shared budget that requests sent again may use. A request that runs again makes its
// own calls again, and those count against the budgets of the services that it calls.
inline constexpr double kOwnRetryShare = 0.6;

}  // namespace cornelweir::outcome

#endif  // CORNELWEIR_SRC_OUTCOME_LIMITS_H_
