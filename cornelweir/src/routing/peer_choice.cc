#include "cornelweir/src/routing/peer_choice.h"

#include <algorithm>
#include <cmath>

#include "cornelweir/src/routing/limits.h"

namespace cornelweir::routing {
namespace internal {

// How much of a report still holds, 1 for a new one.
double Freshness(kernel::microseconds age) {
  return std::exp(-std::chrono::duration<double>(age) /
                  std::chrono::duration<double>(kPeerReportLifetime));
}

kernel::microseconds MeanRunTime(const std::vector<peer_candidate>& candidates) {
  kernel::microseconds sum{};
  std::int64_t known_times = 0;
  for (const peer_candidate& candidate : candidates) {
    if (candidate.run_time.count() == 0) continue;
    sum += candidate.run_time;
    ++known_times;
  }
  return known_times == 0 ? kDefaultResponseTime : sum / known_times;
}

}  // namespace internal

kernel::microseconds ExpectedRunTime(const peer_candidate& candidate,
                                     kernel::microseconds mean_run_time) {
  const kernel::microseconds usual =
      candidate.run_time.count() > 0 ? candidate.run_time : mean_run_time;
  const double slowdown = static_cast<double>(candidate.slowdown_percent) / 100 - 1;
  return kernel::microseconds(
      std::llround(static_cast<double>(usual.count()) *
                   (1 + slowdown * internal::Freshness(candidate.report_age))));
}

kernel::microseconds ExpectedPeerWait(const peer_candidate& candidate,
                                      kernel::microseconds run_time) {
  const std::int64_t slots = std::max<std::int64_t>(candidate.slots, 1);
  const std::int64_t excess = candidate.reported_requests + candidate.sent_since_report + 1 - slots;
  if (excess <= 0) return candidate.transfer_time;
  return candidate.transfer_time + kernel::microseconds(std::llround(
                                       static_cast<double>((run_time * excess / slots).count()) *
                                       internal::Freshness(candidate.report_age)));
}

namespace internal {

// What a request can expect at a candidate.
struct estimate {
  // Requests per microsecond, less those that fail.
  double capacity = 0;
  kernel::microseconds wait{};
};

estimate EstimateOf(const peer_candidate& candidate, kernel::microseconds mean_run_time) {
  const kernel::microseconds run_time =
      std::max(ExpectedRunTime(candidate, mean_run_time), kernel::microseconds(1));
  estimate expected;
  expected.capacity = static_cast<double>(std::max<std::int64_t>(candidate.slots, 1)) /
                      static_cast<double>(run_time.count()) /
                      (1 + kPeerFailureCost * candidate.failure_rate);
  expected.wait = ExpectedPeerWait(candidate, run_time);
  return expected;
}

}  // namespace internal

double OwnDomainShare(double capacity_share, double daemon_share) {
  return daemon_share <= 0 ? 1 : std::min(capacity_share / daemon_share, 1.0);
}

std::optional<std::size_t> ChoosePeer(std::vector<peer_candidate>& candidates,
                                      const domain_preference& preference) {
  if (candidates.empty()) return std::nullopt;
  const kernel::microseconds mean_run_time = internal::MeanRunTime(candidates);
  std::vector<internal::estimate> estimates;
  estimates.reserve(candidates.size());
  double own_capacity = 0;
  double other_capacity = 0;
  kernel::microseconds shortest_wait = kernel::microseconds::max();
  for (const peer_candidate& candidate : candidates) {
    const internal::estimate& added =
        estimates.emplace_back(internal::EstimateOf(candidate, mean_run_time));
    (candidate.own_domain ? own_capacity : other_capacity) += added.capacity;
    shortest_wait = std::min(shortest_wait, added.wait);
  }
  double own_share = own_capacity > 0 ? 1 : 0;
  if (own_capacity > 0 && other_capacity > 0) {
    own_share = std::min(
        OwnDomainShare(own_capacity / (own_capacity + other_capacity), preference.daemon_share) *
            preference.factor,
        1.0);
  }
  const kernel::microseconds longest_wait =
      shortest_wait + mean_run_time * kPeerWaitTolerancePercent / 100;
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    peer_candidate& candidate = candidates[i];
    const double share = candidate.own_domain
                             ? own_share * estimates[i].capacity / own_capacity
                             : (1 - own_share) * estimates[i].capacity / other_capacity;
    candidate.credit = std::min(candidate.credit + share, kMaxPeerCredit);
    if (estimates[i].wait > longest_wait) continue;
    if (!best || candidate.credit > candidates[*best].credit) best = i;
  }
  candidates[*best].credit = std::max(candidates[*best].credit - 1, -kMaxPeerCredit);
  return best;
}

}  // namespace cornelweir::routing
