#include "cornelweir/src/rollout/judge.h"

#include <algorithm>
#include <cmath>

namespace cornelweir::rollout {
namespace internal {

double LogChoose(std::int64_t total, std::int64_t chosen) {
  const auto factorial = [](std::int64_t n) { return std::lgamma(static_cast<double>(n) + 1); };
  return factorial(total) - factorial(chosen) - factorial(total - chosen);
}

double Fraction(std::int64_t part, std::int64_t whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace internal

double FailureTail(std::int64_t failures, std::int64_t responses, std::int64_t all_failures,
                   std::int64_t all_responses) {
  const std::int64_t others = all_responses - responses;
  const double all_ways = internal::LogChoose(all_responses, all_failures);
  double tail = 0;
  for (std::int64_t k = std::max(failures, all_failures - others);
       k <= std::min(all_failures, responses); ++k) {
    const double added = std::exp(internal::LogChoose(responses, k) +
                                  internal::LogChoose(others, all_failures - k) - all_ways);
    tail += added;
    // Further terms decrease once k is above its mean, which it is where the tail matters.
    constexpr double kNegligible = 1e-6;
    if (added < tail * kNegligible) break;
  }
  return std::min(tail, 1.0);
}

finding JudgeFailures(const route_evidence& target, const route_evidence& released,
                      const judge_limits& limits) {
  if (target.responses == 0 || released.responses == 0) return finding::kNone;
  const double difference = internal::Fraction(target.failures, target.responses) -
                            internal::Fraction(released.failures, released.responses);
  if (difference < limits.min_failure_difference) return finding::kNone;
  const double probability =
      FailureTail(target.failures, target.responses, target.failures + released.failures,
                  target.responses + released.responses);
  return probability < kSignificance ? finding::kFailures : finding::kNone;
}

void failure_score::Add(const route_evidence& target, const route_evidence& released) {
  const std::int64_t all = target.responses + released.responses;
  if (target.responses == 0 || released.responses == 0) return;
  responses += target.responses;
  failures += target.failures;
  expected += static_cast<double>(target.failures + released.failures) *
              internal::Fraction(target.responses, all);
}

finding JudgeFailures(const failure_score& target) {
  const auto failures = static_cast<double>(target.failures);
  if (failures - target.expected < kMinFailureDifference * static_cast<double>(target.responses)) {
    return finding::kNone;
  }
  // Chernoff's bound of the tail of a sum of independent events.
  const double log_probability =
      failures - target.expected - failures * std::log(failures / target.expected);
  return log_probability < std::log(kSignificance) ? finding::kFailures : finding::kNone;
}

double RankDeviations(const log_histogram& target, const log_histogram& released) {
  const auto targets = static_cast<double>(target.total());
  const auto others = static_cast<double>(released.total());
  if (targets == 0 || others == 0) return 0;
  const double all = targets + others;
  // Number of pairs in which the run time of the target is longer; half for ties.
  double longer = 0;
  double others_below = 0;
  double ties = 0;
  for (std::size_t bucket = 0; bucket < kHistogramBuckets; ++bucket) {
    const auto target_count = static_cast<double>(target.Count(bucket));
    const auto other_count = static_cast<double>(released.Count(bucket));
    longer += target_count * (others_below + other_count / 2);
    others_below += other_count;
    ties += std::pow(target_count + other_count, 3) - (target_count + other_count);
  }
  const double variance = targets * others / 12 * (all + 1 - ties / (all * (all - 1)));
  return variance <= 0 ? 0 : (longer - targets * others / 2) / std::sqrt(variance);
}

double DeviationOf(const std::vector<kernel::microseconds>& medians) {
  double sum = 0;
  double squares = 0;
  for (const kernel::microseconds& median : medians) {
    const double logarithm = std::log(static_cast<double>(median.count()));
    sum += logarithm;
    squares += logarithm * logarithm;
  }
  const auto count = static_cast<double>(medians.size());
  const double deviation = std::sqrt(std::max(squares - sum * sum / count, 0.0) / (count - 1));
  // The relative standard error of the deviation of a normal distribution.
  return deviation * (1 + 1 / std::sqrt(2 * (count - 1)));
}

finding JudgeRunTimes(const log_histogram& target, const log_histogram& released,
                      const speed_spread& spread, const judge_limits& limits) {
  if (target.total() < kMinRunTimes || released.total() < kMinRunTimes ||
      spread.target_upstreams == 0 || spread.released_upstreams == 0) {
    return finding::kNone;
  }
  // Two versions of equal speed have different medians because their upstreams and the run times
  // are samples.
  const double variance =
      (spread.deviation * spread.deviation + kStallDeviation * kStallDeviation) *
          (1 / spread.target_upstreams + 1 / spread.released_upstreams) +
      kMedianError * kMedianError / static_cast<double>(target.total());
  const double min_ratio =
      std::max(limits.min_slowness, std::exp(kSpreadDeviations * std::sqrt(variance)));
  constexpr double kMedian = 0.5;
  const auto target_median = static_cast<double>(target.Quantile(kMedian).count());
  const auto released_median = static_cast<double>(released.Quantile(kMedian).count());
  if (target_median < released_median * min_ratio) return finding::kNone;
  return RankDeviations(target, released) > kSignificantDeviations ? finding::kSlowness
                                                                   : finding::kNone;
}

}  // namespace cornelweir::rollout
