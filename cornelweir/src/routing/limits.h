#ifndef CORNELWEIR_SRC_ROUTING_LIMITS_H_
#define CORNELWEIR_SRC_ROUTING_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::routing {

// The share of traffic that a new upstream process receives grows over this time, since its caches
// are cold.
inline constexpr kernel::microseconds kSlowStartDuration = std::chrono::seconds(10);
// The share at the start of slow start. Above zero, so that the upstream warms up at all.
inline constexpr double kMinSlowStartShare = 0.1;

// An upstream of the own failure domain counts as loaded if at least this fraction of its slots is
// in use.
inline constexpr double kLoadedUtilization = 0.7;
// It also counts as loaded if at least this fraction of its recent requests was refused or failed.
// One refusal exceeds it for a few seconds, because the retry that a refusal costs is more
// expensive than a hop to another failure domain.
inline constexpr double kLoadedErrorRate = 0.05;
// How much an upstream's cost grows, relative to an idle and healthy one, when all its slots are in
// use, and when all its requests are refused or fail.
inline constexpr double kUtilizationCost = 4.0;
inline constexpr double kErrorRateCost = 4.0;
// Costs whose ratio is below this count as equal. Small differences are noise, and following them
// would send the traffic of every daemon to the same few upstreams.
inline constexpr double kCostTolerance = 1.25;

// Weight of a new sample in the moving averages of the latency and the error rate.
inline constexpr double kEwmaWeight = 0.1;
// Time constant of the exponential decay of the error rate: without samples it falls to about a
// third in this time.
inline constexpr kernel::microseconds kErrorRateDecayTime = std::chrono::seconds(5);
// A latency older than this is ignored, so that an upstream that was slow once is tried again.
inline constexpr kernel::microseconds kMaxLatencyAge = std::chrono::seconds(10);

// An upstream whose daemon refused a connection receives no requests for this time. It doubles with
// each further refusal, up to the lease after which the membership removes an upstream that is
// gone.
inline constexpr kernel::microseconds kMinUnreachableBackoff = std::chrono::milliseconds(500);
inline constexpr kernel::microseconds kMaxUnreachableBackoff = std::chrono::seconds(5);

// An upstream counts as failing after this many consecutive failures.
inline constexpr int kConsecutiveFailureThreshold = 5;
// It also counts as failing if at least this fraction of its requests in the window failed,
// provided that the window has at least kMinFailureRateRequests requests.
inline constexpr double kFailureRateThreshold = 0.5;
inline constexpr std::int64_t kMinFailureRateRequests = 10;
inline constexpr kernel::microseconds kFailureWindow = std::chrono::seconds(10);

// At most one in this many members of a subset is ejected, rounded down.
inline constexpr std::size_t kMembersPerEjection = 3;
// The length of the first ejection. Each further one is twice as long, up to the maximum.
inline constexpr kernel::microseconds kBaseEjectionTime = std::chrono::seconds(5);
inline constexpr kernel::microseconds kMaxEjectionTime = std::chrono::minutes(5);
// After this time without an ejection the next one has the base length again.
inline constexpr kernel::microseconds kEjectionCountResetTime = std::chrono::minutes(10);
// Probe requests that must succeed one after another before an ejected upstream is healthy again.
inline constexpr int kProbesToRecover = 3;

// The response time assumed while no upstream of the service has answered yet.
inline constexpr kernel::microseconds kDefaultResponseTime = std::chrono::milliseconds(50);
// How much the expected response time grows, as a fraction of that of a healthy upstream, when
// every request fails.
inline constexpr double kPeerFailureCost = 10.0;
// Reports of the queue and of stalls lose validity with this time constant. Stalls change every
// 600 ms, and queues with the run times.
inline constexpr kernel::microseconds kPeerReportLifetime = std::chrono::milliseconds(300);
// Reports of the wait at a service as a whole lose validity with this time constant. Below the
// minimum sum of their weights the wait is unknown.
inline constexpr kernel::microseconds kServiceWaitLifetime = std::chrono::seconds(1);
inline constexpr double kMinServiceWaitWeight = 0.3;
// An upstream is passed over if requests wait there longer than at the best one, by more than this
// percentage of the mean run time and the time that a large body takes on an idle link.
inline constexpr std::int64_t kPeerWaitTolerancePercent = 25;
// The objective of requests that have none.
inline constexpr kernel::microseconds kNoObjective = kernel::microseconds::max();
// Standard deviation of the logarithms of the run times of a route at one upstream. Most routes
// vary less; the rest covers the time on the network.
inline constexpr double kRunTimeLogDeviation = 0.5;
// An upstream at which a request would certainly miss its objective is chosen only if the others
// are ahead of their shares by more than this number of requests.
inline constexpr double kLatenessCost = 10;
// Bound of the requests by which an upstream can be behind or ahead of its share, so that one that
// was passed over for a while is not flooded afterwards.
inline constexpr double kMaxPeerCredit = 2;
// Factor on the requests with large bodies or responses that stay in the own failure domain.
inline constexpr double kLargeBodyDomainFactor = 2.5;

}  // namespace cornelweir::routing

#endif  // CORNELWEIR_SRC_ROUTING_LIMITS_H_
