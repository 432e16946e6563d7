#include "cornelweir/src/routing/peer_choice.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "cornelweir/src/routing/limits.h"

namespace cornelweir::routing {
namespace internal {

// How much of a report still holds, 1 for a new one.
double Freshness(kernel::microseconds age) {
  return std::exp(-std::chrono::duration<double>(age) /
                  std::chrono::duration<double>(kPeerReportLifetime));
}

// The mean of the known run times; default_time if none is known.
kernel::microseconds MeanRunTime(const std::vector<peer_candidate>& candidates,
                                 kernel::microseconds peer_candidate::*run_time,
                                 kernel::microseconds default_time) {
  kernel::microseconds sum{};
  std::int64_t known_times = 0;
  for (const peer_candidate& candidate : candidates) {
    if ((candidate.*run_time).count() == 0) continue;
    sum += candidate.*run_time;
    ++known_times;
  }
  return known_times == 0 ? default_time : sum / known_times;
}

// How much longer the runs of the candidate take at present than usual.
double Slowdown(const peer_candidate& candidate) {
  const double reported = static_cast<double>(candidate.slowdown_percent) / 100 - 1;
  return 1 + reported * Freshness(candidate.report_age);
}

kernel::microseconds Scaled(kernel::microseconds time, double factor) {
  return kernel::microseconds(std::llround(static_cast<double>(time.count()) * factor));
}

}  // namespace internal

kernel::microseconds ExpectedRunTime(const peer_candidate& candidate,
                                     kernel::microseconds mean_run_time) {
  const kernel::microseconds usual =
      candidate.run_time.count() > 0 ? candidate.run_time : mean_run_time;
  return internal::Scaled(usual, internal::Slowdown(candidate));
}

kernel::microseconds ExpectedPeerWait(const peer_candidate& candidate,
                                      kernel::microseconds run_time) {
  const std::int64_t slots = std::max<std::int64_t>(candidate.slots, 1);
  const std::int64_t excess = candidate.reported_requests + candidate.sent_since_report + 1 - slots;
  if (excess <= 0) return candidate.transfer_time;
  return candidate.transfer_time +
         internal::Scaled(run_time * excess / slots, internal::Freshness(candidate.report_age));
}

double OwnDomainShare(double capacity_share, double daemon_share) {
  return daemon_share <= 0 ? 1 : std::min(capacity_share / daemon_share, 1.0);
}

double LateProbability(kernel::microseconds run_time, kernel::microseconds time_left) {
  if (run_time.count() <= 0 || time_left == kNoObjective) return 0;
  if (time_left.count() <= 0) return 1;
  const double deviations =
      std::log(static_cast<double>(time_left.count()) / static_cast<double>(run_time.count())) /
      kRunTimeLogDeviation;
  return std::erfc(deviations / std::sqrt(2.0)) / 2;
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

// The probability that the request is late at a candidate. mean_route_time stands in for an unknown
// run time of the route.
double LateProbabilityAt(const peer_candidate& candidate, kernel::microseconds wait,
                         kernel::microseconds mean_route_time,
                         kernel::microseconds objective_left) {
  if (objective_left == kNoObjective) return 0;
  const kernel::microseconds run_time =
      candidate.route_run_time.count() > 0 ? candidate.route_run_time : mean_route_time;
  return LateProbability(Scaled(run_time, Slowdown(candidate)), objective_left - wait);
}

// The capacity of the candidates, and the daemon's part of its requests for each domain.
struct domain_capacities {
  double own = 0;
  double other = 0;
  double own_share = 0;

  // The candidate's share of the daemon's requests.
  double ShareOf(const peer_candidate& candidate, const estimate& expected) const {
    return candidate.own_domain ? own_share * expected.capacity / own
                                : (1 - own_share) * expected.capacity / other;
  }
};

domain_capacities CapacitiesOf(const std::vector<peer_candidate>& candidates,
                               const std::vector<estimate>& estimates,
                               const domain_preference& preference) {
  domain_capacities sums;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    (candidates[i].own_domain ? sums.own : sums.other) += estimates[i].capacity;
  }
  sums.own_share = sums.own > 0 ? 1 : 0;
  if (sums.own > 0 && sums.other > 0) {
    const double capacity_share = sums.own / (sums.own + sums.other);
    sums.own_share =
        std::min(OwnDomainShare(capacity_share, preference.daemon_share) * preference.factor, 1.0);
  }
  return sums;
}

// The longest wait at which an upstream is not passed over. A large body may wait behind one like
// it, so that links are shared out by domain and capacity.
kernel::microseconds LongestWait(const std::vector<peer_candidate>& candidates,
                                 const std::vector<estimate>& estimates,
                                 kernel::microseconds mean_run_time) {
  kernel::microseconds shortest_wait = kernel::microseconds::max();
  kernel::microseconds shortest_transfer = kernel::microseconds::max();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    shortest_wait = std::min(shortest_wait, estimates[i].wait);
    shortest_transfer = std::min(shortest_transfer, candidates[i].transfer_time);
  }
  return shortest_wait + mean_run_time * kPeerWaitTolerancePercent / 100 + shortest_transfer;
}

}  // namespace internal

std::optional<std::size_t> ChoosePeer(std::vector<peer_candidate>& candidates,
                                      const domain_preference& preference,
                                      kernel::microseconds objective_left) {
  if (candidates.empty()) return std::nullopt;
  const kernel::microseconds mean_run_time =
      internal::MeanRunTime(candidates, &peer_candidate::run_time, kDefaultResponseTime);
  const kernel::microseconds mean_route_time = internal::MeanRunTime(
      candidates, &peer_candidate::route_run_time, kernel::microseconds::zero());
  std::vector<internal::estimate> estimates;
  estimates.reserve(candidates.size());
  for (const peer_candidate& candidate : candidates) {
    estimates.push_back(internal::EstimateOf(candidate, mean_run_time));
  }
  const internal::domain_capacities capacities =
      internal::CapacitiesOf(candidates, estimates, preference);
  const kernel::microseconds longest_wait =
      internal::LongestWait(candidates, estimates, mean_run_time);
  std::optional<std::size_t> best;
  std::pair<bool, double> best_rank;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    peer_candidate& candidate = candidates[i];
    const double share = capacities.ShareOf(candidate, estimates[i]);
    candidate.credit = std::min(candidate.credit + share, kMaxPeerCredit);
    if (estimates[i].wait > longest_wait) continue;
    const double late_probability =
        internal::LateProbabilityAt(candidate, estimates[i].wait, mean_route_time, objective_left);
    const std::pair rank{share > 0, candidate.credit - kLatenessCost * late_probability};
    if (best && rank <= best_rank) continue;
    best = i;
    best_rank = rank;
  }
  candidates[*best].credit = std::max(candidates[*best].credit - 1, -kMaxPeerCredit);
  return best;
}

}  // namespace cornelweir::routing
