#ifndef CORNELWEIR_SRC_ADMISSION_LIMITS_H_
#define CORNELWEIR_SRC_ADMISSION_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// While requests of several classes can be admitted from the queue, one admission in this many goes
// to a lower class. Callers choose the class themselves, so strict priority would let some
// workspaces starve others.
inline constexpr std::int64_t kLowerClassInterval = 8;

// The lease of an announced upstream. Every connected daemon learns of a change to the membership
// within this time.
inline constexpr kernel::microseconds kShareLease = std::chrono::seconds(5);
// Maximum number of memberships of the last lease time that are kept.
inline constexpr std::size_t kMaxRememberedMemberships = 16;

// Mean run time that is assumed until the first request of an upstream has completed.
inline constexpr kernel::microseconds kInitialRunTimeEstimate = std::chrono::milliseconds(50);
// A new sample has a weight of 1/kMovingAverageDivisor in an exponential moving average.
inline constexpr std::int64_t kMovingAverageDivisor = 16;
// A request is refused if less than this part of its route's mean run time is left before its
// deadline.
inline constexpr std::int64_t kMinRemainingRunTimePercent = 60;
// Requests of a route that are needed before it can be classified as nested, and the number of its
// requests after which a caller that sent none of them is dropped from its callers.
inline constexpr std::uint64_t kMinRequestsToClassify = 24;
inline constexpr std::uint64_t kCallerExpiryRequests = 128;

// Time without starts that is credited to an upstream with a rate limit.
inline constexpr kernel::microseconds kRateCreditTime = std::chrono::milliseconds(500);
// One request in 4 s. An upstream that takes none at all would never be asked again, and so could
// not lift its limit.
inline constexpr kernel::request_rate kMinRate{250};

// The priority of a request that goes before all others.
inline constexpr std::int32_t kMostUrgent = std::numeric_limits<std::int32_t>::min();

// The run time that is expected of a queued request, in percent of the mean. It is above the mean
// because run times have a long tail.
inline constexpr std::int64_t kPlannedRunTimePercent = 120;
inline constexpr std::int64_t kMeanRunTimePercent = 100;

// A nested request waits for another one of its priority only if the run of that takes at most this
// many times as long as its own.
inline constexpr std::int64_t kMaxDeferralWorkFactor = 3;

// A new sample has a weight of 1/kRunTimeMeanDivisor in the mean run time of a route, and of
// 1/kRunTimeDeviationDivisor in its mean deviation.
inline constexpr std::int64_t kRunTimeMeanDivisor = 8;
inline constexpr std::int64_t kRunTimeDeviationDivisor = 4;
// Most runs end within the mean and this many mean deviations.
inline constexpr std::int64_t kSafeDeviations = 2;
inline constexpr kernel::microseconds kDeviationHalfLife = std::chrono::seconds(1);
// Upper bound of the run time with which deadlines are checked, in percent of the route's timeout.
inline constexpr std::int64_t kMaxSafeRunTimePercent = 60;

// Number of runs over which the usual run time is averaged. Over fewer, the mix of routes varies.
inline constexpr std::int64_t kUsualRunTimeDivisor = 64;
// A run has a weight of 1/kSlowdownDivisor in the present slowdown: a stall shows after three runs.
inline constexpr std::int64_t kSlowdownDivisor = 4;

// A route or workspace gets at least a quarter of the mean work per route or workspace. Its
// requests are protected below a higher fraction: with 0.25 it got 0.23, since requests that arrive
// between two decisions are not protected.
inline constexpr double kMinShareOfMean = 0.3;
// A route is accepted at least this much as often as all requests at an upstream. The target is a
// quarter of the mean of the whole mesh, which is above the mean of an upstream that is short of
// slots: with 0.3, a route earned 0.252 of what its callers asked for, with 0.5 it earned 0.325.
inline constexpr double kMinRatioOfMean = 0.5;
// Decay times of the recent and the usual work of a route or workspace. The recent work covers a
// few requests a second; the usual work outlasts bursts of 20 s.
inline constexpr kernel::microseconds kRecentShareTime = std::chrono::seconds(2);
inline constexpr kernel::microseconds kUsualShareTime = std::chrono::seconds(60);
// Workspaces whose recent work is within this factor above their usual work count as equal.
inline constexpr double kExcessStep = 1.25;
inline constexpr kernel::microseconds kSharePrunePeriod = std::chrono::seconds(10);
// Number of routes or workspaces whose work is counted separately.
inline constexpr std::size_t kMaxShares = 256;

// Bounds of the bytes of large bodies that one daemon has in flight to all others together. The
// minimum allows two pieces in flight: at 2.6 Mbit/s a small message waits for 50 ms behind them.
inline constexpr std::size_t kMinWindowBytes = std::size_t{16} << 10;
inline constexpr std::size_t kMaxWindowBytes = std::size_t{1} << 20;
inline constexpr std::size_t kMinPieceBytes = std::size_t{8} << 10;
inline constexpr std::size_t kMaxPieceBytes = std::size_t{64} << 10;
inline constexpr std::size_t kPiecesPerWindow = 4;
// The window grows if a piece is acknowledged within the first delay, and shrinks if it takes
// longer than the second.
inline constexpr kernel::microseconds kUncongestedDelay = std::chrono::milliseconds(25);
inline constexpr kernel::microseconds kCongestedDelay = std::chrono::milliseconds(70);
// The rate is sampled over intervals of this length, or shorter ones if no bytes are in flight.
inline constexpr kernel::microseconds kRateSampleInterval = std::chrono::milliseconds(250);
inline constexpr double kRateSmoothingFactor = 0.25;

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_LIMITS_H_
