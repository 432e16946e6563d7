#ifndef CORNELWEIR_SRC_OUTCOME_LIMITS_H_
#define CORNELWEIR_SRC_OUTCOME_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::outcome {

// Time that a hop reserves for the way back of the response. A round trip between failure domains
// takes 3 ms in the reference deployments.
inline constexpr kernel::microseconds kHopReserve = std::chrono::milliseconds(3);
// A hop reserves at most 1 / kHopReserveDivisor of the time left, so that many hops do not use up a
// short deadline.
inline constexpr std::int64_t kHopReserveDivisor = 10;

// The sliding window over which a retry budget counts, and its resolution.
inline constexpr kernel::microseconds kRetryWindow = std::chrono::seconds(10);
inline constexpr kernel::microseconds kRetryBucket = std::chrono::seconds(1);
inline constexpr std::size_t kRequestBuckets = kRetryWindow / kRetryBucket;
// One bucket more than for requests, so that a retry counts for at least the length of the window
// and a request for at most that. The budget therefore holds in every window of exact length.
inline constexpr std::size_t kRetryBuckets = kRequestBuckets + 1;
// One retry is allowed for this many requests in the window.
inline constexpr std::int64_t kRequestsPerRetry = 10;
// Retries allowed in a window in addition, so that a service with little traffic has some.
inline constexpr std::int64_t kBaseRetries = 3;

// Attempts for one request by the daemon that received it from the caller, including the first one.
inline constexpr int kMaxAttempts = 3;

// The fractions of the ratio and of the slack of a shared budget that are used. A request that runs
// again repeats its calls, which count as retries of the services called. Those that the ratio
// allows are covered by the ratio of these services, since every call is also one of their
// requests; those that the slack allows are not. The rest covers counting errors: which calls come
// from a retry is only estimated, and a daemon that restarts forgets its retries.
inline constexpr double kUsedRatio = 0.6;
inline constexpr double kUsedSlack = 0.4;

}  // namespace cornelweir::outcome

#endif  // CORNELWEIR_SRC_OUTCOME_LIMITS_H_
