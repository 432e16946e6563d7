#ifndef CORNELWEIR_SRC_ROLLOUT_JUDGE_H_
#define CORNELWEIR_SRC_ROLLOUT_JUDGE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cornelweir/src/rollout/limits.h"
#include "cornelweir/src/rollout/route_evidence.h"

namespace cornelweir::rollout {

// What the evidence shows against the target version.
enum class finding : std::uint8_t { kNone, kFailures, kSlowness };

// The differences that count.
struct judge_limits {
  double min_failure_difference = kMinFailureDifference;
  double min_slowness = kMinSlowness;
};

// The failures of the target version over several steps, each of which has its own share.
struct failure_score {
  std::int64_t responses = 0;
  std::int64_t failures = 0;
  // The number of failures at the rate of all versions in the same step.
  double expected = 0;

  void Add(const route_evidence& target, const route_evidence& released);
};

// For evidence of the released versions from an earlier time.
inline constexpr judge_limits kLaterLimits{kMinLaterFailureDifference, kMinLaterSlowness};

// Compares the failures of one route at the target version with those at the released versions.
finding JudgeFailures(const route_evidence& target, const route_evidence& released,
                      const judge_limits& limits = {});

// Compares the failures of the target with the expected ones.
finding JudgeFailures(const failure_score& target);

// How much the upstreams differ in speed, whatever their version.
struct speed_spread {
  // Standard deviation of the logarithms of the upstreams' median run times.
  double deviation = kAssumedSpeedDeviation;
  // Numbers of upstreams whose run times are compared. Upstreams with few of the run times count in
  // part, since the median of all is mainly that of the others.
  double target_upstreams = 0;
  double released_upstreams = 0;
};

// The standard deviation of the logarithms of medians, increased by the error of its measurement.
// Requires at least two.
double DeviationOf(const std::vector<kernel::microseconds>& medians);

// Compares the run times of one route.
finding JudgeRunTimes(const log_histogram& target, const log_histogram& released,
                      const speed_spread& spread, const judge_limits& limits = {});

// The probability that at least `failures` of the given total number of failures are among
// `responses` of all responses, if all are equally likely to fail: Fisher's exact test of two
// proportions.
double FailureTail(std::int64_t failures, std::int64_t responses, std::int64_t all_failures,
                   std::int64_t all_responses);

// The rank sum of the target's run times, as a number of standard deviations above that of two
// equal distributions. Run times in the same bucket have the same rank.
double RankDeviations(const log_histogram& target, const log_histogram& released);

}  // namespace cornelweir::rollout

#endif  // CORNELWEIR_SRC_ROLLOUT_JUDGE_H_
