#ifndef CORNELWEIR_SRC_ROUTING_LIMITS_H_
#define CORNELWEIR_SRC_ROUTING_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::routing {

// A new upstream process gets a share of traffic that grows over this time: caches are cold.
inline constexpr kernel::microseconds kSlowStart = std::chrono::seconds(10);
// The share at the start. Above zero, so that the upstream warms up at all.
inline constexpr double kSlowStartFloor = 0.1;

// An upstream of the own failure domain with this part of its slots in use counts as loaded.
inline constexpr double kLoadedUse = 0.7;
// So does one that refuses or fails this part of its recent requests. One refusal is enough for a
// few seconds: each one costs a retry, which costs more than a hop to another failure domain.
inline constexpr double kLoadedPressure = 0.05;
// How much one full set of slots, or only refusals and failures, raises an upstream's cost.
inline constexpr double kUseCost = 4.0;
inline constexpr double kPressureCost = 4.0;
// Costs that differ by less count as equal: small differences are noise, and following them would
// send the traffic of every daemon to the same few upstreams.
inline constexpr double kCostTolerance = 1.25;

// Weight of one sample in the averages of latency and pressure.
inline constexpr double kSampleWeight = 0.1;
// Time in which an average of pressure falls to about a third without samples.
inline constexpr kernel::microseconds kPressureDecay = std::chrono::seconds(5);
// A latency older than this is not used: an upstream that was slow once is tried again.
inline constexpr kernel::microseconds kLatencyMemory = std::chrono::seconds(10);

// After a connection was refused the upstream gets nothing for this time, which doubles with each
// further refusal up to the lease after which the membership drops an upstream that is gone.
inline constexpr kernel::microseconds kFirstUnreachable = std::chrono::milliseconds(500);
inline constexpr kernel::microseconds kLongestUnreachable = std::chrono::seconds(5);

// Failures in a row that make an upstream count as failing.
inline constexpr int kFailuresInARow = 5;
// Or this part of at least so many requests in the window.
inline constexpr double kFailingShare = 0.5;
inline constexpr std::int64_t kFailureSample = 10;
inline constexpr kernel::microseconds kFailureWindow = std::chrono::seconds(10);

// At most one in kEjectableDivisor members of a subset is ejected, rounded down.
inline constexpr std::size_t kEjectableDivisor = 3;
// The first ejection; each further one lasts twice as long, up to the longest.
inline constexpr kernel::microseconds kFirstEjection = std::chrono::seconds(5);
inline constexpr kernel::microseconds kLongestEjection = std::chrono::minutes(5);
// After this time without ejection the next one is short again.
inline constexpr kernel::microseconds kEjectionMemory = std::chrono::minutes(10);
// Requests that must succeed one after another before an ejected upstream is trusted.
inline constexpr int kProbesToRecover = 3;

// The response time of upstreams of which none has answered yet.
inline constexpr kernel::microseconds kAssumedResponseTime = std::chrono::milliseconds(50);
// How much slower an upstream with all slots in use is taken to be than an idle one.
inline constexpr double kFillCost = 1.0;
// How much an upstream that fails every request is taken to be slower.
inline constexpr double kFailureCost = 10.0;
// What the way to an upstream is taken to cost, as a factor: its latency, and the bytes that cross
// from one failure domain to another.
inline constexpr double kOwnDomainCost = 1.0;
inline constexpr double kOtherDomainCost = 1.25;
inline constexpr double kOtherDomainLargeResponseCost = 5.0;

}  // namespace cornelweir::routing

#endif  // CORNELWEIR_SRC_ROUTING_LIMITS_H_
